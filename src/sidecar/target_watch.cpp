#include "sidecar/target_watch.h"

#include <utility>

namespace cometstand::sidecar {
namespace {

/// Time after its cancellation during which a run may still crash the target; about the time of a typical
/// run.
constexpr Duration kCancelledRunRetention = std::chrono::milliseconds(500);
/// Maximum number of cancelled runs that are remembered.
constexpr std::size_t kMaxCancelledRuns = 64;
/// A new incarnation within this time after a broken connection confirms that the target terminated. Targets
/// restart within a few seconds.
constexpr Duration kSuspicionTimeout = std::chrono::seconds(10);

}  // namespace

void TargetWatch::onBroken(const ForwardRequestPointer& request, const mesh::Incarnation& incarnation,
                           TimePoint now) {
  if (incarnation == last_ended_) return;
  const bool is_known =
      suspicion_ && suspicion_->incarnation == incarnation && now < suspicion_->since + kSuspicionTimeout;
  if (!is_known) {
    suspicion_ = Suspicion{incarnation, now, {}};
    port_.probe();
  }
  suspicion_->broken.push_back(request);
}

void TargetWatch::onCancelled(const ForwardRequestPointer& request, TimePoint now) {
  while (!cancelled_runs_.empty() && (cancelled_runs_.size() >= kMaxCancelledRuns ||
                                      cancelled_runs_.front().cancelled_at + kCancelledRunRetention < now)) {
    cancelled_runs_.pop_front();
  }
  cancelled_runs_.push_back({request, now});
}

void TargetWatch::onAnswered(const mesh::Incarnation& incarnation, TimePoint started) {
  const bool is_alive = suspicion_ && suspicion_->incarnation == incarnation && started > suspicion_->since;
  if (is_alive) suspicion_.reset();
}

std::optional<TargetEnd> TargetWatch::onProbed(ProbeOutcome outcome, TimePoint now) {
  if (outcome != ProbeOutcome::Refused || !suspicion_) return std::nullopt;
  if (now >= suspicion_->since + kSuspicionTimeout) return std::nullopt;
  return confirmEnd();
}

std::optional<TargetEnd> TargetWatch::onIncarnation(const mesh::Incarnation& incarnation, TimePoint now) {
  const bool is_replaced =
      suspicion_ && suspicion_->incarnation != incarnation && now < suspicion_->since + kSuspicionTimeout;
  if (!is_replaced) return std::nullopt;
  return confirmEnd();
}

/// Runs that started after the first broken connection never reached the target and are left out.
TargetEnd TargetWatch::confirmEnd() {
  TargetEnd end{suspicion_->incarnation, std::move(suspicion_->broken)};
  for (const auto& run : list_running_()) {
    if (run.started < suspicion_->since) end.requests.push_back(run.request);
  }
  for (const auto& cancelled : cancelled_runs_) {
    if (cancelled.cancelled_at + kCancelledRunRetention >= suspicion_->since)
      end.requests.push_back(cancelled.request);
  }
  cancelled_runs_.clear();
  last_ended_ = end.incarnation;
  suspicion_.reset();
  return end;
}

}  // namespace cometstand::sidecar
