#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"
#include "mesh/route_table.h"

namespace cometstand::sidecar {

/// Tracks whether the target beside this sidecar is in its cold start. The target's own reports decide. If an
/// event suggests that the target may have restarted unnoticed, it is presumed cold until a health check
/// shows otherwise, at most for the duration of a cold start.
///
/// A target that is wrongly considered cold costs a health check and some refused requests. A target that is
/// wrongly considered warm can be overloaded so that it fails and restarts cold.
class ColdStartTracker {
 public:
  /// Sets the cold start parameters of the service. Without a request rate for cold targets, the target is
  /// never presumed cold and no health check is due.
  void setColdStart(const mesh::ColdStart& start) { start_ = start; }
  /// @return true if the service limits the request rate of cold targets.
  bool isBounded() const { return start_.requests_per_second > 0; }

  /// The target was replaced by another instance, which is cold for the remaining time.
  void onNewInstance(Duration remaining, TimePoint now);
  /// A heartbeat reports the remaining cold time. A heartbeat that reports a warm target may have been sent
  /// before the event that made the target presumed cold, so it never ends that state.
  void onHeartbeat(Duration remaining, TimePoint now);
  /// The pending health check was answered or failed. A response ends the time for which the target is
  /// presumed cold only if the health check was sent after the latest call of presumeCold().
  /// @param remaining cold time that the target reports; empty if it reports none or did not answer.
  void onAnswered(std::optional<Duration> remaining, TimePoint now);
  /// Presumes the target cold, after an event that suggests an unnoticed restart.
  /// @return true if the target was not presumed cold before.
  bool presumeCold(TimePoint now);

  /// @return true if the rate limit for cold targets applies.
  bool isCold(TimePoint now) const { return isBounded() && now < coldUntil(); }
  /// @return until when the target is considered cold, even if the service does not limit cold targets.
  TimePoint coldUntil() const { return std::max(reported_until_, presumed_cold_until_); }
  /// @return until when the target is cold by its own report.
  TimePoint reportedColdUntil() const { return reported_until_; }
  /// @return true if the target may be cold without having reported it.
  bool isPresumedCold(TimePoint now) const { return isBounded() && now < presumed_cold_until_; }
  /// @return true if a health check is to be sent now, which is then recorded as pending. At most one is
  /// pending at a time.
  bool startHealthCheckIfDue(TimePoint now);
  /// @return earliest time at which startHealthCheckIfDue() may return true, while the target is presumed
  /// cold.
  TimePoint nextHealthCheck() const;

 private:
  void recordReported(Duration remaining, TimePoint now);

  mesh::ColdStart start_;
  TimePoint reported_until_;
  /// When the target last reported that it is cold.
  TimePoint reported_at_;
  TimePoint presumed_cold_until_;
  /// When the target was last presumed cold.
  TimePoint presumed_cold_at_;
  /// When the last health check was sent.
  std::optional<TimePoint> health_check_sent_at_;
  bool is_health_check_pending_ = false;
};

}  // namespace cometstand::sidecar
