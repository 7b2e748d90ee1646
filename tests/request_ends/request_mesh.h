#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "sidecar/sidecar_core.h"
#include "tests/rollout/process_network.h"
#include "tests/rollout/store_group.h"

namespace cometstand::requests::test {

using rollout::test::ProcessId;

/// Stores and sidecars on a simulated network whose requests end in every way (answer, deadline, caller gone,
/// refusal, quota, broken answer, lost link, restart) wherever they are: waiting for a token, in an
/// endpoint's queue, running, while their body is sent or their answer received, or between two attempts.
/// What happens is drawn from the seed.
class RequestMesh {
 public:
  static constexpr std::size_t kSidecars = 3;

  explicit RequestMesh(std::uint64_t seed);

  /// Lets drawn events happen for this time, and then all requests end.
  void runFor(Duration time);

  /// @return what is left of requests although all of them must have ended, a line each.
  std::vector<std::string> leftovers();
  /// @return requests that were answered twice, or not at all by a sidecar that went on; a line each.
  std::vector<std::string> wrongAnswers() const;
  /// @return how often requests ended in this way.
  std::size_t ended(sidecar::CallOutcome outcome) const;
  std::size_t left() const { return left_; }
  std::size_t streamed() const { return streamed_; }

 private:
  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    RequestMesh* mesh = nullptr;
    ProcessId process = 0;
    std::size_t number = 0;
    std::uint64_t sequence = 0;
    /// Incremented by each start of the target.
    std::uint64_t target_start = 1;
    std::set<sidecar::RunId> running;
    /// Requests without an answer, of this process of the sidecar.
    std::set<sidecar::CallId> open_calls;

    void run(sidecar::RunRequest order) override;
    void requestHealth(const std::string& /*path*/) override {}
    void probe() override;
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId id, sidecar::CallAnswer answer) override;
    void beginAnswer(sidecar::CallId id, const wire::ForwardReplyT& head) override;
    void continueAnswer(sidecar::CallId id, const std::vector<std::uint8_t>& bytes,
                        wire::BodyEnd end) override;
  };

  struct Event {
    /// How often it happens, among kAllShares events.
    std::size_t share = 0;
    std::function<void(Machine&)> happen;
  };

  void addMachine();
  void sendHeartbeats(Machine& machine);
  void scheduleNext();
  void happen();
  void sendCall(Machine& machine);
  void leave(Machine& machine);
  void changeConfiguration();
  void restart(Machine& machine);
  void restartTarget(Machine& machine);
  void suspend(ProcessId process);
  void readBytes(Machine& machine, sidecar::CallId id, std::size_t bytes);
  void endCall(Machine& machine, sidecar::CallId id, sidecar::CallOutcome outcome);
  sidecar::RunResult drawResult(const sidecar::RunRequest& order);
  wire::MeshConfigurationT drawConfiguration();
  std::size_t pick(std::size_t count) { return random_.uniform(std::uint64_t{0}, count - 1); }
  sidecar::SidecarCore& coreOf(const Machine& machine) {
    return dynamic_cast<sidecar::SidecarCore&>(network_.core(machine.process));
  }

  rollout::test::ProcessNetwork network_;
  RandomSource random_;
  rollout::test::StoreGroup stores_;
  const std::vector<Event> events_;
  std::deque<Machine> machines_;
  TimePoint end_;
  /// Messages of the stores may be lost or late.
  bool is_disturbed_ = false;
  std::uint64_t revision_ = 1;
  std::uint64_t next_call_ = 1;
  std::size_t left_ = 0;
  std::size_t streamed_ = 0;
  std::map<sidecar::CallOutcome, std::size_t> outcomes_;
  std::vector<std::string> wrong_answers_;
};

}  // namespace cometstand::requests::test
