#pragma once

#include <string>
#include <vector>

#include "rehearsal/simulator/fleet.h"

namespace cometstand::simulator {

/// Operators of both tenants who change groups of objects (see checkers/change_groups.h), race each other
/// with changes that build on one version, and ask for the version in between.
class OperatorWorkload {
 public:
  explicit OperatorWorkload(Fleet& fleet);

  void start();
  void stop() { stopped_ = true; }
  /// No fault is left: every command must get its outcome.
  void expectCompletion() { expect_completion_ = true; }
  /// Mean pause between one operator's commands; zero for the deployment's own.
  void setPause(Duration pause) { pause_ = pause; }
  /// @return commands that have no answer yet.
  std::size_t inWork() const { return in_work_; }
  std::uint64_t accepted() const { return accepted_; }

 private:
  struct Operator {
    std::string name;
    std::string tenant;
  };

  void scheduleNext(const Operator& who);
  void act(const Operator& who);
  void change(const Operator& who, std::uint64_t if_version);
  void query(const Operator& who, bool then_change);
  void send(const Operator& who, const std::string& text, bool is_change, std::uint64_t if_version,
            std::function<void(const CommandResult&)> done);

  Fleet& fleet_;
  RandomSource random_;
  std::vector<Operator> operators_;
  Duration pause_{};
  bool stopped_ = false;
  bool expect_completion_ = false;
  std::size_t in_work_ = 0;
  std::uint64_t accepted_ = 0;
  checkers::Marker next_marker_ = 1;
  checkers::Marker next_deletion_ = checkers::kFirstDeletionMarker;
};

/// The tokens of simulated operators.
std::string operatorToken(const std::string& name);

}  // namespace cometstand::simulator
