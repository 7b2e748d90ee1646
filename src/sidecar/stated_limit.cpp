#include "sidecar/stated_limit.h"

namespace cometstand::sidecar {

bool StatedLimit::follow(const mesh::Incarnation& incarnation) {
  if (incarnation_.matches(incarnation)) {
    // The start time may become known later than the id.
    if (incarnation_.born_ms == 0) incarnation_ = incarnation;
    return false;
  }
  incarnation_ = incarnation;
  rate_.reset();
  has_response_ = false;
  stated_at_ = {};
  return true;
}

bool StatedLimit::set(std::optional<double> rate, TimePoint now) {
  const bool has_changed = rate != rate_;
  rate_ = rate;
  stated_at_ = now;
  return has_changed;
}

bool StatedLimit::onResponse(const TargetStatement& statement, TimePoint started, TimePoint now) {
  if (statement.has_malformed_limit) return false;
  has_response_ = true;
  const auto& stated = statement.rate_limit;
  const bool is_higher = rate_ && (!stated || *stated > *rate_);
  if (is_higher && started <= stated_at_) return false;
  return set(stated, now);
}

bool StatedLimit::onReported(double rate, TimePoint now) {
  const bool is_lower = !rate_ || rate < *rate_;
  return !has_response_ && is_lower && set(rate, now);
}

}  // namespace cometstand::sidecar
