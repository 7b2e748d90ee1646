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
  /// @return true if the service bounds what its cold targets get.
  bool isBounded() const { return start_.requests_per_second > 0; }

  /// The target is another instance from now on, and cold for that long.
  void onNewInstance(Duration remaining, TimePoint now);
  /// A heartbeat says that the target is cold for that long. One that says that it is warm may have been on
  /// its way since before a doubt, so it ends none.
  void onHeartbeat(Duration remaining, TimePoint now);
  /// The question was answered, or not at all.
  /// @param remaining how long the target says that it is cold; nothing if it does not say so. Ends only
  /// doubts that are older than the question.
  void onAnswered(std::optional<Duration> remaining, TimePoint now);
  /// Something hints that the target may have become cold.
  /// @return true if that is news.
  bool doubt(TimePoint now);

  /// @return true if no more may be passed to the target than a cold one bears.
  bool isCold(TimePoint now) const { return isBounded() && now < coldUntil(); }
  /// @return until when it counts as cold, whether or not that is bounded.
  TimePoint coldUntil() const { return std::max(told_until_, doubted_until_); }
  /// @return until when it is cold as it said itself.
  TimePoint toldUntil() const { return told_until_; }
  /// @return true if the target may be cold without having said so.
  bool isDoubted(TimePoint now) const { return isBounded() && now < doubted_until_; }
  /// @return true if the target is to be asked now; the question is noted. One is out at a time.
  bool takeQuestion(TimePoint now);
  /// @return when takeQuestion() may be true next, while a doubt lasts.
  TimePoint nextQuestion() const;

 private:
  void noteTold(Duration remaining, TimePoint now);

  mesh::ColdStart start_;
  TimePoint told_until_;
  /// When the target last said that it is cold.
  TimePoint told_at_;
  TimePoint doubted_until_;
  /// Of the newest hint.
  TimePoint doubted_at_;
  /// When the target was asked last.
  std::optional<TimePoint> asked_at_;
  bool is_question_out_ = false;
};

}  // namespace cometstand::sidecar
