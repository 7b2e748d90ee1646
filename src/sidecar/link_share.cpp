#include "sidecar/link_share.h"

#include <algorithm>
#include <cmath>

namespace cometstand::sidecar {
namespace {

/// Time at the sender's rate that may be saved up: what all senders save is this much of the link's time.
constexpr double kDepthSeconds = 0.25;
/// Parts of the bucket that are left to those who go before.
constexpr double kKeptBySecond = 0.25;
constexpr double kKeptByLast = 0.5;
/// Between two adaptations of the rate. Reckoned: some round trips between regions, so that a change shows.
constexpr Duration kAdaptInterval = std::chrono::milliseconds(500);
/// The usual factors of additive increase and multiplicative decrease, the increase as a share of the rate
/// after the decrease: back at the old rate after some 4 s without a queue.
constexpr double kDecrease = 0.7;
constexpr double kIncrease = 0.05;
/// Without a ceiling the bound is dropped at so many times the rate to which it fell.
constexpr double kFreeAgain = 4;
/// Bytes a second that are always allowed: without any request nothing would be measured.
constexpr double kLeastRate = 4'000;

double keptOf(TransferClass kind) {
  switch (kind) {
    case TransferClass::First:
      return 0;
    case TransferClass::Second:
      return kKeptBySecond;
    case TransferClass::Last:
      return kKeptByLast;
  }
  return kKeptByLast;
}

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

double LinkShare::rate() const { return std::min(ceiling_, reduced_.value_or(kUnbounded)); }

double LinkShare::depth() const { return rate() * kDepthSeconds; }

void LinkShare::refill(TimePoint now) {
  if (std::isinf(rate())) {
    filled_at_.reset();
    return;
  }
  // A bucket that was not bounded until now begins full.
  tokens_ = filled_at_ ? tokens_ + rate() * secondsOf(now - *filled_at_) : depth();
  tokens_ = std::min(tokens_, depth());
  filled_at_ = now;
}

bool LinkShare::admits(std::size_t bytes, TransferClass kind, TimePoint now) {
  refill(now);
  if (!filled_at_) return true;
  const double wanted = static_cast<double>(bytes) + keptOf(kind) * depth();
  return tokens_ >= std::min(wanted, depth());
}

void LinkShare::take(std::size_t bytes, TimePoint now) { settle(static_cast<double>(bytes), now); }

void LinkShare::settle(double more_bytes, TimePoint now) {
  refill(now);
  used_ += more_bytes;
  if (filled_at_) tokens_ -= more_bytes;
}

bool LinkShare::adapt(bool is_queued, TimePoint now) {
  if (!adapted_at_) adapted_at_ = now;
  const Duration span = now - *adapted_at_;
  if (span < kAdaptInterval) return false;
  const double used_rate = std::max(0.0, used_) / secondsOf(span);
  adapted_at_ = now;
  used_ = 0;
  if (!is_queued) {
    recover();
    return false;
  }
  const bool is_first = !reduced_;
  reduced_to_ = std::max(kLeastRate, kDecrease * std::min(rate(), used_rate));
  reduced_ = reduced_to_;
  return is_first;
}

void LinkShare::recover() {
  if (!reduced_) return;
  *reduced_ += kIncrease * reduced_to_;
  if (*reduced_ >= std::min(ceiling_, kFreeAgain * reduced_to_)) reduced_.reset();
}

}  // namespace cometstand::sidecar
