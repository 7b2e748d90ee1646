#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"

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
  /// Differs for each start of the target.
  std::string instance;
  std::string service;
  std::string zone;
  /// Of the target's software; empty if it does not say.
  std::string version;
  unsigned slots = 1;
  bool ready = true;
  /// Rises with each heartbeat of one instance.
  std::uint64_t sequence = 0;
  /// Time from now on during which the target is slow from its start.
  Duration cold_remaining = Duration::zero();
};

/// The target beside this sidecar, by its own heartbeats. Heartbeats may come late: an older one of the same
/// instance, or one of an instance that another followed, changes nothing.
///
/// Invariant: an instance that said that it leaves is never taken for ready again.
class TargetState {
 public:
  /// @return true if anything changed.
  bool onHeartbeat(const Heartbeat& beat, TimePoint now);
  /// The target was asked and is ready. Counts only while nothing was heard of it; every heartbeat counts
  /// more.
  /// @return true if anything changed.
  bool onReadyWhenAsked(const std::string& instance, const std::string& service, unsigned slots);
  /// The instance says that it is gone, or about to be. @return true if anything changed.
  bool onDeregistered(const std::string& instance, TimePoint now);
  /// The target itself answered that it is another instance. @return true if anything changed.
  bool onOtherInstance(const std::string& expected);

  TargetCondition condition() const { return condition_; }
  const std::string& instance() const { return beat_.instance; }
  const std::string& service() const { return beat_.service; }
  /// @return empty until a heartbeat told it.
  const std::string& version() const { return beat_.version; }
  unsigned slots() const { return beat_.slots; }
  /// @return number of the heartbeat that this is known from; 0 if the target was asked.
  std::uint64_t sequence() const { return beat_.sequence; }
  /// @return until when the target is slow from its start.
  TimePoint coldUntil() const { return cold_until_; }
  /// When the target began to leave.
  TimePoint leavingSince() const { return leaving_since_; }

 private:
  void leave(TimePoint now);

  Heartbeat beat_;
  TargetCondition condition_ = TargetCondition::Unheard;
  TimePoint cold_until_;
  TimePoint leaving_since_;
  /// Instances that another one followed or that are gone.
  std::set<std::string> past_instances_;
};

}  // namespace cometstand::sidecar
