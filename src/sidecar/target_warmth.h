#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"
#include "mesh/route_table.h"

namespace cometstand::sidecar {

/// Whether the target beside this sidecar is cold, as far as that is known. What the target says of itself
/// decides; where something hints that it may have started again unseen, it counts as cold until it says
/// otherwise, for as long as a cold start takes at most.
///
/// A wrong "cold" costs a question and some refusals; a wrong "warm" can topple the target, which then comes
/// back cold.
class TargetWarmth {
 public:
  /// How the targets of the service start. Without a rate for cold ones, nothing is asked or doubted.
  void setColdStart(const mesh::ColdStart& start) { start_ = start; }
  const mesh::ColdStart& coldStart() const { return start_; }
  /// @return true if the service bounds what its cold targets get.
  bool isBounded() const { return start_.requests_per_second > 0; }

  /// The target is another instance from now on, and cold for that long.
  void onNewInstance(Duration remaining, TimePoint now);
  /// A heartbeat says that the target is cold for that long. One that says that it is warm may have been on
  /// its way since before a doubt, so it ends none.
  void onHeartbeat(Duration remaining, TimePoint now);
  /// The target was asked and says how long it is cold; nothing if its answer does not say so.
  void onAnswered(std::optional<Duration> remaining, TimePoint now);
  /// Something hints that the target may have become cold.
  /// @return true if that is news.
  bool doubt(TimePoint now);

  /// @return true if no more may be passed to the target than a cold one bears.
  bool isCold(TimePoint now) const { return isBounded() && now < coldUntil(); }
  /// @return until when it counts as cold; not bounded by whether that matters.
  TimePoint coldUntil() const { return std::max(told_until_, doubted_until_); }
  /// @return true if the target may be cold without having said so.
  bool isDoubted(TimePoint now) const { return isBounded() && now < doubted_until_; }
  /// @return true if the target is to be asked now; the question is noted.
  bool takeQuestion(TimePoint now);
  /// @return when takeQuestion() may be true next.
  TimePoint nextQuestion() const;

 private:
  mesh::ColdStart start_;
  TimePoint told_until_;
  TimePoint doubted_until_;
  /// When the target was asked last.
  std::optional<TimePoint> asked_at_;
};

}  // namespace cometstand::sidecar
