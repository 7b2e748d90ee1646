#include "sidecar/target_limit.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Lowest rate that is enforced, in requests per second: only a response can lift a limit, so that a target
/// that takes no requests still gets one from time to time.
constexpr double kMinRate = 0.25;
/// Targets' operators permit 1.5 times the limit and 5 more in any 4 s; these bounds stay below.
constexpr RateBounds kBounds{.window = std::chrono::seconds(4),
                             .overshoot = 1.25,
                             .slack = 2,
                             .margin = std::chrono::milliseconds(500),
                             .max_tokens = 2};

}  // namespace

TargetLimit::TargetLimit() : rate_limit_(kBounds) {}

void TargetLimit::follow(const mesh::Incarnation& incarnation, TimePoint now) {
  if (!stated_.follow(incarnation)) return;
  rate_limit_.reset(now);
  turns_.clear();
}

bool TargetLimit::onResponse(const TargetStatement& statement, TimePoint started, TimePoint now) {
  const bool has_changed = stated_.onResponse(statement, started, now);
  applyRate();
  return has_changed;
}

bool TargetLimit::onReported(double rate, TimePoint now) {
  const bool has_changed = stated_.onReported(rate, now);
  applyRate();
  return has_changed;
}

void TargetLimit::applyRate() {
  if (stated_.rate()) {
    rate_limit_.setRate(std::max(kMinRate, *stated_.rate()));
  } else {
    turns_.clear();
  }
}

void TargetLimit::recordSent(TimePoint now) {
  if (stated_.rate()) rate_limit_.recordSent(now);
}

TimePoint TargetLimit::nextAvailable(TimePoint now, std::size_t ahead) const {
  return stated_.rate() ? rate_limit_.nextAvailable(now, ahead) : now;
}

Duration TargetLimit::turnOf(runtime::LinkId sender, TimePoint now) {
  if (!stated_.rate()) return Duration::zero();
  return turns_.waitOf(sender, std::max(kMinRate, *stated_.rate()), now);
}

}  // namespace cometstand::sidecar
