#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "mesh/incarnation.h"
#include "sidecar/past_incarnations.h"

namespace cometstand::sidecar {

enum class TargetCondition : std::uint8_t {
  /// Nothing was heard of a target, or what was known no longer holds.
  Unheard,
  Ready,
  /// It said that it leaves, or that it is gone.
  Leaving,
};

/// What a target says of itself, again and again.
struct Heartbeat {
  mesh::Incarnation incarnation;
  std::string service;
  std::string zone;
  /// Of the target's software; empty if it does not say.
  std::string version;
  unsigned slots = 1;
  bool ready = true;
  /// Rises with each heartbeat of one incarnation.
  std::uint64_t sequence = 0;
  /// Time from now on during which the target is slow from its start.
  Duration cold_remaining = Duration::zero();
};

/// The target beside this sidecar, by its own heartbeats. Heartbeats may come late: an older one of the same
/// incarnation, or one of an incarnation that another followed, changes nothing. This is the one place that
/// says which incarnation is the newer one.
///
/// Of two incarnations under one id the one that was born later is newer. A clock that was set back makes a
/// newer one look older, so an unknown incarnation with an earlier birth is taken, too, once two rising
/// heartbeats of it have come while the known one was silent for kSilence: words that a cut held back come
/// while the newer incarnation sends its own.
///
/// Invariant: an incarnation that said that it leaves is never taken for ready again.
class TargetState {
 public:
  /// @return true if anything changed.
  bool onHeartbeat(const Heartbeat& beat, TimePoint now);
  /// The target was asked and is ready. Counts only while nothing was heard of it; every heartbeat counts
  /// more.
  /// @return true if anything changed.
  bool onReadyWhenAsked(const std::string& id, const std::string& service, unsigned slots);
  /// The incarnation says that it is gone, or about to be. Without the time of its birth it means the known
  /// one, if that has the id. @return true if anything changed.
  bool onDeregistered(const mesh::Incarnation& incarnation, TimePoint now);
  /// The target itself answered that it has another id. @return true if anything changed.
  bool onOtherId(const std::string& expected);

  TargetCondition condition() const { return condition_; }
  const mesh::Incarnation& incarnation() const { return beat_.incarnation; }
  const std::string& service() const { return beat_.service; }
  /// @return empty until a heartbeat told it.
  const std::string& version() const { return beat_.version; }
  unsigned slots() const { return beat_.slots; }
  /// @return number of the heartbeat that this is known from; 0 if the target was asked.
  std::uint64_t sequence() const { return beat_.sequence; }
  /// @return until when the target is slow from its start.
  TimePoint coldUntil() const { return cold_until_; }
  /// @return incarnations that are remembered besides the known one.
  std::size_t pastIncarnations() const { return past_.size(); }
  /// When the target began to leave.
  TimePoint leavingSince() const { return leaving_since_; }

  /// A target that runs sends heartbeats more often than twice in this time, one of which may be lost: they
  /// come each 1.5 s or so.
  static constexpr Duration kSilence = std::chrono::milliseconds(3'500);

 private:
  /// An incarnation that looks older than the known one.
  struct Doubtful {
    mesh::Incarnation incarnation;
    std::uint64_t sequence = 0;
  };

  void leave(TimePoint now);
  bool isKnown(const mesh::Incarnation& incarnation) const;
  /// @return true if the heartbeat is of an incarnation that may follow the known one.
  bool mayFollow(const Heartbeat& beat, TimePoint now);

  Heartbeat beat_;
  TargetCondition condition_ = TargetCondition::Unheard;
  TimePoint cold_until_;
  TimePoint leaving_since_;
  /// When the newest heartbeat that counted came.
  TimePoint heard_at_;
  Doubtful doubtful_;
  PastIncarnations past_;
};

}  // namespace cometstand::sidecar
