#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "mesh/incarnation.h"
#include "sidecar/past_incarnations.h"

namespace cometstand::sidecar {

enum class TargetCondition : std::uint8_t {
  /// No heartbeat was received and no health check passed yet, or the target answered under another id.
  Unknown,
  Ready,
  /// The target reported that it is draining or was deregistered.
  Leaving,
};

/// Periodic status report that a target sends about itself.
struct Heartbeat {
  mesh::Incarnation incarnation;
  std::string service;
  std::string zone;
  /// Version of the target's software; empty if the target does not report one.
  std::string version;
  unsigned slots = 1;
  bool ready = true;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
  /// Remaining time of the target's cold start, during which it is slow.
  Duration cold_remaining = Duration::zero();
};

/// State of the target beside this sidecar, derived from the target's heartbeats. Heartbeats may be delayed:
/// an older one of the same incarnation, or one of an incarnation that has ended, is ignored. Only this class
/// decides which incarnation is the newer one.
///
/// Of two incarnations with the same id, the one with the later start time is newer. A clock that was set
/// back makes a newer incarnation look older. An unknown incarnation with an earlier start time is therefore
/// accepted, too, once two heartbeats with increasing sequence numbers have arrived from it while the current
/// one sent none for kHeartbeatTimeout. Heartbeats that a network partition delayed do not meet this
/// condition, because they arrive while the newer incarnation sends its own. An incarnation that is leaving
/// may send none, so one that started earlier is accepted after it only if its heartbeats still increase
/// kMaxHeartbeatDelay after the first one arrived.
///
/// Incarnations with different ids have no order. An unknown id supersedes the current one at once, because a
/// target that starts sends its first heartbeat then. That heartbeat may also be a delayed one of a target
/// that has ended, so the superseded incarnation becomes the current one again if the current one turns out
/// not to run (see onIdMismatch()), or under the condition for an earlier start time above.
///
/// A leave notice counts whatever its sequence number, unless it may be an outdated one about an incarnation
/// that is no longer the target: same id, another start time, and the current incarnation is not silent. Such
/// a notice is not accepted, and hasLeft() remains false.
///
/// Invariant: an incarnation that reported that it is leaving is never considered ready again.
class TargetState {
 public:
  /// @return true if anything changed.
  bool onHeartbeat(const Heartbeat& beat, TimePoint now);
  /// The target passed a health check. Applies only in condition Unknown; any heartbeat overrides it.
  /// @return true if anything changed.
  bool onHealthCheckPassed(const std::string& id, const std::string& service, unsigned slots);
  /// The incarnation has ended or is about to end. Without a start time, it matches the current incarnation
  /// if that has the same id. @return true if anything changed.
  bool onDeregistered(const mesh::Incarnation& incarnation, TimePoint now);
  /// A leave notice of the incarnation was committed by an earlier process of this sidecar.
  void onLeaveRecovered(const mesh::Incarnation& incarnation, TimePoint now);
  /// The target stated in a response that it is shutting down. @return true if anything changed.
  bool onLeavingStated(const mesh::Incarnation& incarnation, TimePoint now);
  /// The target refused a request because its id is not that of the incarnation for which the request was
  /// sent, which has therefore ended. @return true if it was the current one; the condition is now Unknown.
  bool onIdMismatch(const mesh::Incarnation& expected);

  /// @return true if the incarnation reported that it is leaving or has ended: it is never considered ready
  /// again.
  bool hasLeft(const mesh::Incarnation& incarnation) const;
  /// @return the current incarnation, with its start time, if the given one matches it; else the given one.
  mesh::Incarnation resolve(const mesh::Incarnation& incarnation) const {
    return isCurrent(incarnation) ? beat_.incarnation : incarnation;
  }
  TargetCondition condition() const { return condition_; }
  const mesh::Incarnation& incarnation() const { return beat_.incarnation; }
  const std::string& service() const { return beat_.service; }
  /// @return the version from the newest heartbeat; empty if none reported one.
  const std::string& version() const { return beat_.version; }
  unsigned slots() const { return beat_.slots; }
  /// @return sequence number of the newest heartbeat; 0 if the state comes from a health check.
  std::uint64_t sequence() const { return beat_.sequence; }
  /// @return end of the target's cold start, during which it is slow.
  TimePoint coldUntil() const { return cold_until_; }
  /// @return number of remembered incarnations, without the current one.
  std::size_t pastIncarnationCount() const { return past_.size() + superseded_.size() + left_.size(); }
  /// @return when the target's condition became Leaving.
  TimePoint leavingSince() const { return leaving_since_; }

  /// Time without heartbeats after which an incarnation counts as silent. Heartbeats are sent about every
  /// 1.5 s, so at least two fall into this time and one of them may be lost.
  static constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(3'500);
  /// Time within which the heartbeats of an incarnation that has ended arrive.
  static constexpr Duration kMaxHeartbeatDelay = std::chrono::seconds(10);

 private:
  /// An incarnation whose start time is earlier than that of the current one or of one that is leaving, or
  /// that was superseded by another id.
  struct Candidate {
    mesh::Incarnation incarnation;
    std::uint64_t sequence = 0;
    TimePoint first_seen_at;
  };

  /// @return true if the condition changed.
  bool markLeaving(TimePoint now);
  bool isPast(const mesh::Incarnation& incarnation) const {
    return past_.contains(incarnation) || left_.covers(incarnation);
  }
  bool isCurrent(const mesh::Incarnation& incarnation) const;
  /// @return true if an incarnation with the same id that started later is leaving.
  bool isOlderThanLeft(const mesh::Incarnation& incarnation) const;
  /// Keeps what is needed of the current incarnation once the given one has superseded it.
  void forgetCurrent(const mesh::Incarnation& successor);
  /// @return true if the incarnation of the heartbeat may supersede the current one.
  bool maySupersede(const Heartbeat& beat, TimePoint now);

  Heartbeat beat_;
  TargetCondition condition_ = TargetCondition::Unknown;
  TimePoint cold_until_;
  TimePoint leaving_since_;
  /// When the newest accepted heartbeat arrived.
  TimePoint last_heartbeat_at_;
  Candidate candidate_;
  /// Incarnations that have ended without a report that they are leaving: superseded by a later one with the
  /// same id, or not found at the target's address.
  PastIncarnations past_;
  /// Incarnations that were superseded by another id and may still run.
  PastIncarnations superseded_;
  /// The newest heartbeat of the incarnation that was superseded last.
  Heartbeat superseded_beat_;
  /// Incarnations that reported that they are leaving and are not the current one.
  PastIncarnations left_;
};

}  // namespace cometstand::sidecar
