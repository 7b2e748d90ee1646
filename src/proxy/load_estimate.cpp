#include "proxy/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace cometstand::proxy {
namespace {

/// Assumed load from others where nothing believable is known.
constexpr double kPriorLoad = 0.3;
/// Reports above this are taken as this.
constexpr double kMaximumLoad = 4;
/// How far a report may fall short of the own load without being doubted: one request of a small endpoint.
constexpr double kTolerance = 0.2;
constexpr double kTrustLoss = 0.5;
constexpr double kTrustGain = 0.05;
constexpr double kMinimumTrust = 0.02;

/// @return 1 for something seen just now, half of it after each half-life.
double fade(Duration age, Duration half_life) {
  const std::chrono::duration<double> seconds = std::max(age, Duration::zero());
  return std::exp2(-seconds.count() / std::chrono::duration<double>(half_life).count());
}

}  // namespace

void LoadEstimate::lowerTrust() { trust_ = std::max(kMinimumTrust, trust_ * kTrustLoss); }

void LoadEstimate::onReport(double reported, double own, TimePoint now) {
  // NaN compares false and is dropped as well.
  if (!(reported >= 0)) return;
  reported_ = std::min(reported, kMaximumLoad);
  if (reported_ + kTolerance < own) {
    lowerTrust();
  } else {
    trust_ = std::min(1.0, trust_ + kTrustGain);
  }
  others_ = std::max(0.0, reported_ - own);
  reported_at_ = now;
  has_report_ = true;
}

void LoadEstimate::onShed(TimePoint now) {
  if (has_report_ && reported_ < 1) lowerTrust();
  shed_at_ = now;
  has_shed_ = true;
}

double LoadEstimate::othersLoad(TimePoint now, Duration half_life) const {
  const double reported = has_report_ ? trust_ * fade(now - reported_at_, half_life) : 0;
  const double shed = has_shed_ ? fade(now - shed_at_, half_life) : 0;
  const double load = kPriorLoad + reported * (others_ - kPriorLoad);
  return std::max(load, shed);
}

}  // namespace cometstand::proxy
