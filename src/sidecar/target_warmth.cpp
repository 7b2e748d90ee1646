#include "sidecar/target_warmth.h"

namespace cometstand::sidecar {
namespace {

/// Between two questions while a doubt lasts: the answer of a busy target waits for a slot, some run times.
constexpr Duration kQuestionInterval = std::chrono::milliseconds(500);
/// A question without an answer for this long is given up: the target is silent.
constexpr Duration kQuestionLimit = std::chrono::seconds(2);
/// Added to what a target says: times on the wire are rounded, and its clock and ours tick apart. Reckoned.
constexpr Duration kMargin = std::chrono::milliseconds(20);

}  // namespace

void TargetWarmth::noteTold(Duration remaining, TimePoint now) {
  if (remaining <= Duration::zero()) return;
  told_at_ = now;
  told_until_ = now + remaining + kMargin;
}

void TargetWarmth::onNewInstance(Duration remaining, TimePoint now) {
  told_until_ = now;
  doubted_until_ = now;
  noteTold(remaining, now);
}

void TargetWarmth::onHeartbeat(Duration remaining, TimePoint now) {
  const TimePoint known = told_until_;
  noteTold(remaining, now);
  told_until_ = std::max(told_until_, known);
}

void TargetWarmth::onAnswered(std::optional<Duration> remaining, TimePoint now) {
  is_question_out_ = false;
  if (!remaining) return;
  noteTold(*remaining, now);
  const TimePoint asked_at = asked_at_.value_or(now);
  if (asked_at < doubted_at_) return;
  doubted_until_ = now;
  const bool is_warm = *remaining <= Duration::zero();
  if (is_warm && asked_at >= told_at_) told_until_ = now;
}

bool TargetWarmth::doubt(TimePoint now) {
  if (!isBounded()) return false;
  const bool is_news = !isDoubted(now);
  doubted_at_ = now;
  doubted_until_ = now + start_.time;
  // Nothing holds the next question up but one that is out.
  if (is_news && !is_question_out_) asked_at_.reset();
  return is_news;
}

bool TargetWarmth::takeQuestion(TimePoint now) {
  if (!isDoubted(now) || now < nextQuestion()) return false;
  asked_at_ = now;
  is_question_out_ = true;
  return true;
}

TimePoint TargetWarmth::nextQuestion() const {
  if (!asked_at_) return doubted_at_;
  return *asked_at_ + (is_question_out_ ? kQuestionLimit : kQuestionInterval);
}

}  // namespace cometstand::sidecar
