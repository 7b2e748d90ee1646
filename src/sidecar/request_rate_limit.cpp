#include "sidecar/request_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace cometstand::sidecar {
namespace {

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

Duration durationOf(double seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

std::size_t RequestRateLimit::maxInWindow() const {
  const double permitted = rate_ * secondsOf(bounds_.window) * bounds_.overshoot + bounds_.slack;
  return static_cast<std::size_t>(std::max(1.0, std::floor(permitted)));
}

double RequestRateLimit::tokensAt(TimePoint now) const {
  return std::min(bounds_.max_tokens, tokens_ + rate_ * secondsOf(now - filled_at_));
}

std::size_t RequestRateLimit::sentSince(TimePoint time) const {
  const auto first = std::upper_bound(sent_.begin(), sent_.end(), time);
  return static_cast<std::size_t>(std::distance(first, sent_.end()));
}

void RequestRateLimit::recordSent(TimePoint now) {
  while (!sent_.empty() && sent_.front() + countedTime() <= now) sent_.pop_front();
  sent_.push_back(now);
  tokens_ = std::max(0.0, tokensAt(now) - 1);
  filled_at_ = now;
}

void RequestRateLimit::reset(TimePoint now) {
  sent_.clear();
  tokens_ = 0;
  filled_at_ = now;
}

unsigned RequestRateLimit::available(TimePoint now) const {
  const std::size_t sent = sentInWindow(now);
  if (sent >= maxInWindow()) return 0;
  const double left = static_cast<double>(maxInWindow() - sent);
  return static_cast<unsigned>(std::min(std::floor(tokensAt(now)), left));
}

TimePoint RequestRateLimit::nextAvailable(TimePoint now, std::size_t ahead) const {
  const double missing = static_cast<double>(ahead + 1) - tokensAt(now);
  const TimePoint by_rate = missing > 0 ? now + durationOf(missing / rate_) : now;
  const std::size_t sent = sentInWindow(now);
  if (sent + ahead < maxInWindow()) return by_rate;
  // This many of the oldest requests have to leave the window first.
  const std::size_t leaving = std::min(sent, sent + ahead + 1 - maxInWindow());
  if (leaving == 0) return by_rate;
  const TimePoint by_window = sent_[sent_.size() - sent + leaving - 1] + countedTime();
  return std::max(by_rate, by_window);
}

}  // namespace cometstand::sidecar
