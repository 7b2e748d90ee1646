#include "sidecar/cold_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace cometstand::sidecar {
namespace {

/// 250 ms longer than the second that operators count over: a request that waits for a new connection reaches
/// the target up to this much later than it was sent, and so closer to the requests behind it.
constexpr Duration kWindow = std::chrono::milliseconds(1'250);
/// Capacity of the token bucket: a few requests that arrive together need not wait, and their work still fits
/// into a handful of slots.
constexpr double kMaxTokens = 3;

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

Duration durationOf(double seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

std::size_t ColdRateLimit::maxInWindow() const {
  return static_cast<std::size_t>(std::max(1.0, std::floor(rate_ * overshoot_ + slack_)));
}

double ColdRateLimit::tokensAt(TimePoint now) const {
  return std::min(kMaxTokens, tokens_ + rate_ * secondsOf(now - filled_at_));
}

std::size_t ColdRateLimit::sentSince(TimePoint time) const {
  const auto first = std::upper_bound(sent_.begin(), sent_.end(), time);
  return static_cast<std::size_t>(std::distance(first, sent_.end()));
}

void ColdRateLimit::recordSent(TimePoint now) {
  while (!sent_.empty() && sent_.front() + kWindow <= now) sent_.pop_front();
  sent_.push_back(now);
  tokens_ = std::max(0.0, tokensAt(now) - 1);
  filled_at_ = now;
}

void ColdRateLimit::reset(TimePoint now) {
  sent_.clear();
  tokens_ = 0;
  filled_at_ = now;
}

unsigned ColdRateLimit::available(TimePoint now) const {
  const std::size_t sent = sentSince(now - kWindow);
  if (sent >= maxInWindow()) return 0;
  const double left = static_cast<double>(maxInWindow() - sent);
  return static_cast<unsigned>(std::min(std::floor(tokensAt(now)), left));
}

TimePoint ColdRateLimit::nextAvailable(TimePoint now, std::size_t ahead) const {
  const double missing = static_cast<double>(ahead + 1) - tokensAt(now);
  const TimePoint by_rate = missing > 0 ? now + durationOf(missing / rate_) : now;
  const std::size_t sent = sentSince(now - kWindow);
  if (sent + ahead < maxInWindow()) return by_rate;
  // This many of the oldest requests have to leave the window first.
  const std::size_t leaving = std::min(sent, sent + ahead + 1 - maxInWindow());
  if (leaving == 0) return by_rate;
  const TimePoint by_window = sent_[sent_.size() - sent + leaving - 1] + kWindow;
  return std::max(by_rate, by_window);
}

}  // namespace cometstand::sidecar
