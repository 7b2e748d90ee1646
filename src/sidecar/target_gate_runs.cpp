#include <algorithm>

#include "base/event_log.h"
#include "mesh/content_digest.h"
#include "sidecar/events.h"
#include "sidecar/target_gate.h"

/// What the gate learns of its target from how runs end.
namespace cometstand::sidecar {
namespace {

/// Weight of the newest run in the smoothed run time.
constexpr double kNewest = 0.1;
/// The first status by which a target says that it failed.
constexpr unsigned kFirstErrorStatus = 500;

/// @return the mean with one more value; the first value is the mean.
double smoothed(double mean, double value) { return mean == 0 ? value : mean + kNewest * (value - mean); }

/// @return the digest of a request without an answer, which may have ended its target; empty for all others.
std::string contentOf(const wire::ForwardRequestT& request, const wire::ForwardReplyT& reply) {
  const bool is_answered = reply.outcome != wire::ForwardOutcome::Unknown;
  return is_answered ? "" : mesh::formatDigest(mesh::digestsOf(request).exact);
}

/// @return microseconds.
double objectiveOf(const wire::ForwardRequestT& request) {
  const Duration objective = std::chrono::milliseconds(std::max<std::uint32_t>(1, request.objective_ms));
  return static_cast<double>(objective.count());
}

}  // namespace

void TargetGate::noteEnd(const Running& run, const wire::ForwardReplyT& reply, TimePoint now) {
  metrics_.noteRun(reply.outcome, now - run.started);
  // A request that ends targets is no fault of the version that ran it.
  const bool is_own_fault =
      reply.outcome == wire::ForwardOutcome::Unknown && quarantine_.isSuspect(*run.request);
  if (reply.outcome != wire::ForwardOutcome::NotRun && !is_own_fault) {
    const bool failed = reply.outcome == wire::ForwardOutcome::Unknown || reply.status >= kFirstErrorStatus;
    samples_.noteEnded(run.request->route, failed, now - run.started, run.was_cold);
  }
  logEvent(kRunEnded, {{"request", run.request->request_id},
                       {"outcome", wire::EnumNameForwardOutcome(reply.outcome)},
                       {"status", reply.status},
                       {"instance", target_.incarnation().name()},
                       {"service", run.request->service},
                       {"took_ms", ceilMilliseconds(now - run.started)},
                       {"left_ms", ceilMilliseconds(run.deadline - now)},
                       {"running", running()},
                       {"retry", run.request->is_retry},
                       {"content", contentOf(*run.request, reply)}});
}

void TargetGate::watchResult(const Running& run, const RunResult& result, TimePoint now) {
  const bool found_nobody =
      result.reply.outcome == wire::ForwardOutcome::NotRun && !result.reply.reached_target;
  if (found_nobody) doubtWarmth("no connection", now);
  if (result.reply.outcome == wire::ForwardOutcome::Unknown) {
    // A target that leaves ends anyway.
    if (target_.condition() != TargetCondition::Leaving) watch_.onBroken(run.request, run.incarnation, now);
  } else if (result.reply.outcome == wire::ForwardOutcome::Answered) {
    watch_.onAnswered(run.incarnation, run.started);
    quarantine_.onRunToEnd(*run.request, run.incarnation, now);
  }
}

std::vector<TargetWatch::Run> TargetGate::runsAtTarget() const {
  std::vector<TargetWatch::Run> runs;
  for (const auto& [id, run] : running_) runs.push_back({run.request, run.started});
  return runs;
}

void TargetGate::noteEndOfTarget(const std::optional<TargetEnd>& end, TimePoint now) {
  if (!end) return;
  doubtWarmth("target ended", now);
  quarantine_.onTargetEnded(*end, target_.service(), now);
}

void TargetGate::noteOutcome(const Running& run, const wire::ForwardReplyT& reply, TimePoint now) {
  if (reply.outcome == wire::ForwardOutcome::NotRun) return;
  const bool is_failure = reply.outcome == wire::ForwardOutcome::Unknown;
  failure_rate_ += kNewest * ((is_failure ? 1 : 0) - failure_rate_);
  if (!is_failure) noteRunTime(run, now);
}

void TargetGate::noteRunTime(const Running& run, TimePoint now) {
  const auto time = static_cast<double>((now - run.started).count());
  mean_run_time_ = smoothed(mean_run_time_, time);
  relative_run_time_ = smoothed(relative_run_time_, time / objectiveOf(*run.request));
  if (!yields(*run.request)) short_load_.onRunTime(now - run.started);
}

void TargetGate::noteGivenUp(const Running& run, TimePoint now) {
  const auto time = static_cast<double>((now - run.started).count()) / objectiveOf(*run.request);
  if (time > relative_run_time_) relative_run_time_ = smoothed(relative_run_time_, time);
  watch_.onGivenUp(run.request, now);
  // The sender gives up at the request's deadline; before that, its caller has left.
  if (now + kAnswerGrace >= run.deadline)
    samples_.noteEnded(run.request->route, true, now - run.started, run.was_cold);
  logEvent(kRunGivenUp, {{"request", run.request->request_id},
                         {"instance", target_.incarnation().name()},
                         {"service", run.request->service},
                         {"took_ms", ceilMilliseconds(now - run.started)},
                         {"left_ms", ceilMilliseconds(run.deadline - now)},
                         {"running", running()}});
}

}  // namespace cometstand::sidecar
