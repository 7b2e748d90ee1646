#include "sidecar/cold_start_tracker.h"

namespace cometstand::sidecar {
namespace {

/// Interval between health checks while the target is presumed cold. A busy target answers only when a slot
/// is free, which takes the run time of several requests.
constexpr Duration kHealthCheckInterval = std::chrono::milliseconds(500);
/// A health check without a response within this time counts as failed.
constexpr Duration kHealthCheckTimeout = std::chrono::seconds(2);
/// Added to the cold time that a target reports, since times on the wire are rounded and the clocks of target
/// and sidecar drift apart.
constexpr Duration kColdTimeMargin = std::chrono::milliseconds(20);

}  // namespace

void ColdStartTracker::recordReported(Duration remaining, TimePoint now) {
  if (remaining <= Duration::zero()) return;
  reported_at_ = now;
  reported_until_ = now + remaining + kColdTimeMargin;
}

void ColdStartTracker::onNewInstance(Duration remaining, TimePoint now) {
  reported_until_ = now;
  presumed_cold_until_ = now;
  recordReported(remaining, now);
}

void ColdStartTracker::onHeartbeat(Duration remaining, TimePoint now) {
  const TimePoint previous = reported_until_;
  recordReported(remaining, now);
  reported_until_ = std::max(reported_until_, previous);
}

void ColdStartTracker::onAnswered(std::optional<Duration> remaining, TimePoint now) {
  is_health_check_pending_ = false;
  if (!remaining) return;
  recordReported(*remaining, now);
  const TimePoint sent_at = health_check_sent_at_.value_or(now);
  if (sent_at < presumed_cold_at_) return;
  presumed_cold_until_ = now;
  const bool is_warm = *remaining <= Duration::zero();
  if (is_warm && sent_at >= reported_at_) reported_until_ = now;
}

bool ColdStartTracker::presumeCold(TimePoint now) {
  if (!isBounded()) return false;
  const bool is_new = !isPresumedCold(now);
  presumed_cold_at_ = now;
  presumed_cold_until_ = now + start_.time;
  // Lets the next health check start at once unless one is pending.
  if (is_new && !is_health_check_pending_) health_check_sent_at_.reset();
  return is_new;
}

bool ColdStartTracker::startHealthCheckIfDue(TimePoint now) {
  if (!isPresumedCold(now) || now < nextHealthCheck()) return false;
  health_check_sent_at_ = now;
  is_health_check_pending_ = true;
  return true;
}

TimePoint ColdStartTracker::nextHealthCheck() const {
  if (!health_check_sent_at_) return presumed_cold_at_;
  return *health_check_sent_at_ + (is_health_check_pending_ ? kHealthCheckTimeout : kHealthCheckInterval);
}

}  // namespace cometstand::sidecar
