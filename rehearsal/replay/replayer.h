#pragma once

#include <map>
#include <string>
#include <vector>

#include "rehearsal/replay/trace.h"
#include "rehearsal/simulator/rehearsal.h"

namespace cometstand::replay {

/// An outcome that differs from what the trace states.
struct Difference {
  /// Line of the trace; 0 for what must always hold.
  unsigned line = 0;
  std::string text;
};

/// Plays one trace against a simulated fleet.
class Replayer {
 public:
  explicit Replayer(Trace trace);

  /// @return each stated outcome that did not come about, and each breach of what must always hold.
  /// @throw Error(Malformed, Invalid or NotFound) if a line names something unknown.
  std::vector<Difference> run();

 private:
  /// One request of the trace, sent once.
  struct Call {
    bool ended = false;
    simulator::ExchangeEnd end = simulator::ExchangeEnd::TimedOut;
    wire::Outcome outcome = wire::Outcome::Unknown;
  };

  // Events.
  void play(const TraceLine& line);
  bool playWorkload(const TraceLine& line);
  void playCommand(const TraceLine& line);
  void playCall(const TraceLine& line);

  // Stated outcomes.
  void check(const TraceLine& line);
  void checkCommand(const TraceLine& line);
  void checkOneAccepted(const TraceLine& line);
  void checkCall(const TraceLine& line);
  void checkRuns(const TraceLine& line);
  void checkLeader(const TraceLine& line);
  void checkAccepted(const TraceLine& line);
  void differ(const TraceLine& line, const std::string& text);

  Trace trace_;
  simulator::Rehearsal rehearsal_;
  simulator::HostId host_;
  simulator::HttpClient client_;
  std::vector<Difference> differences_;
  std::map<std::string, simulator::CommandResult> commands_;
  std::map<std::string, Call> calls_;
  /// Newest accepted version, and the leader, when "mark" was played.
  std::uint64_t marked_version_ = 0;
  std::string marked_leader_;
};

}  // namespace cometstand::replay
