#include "sidecar/link_share.h"

#include <algorithm>
#include <cmath>

namespace cometstand::sidecar {
namespace {

/// Bucket size as seconds at the sender's rate. The full buckets of all senders together hold this many
/// seconds of the link's capacity.
constexpr double kBucketSeconds = 0.25;
/// Parts of the bucket that transfers of TransferPriority::Normal and TransferPriority::Low must leave for
/// the higher priorities.
constexpr double kReservedFromNormalPriority = 0.25;
constexpr double kReservedFromLowPriority = 0.5;
/// Minimum time between two adaptations of the rate. It covers several round trips between regions, so that
/// the effect of a change is visible.
constexpr Duration kAdaptInterval = std::chrono::milliseconds(500);
/// Multiplicative decrease and additive increase of the rate, the increase as a share of the rate after the
/// decrease. Without a queue the previous rate is restored after about 4 s.
constexpr double kDecreaseFactor = 0.7;
constexpr double kIncreaseShare = 0.05;
/// Without a ceiling, multiple of the rate after the decrease at which the limit is removed.
constexpr double kLimitRemovalFactor = 4;
/// Minimum rate in bytes per second. Without any requests, the link's round-trip time would not be known.
constexpr double kMinBytesPerSecond = 4'000;

double reservedFrom(TransferPriority kind) {
  switch (kind) {
    case TransferPriority::High:
      return 0;
    case TransferPriority::Normal:
      return kReservedFromNormalPriority;
    case TransferPriority::Low:
      return kReservedFromLowPriority;
  }
  return kReservedFromLowPriority;
}

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

double LinkShare::rate() const { return std::min(ceiling_, reduced_rate_.value_or(kUnbounded)); }

double LinkShare::bucketBytes() const { return rate() * kBucketSeconds; }

void LinkShare::refill(TimePoint now) {
  if (std::isinf(rate())) {
    refilled_at_.reset();
    return;
  }
  // A bucket that has just become limited starts full.
  tokens_ = refilled_at_ ? tokens_ + rate() * secondsOf(now - *refilled_at_) : bucketBytes();
  tokens_ = std::min(tokens_, bucketBytes());
  refilled_at_ = now;
}

bool LinkShare::admits(std::size_t bytes, TransferPriority kind, TimePoint now) {
  refill(now);
  if (!refilled_at_) return true;
  const double wanted = static_cast<double>(bytes) + reservedFrom(kind) * bucketBytes();
  return tokens_ >= std::min(wanted, bucketBytes());
}

void LinkShare::take(std::size_t bytes, TimePoint now) { settle(static_cast<double>(bytes), now); }

void LinkShare::settle(double more_bytes, TimePoint now) {
  refill(now);
  used_bytes_ += more_bytes;
  if (refilled_at_) tokens_ -= more_bytes;
}

bool LinkShare::adapt(bool is_queued, TimePoint now) {
  if (!adapted_at_) adapted_at_ = now;
  const Duration span = now - *adapted_at_;
  if (span < kAdaptInterval) return false;
  const double used_rate = std::max(0.0, used_bytes_) / secondsOf(span);
  adapted_at_ = now;
  used_bytes_ = 0;
  if (!is_queued) {
    recover();
    return false;
  }
  const bool is_newly_reduced = !reduced_rate_;
  rate_after_decrease_ = std::max(kMinBytesPerSecond, kDecreaseFactor * std::min(rate(), used_rate));
  reduced_rate_ = rate_after_decrease_;
  return is_newly_reduced;
}

void LinkShare::recover() {
  if (!reduced_rate_) return;
  *reduced_rate_ += kIncreaseShare * rate_after_decrease_;
  if (*reduced_rate_ >= std::min(ceiling_, kLimitRemovalFactor * rate_after_decrease_)) reduced_rate_.reset();
}

}  // namespace cometstand::sidecar
