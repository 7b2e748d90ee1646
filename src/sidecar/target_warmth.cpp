#include "sidecar/target_warmth.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Between two questions while a doubt lasts: the answer of a busy target waits for a slot, some run times.
constexpr Duration kQuestionInterval = std::chrono::milliseconds(500);

}  // namespace

void TargetWarmth::onNewInstance(Duration remaining, TimePoint now) {
  told_until_ = now + remaining;
  doubted_until_ = now;
}

void TargetWarmth::onHeartbeat(Duration remaining, TimePoint now) {
  told_until_ = std::max(told_until_, now + remaining);
}

void TargetWarmth::onAnswered(std::optional<Duration> remaining, TimePoint now) {
  if (!remaining) return;
  told_until_ = now + *remaining;
  doubted_until_ = now;
}

bool TargetWarmth::doubt(TimePoint now) {
  if (!isBounded()) return false;
  const bool is_news = !isDoubted(now);
  // What was asked before says nothing of what has happened since.
  if (is_news) asked_at_.reset();
  doubted_until_ = now + start_.time;
  return is_news;
}

bool TargetWarmth::takeQuestion(TimePoint now) {
  if (!isDoubted(now) || now < nextQuestion()) return false;
  asked_at_ = now;
  return true;
}

TimePoint TargetWarmth::nextQuestion() const {
  return asked_at_ ? *asked_at_ + kQuestionInterval : TimePoint();
}

}  // namespace cometstand::sidecar
