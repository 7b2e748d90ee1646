#include "sidecar/target_watch.h"

#include <utility>

namespace cometstand::sidecar {
namespace {

/// A run that was given up may still end its target for so long: about the time of a usual run.
constexpr Duration kGivenUpMemory = std::chrono::milliseconds(500);
/// Of runs that were given up; more are not remembered.
constexpr std::size_t kMostGivenUp = 64;
/// A broken connection is explained by another incarnation that is heard within this time; targets are back
/// after some seconds.
constexpr Duration kSuspicionTime = std::chrono::seconds(10);

}  // namespace

void TargetWatch::onBroken(const ForwardRequestPointer& request, const mesh::Incarnation& incarnation,
                           TimePoint now) {
  if (incarnation == ended_) return;
  const bool is_known =
      suspicion_ && suspicion_->incarnation == incarnation && now < suspicion_->since + kSuspicionTime;
  if (!is_known) {
    suspicion_ = Suspicion{incarnation, now, {}};
    port_.probe();
  }
  suspicion_->broken.push_back(request);
}

void TargetWatch::onGivenUp(const ForwardRequestPointer& request, TimePoint now) {
  while (!given_up_.empty() &&
         (given_up_.size() >= kMostGivenUp || given_up_.front().ended + kGivenUpMemory < now)) {
    given_up_.pop_front();
  }
  given_up_.push_back({request, now});
}

void TargetWatch::onAnswered(const mesh::Incarnation& incarnation, TimePoint started) {
  const bool is_alive = suspicion_ && suspicion_->incarnation == incarnation && started > suspicion_->since;
  if (is_alive) suspicion_.reset();
}

std::optional<TargetEnd> TargetWatch::onProbed(ProbeOutcome outcome, TimePoint now) {
  if (outcome != ProbeOutcome::Refused || !suspicion_) return std::nullopt;
  if (now >= suspicion_->since + kSuspicionTime) return std::nullopt;
  return conclude();
}

std::optional<TargetEnd> TargetWatch::onIncarnation(const mesh::Incarnation& incarnation, TimePoint now) {
  const bool is_replaced =
      suspicion_ && suspicion_->incarnation != incarnation && now < suspicion_->since + kSuspicionTime;
  if (!is_replaced) return std::nullopt;
  return conclude();
}

/// What began after the first broken connection never reached the target.
TargetEnd TargetWatch::conclude() {
  TargetEnd end{suspicion_->incarnation, std::move(suspicion_->broken)};
  for (const auto& run : running_()) {
    if (run.started < suspicion_->since) end.requests.push_back(run.request);
  }
  for (const auto& past : given_up_) {
    if (past.ended + kGivenUpMemory >= suspicion_->since) end.requests.push_back(past.request);
  }
  given_up_.clear();
  ended_ = end.incarnation;
  suspicion_.reset();
  return end;
}

}  // namespace cometstand::sidecar
