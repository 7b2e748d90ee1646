#include <algorithm>

#include "base/event_log.h"
#include "mesh/content_digest.h"
#include "sidecar/events.h"
#include "sidecar/target_gate.h"

/// What the gate derives from the results of runs: run times, failure rate, and signs that the target ended.
namespace cometstand::sidecar {
namespace {

/// Weight of the newest run in the smoothed run time and failure rate.
constexpr double kNewestWeight = 0.1;
/// The lowest HTTP status that counts as a failure of the target.
constexpr unsigned kFirstServerErrorStatus = 500;

/// @return the smoothed mean after one more value; the first value becomes the mean.
double smoothed(double mean, double value) {
  return mean == 0 ? value : mean + kNewestWeight * (value - mean);
}

/// @return the digest of a request without an answer, which may have crashed its target; empty for all
/// others.
std::string unansweredDigest(const wire::ForwardRequestT& request, const wire::ForwardReplyT& reply) {
  const bool is_answered = reply.outcome != wire::ForwardOutcome::Unknown;
  return is_answered ? "" : mesh::formatDigest(mesh::digestsOf(request).exact);
}

double objectiveMicroseconds(const wire::ForwardRequestT& request) {
  const Duration objective = std::chrono::milliseconds(std::max<std::uint32_t>(1, request.objective_ms));
  return static_cast<double>(objective.count());
}

}  // namespace

void TargetGate::recordEnd(const RunningRequest& run, const wire::ForwardReplyT& reply,
                           const std::string& fault, TimePoint now) {
  metrics_.recordRun(reply.outcome, now - run.started);
  // A request that crashes its targets is not a failure of the version that ran it.
  const bool is_own_fault =
      reply.outcome == wire::ForwardOutcome::Unknown && quarantine_.isSuspect(*run.request);
  if (reply.outcome != wire::ForwardOutcome::NotRun && !is_own_fault) {
    const bool failed =
        reply.outcome == wire::ForwardOutcome::Unknown || reply.status >= kFirstServerErrorStatus;
    samples_.recordCompletion(run.request->route, failed, now - run.started, run.was_cold);
  }
  logEvent(kRunEnded, {{"request", run.request->request_id},
                       {"outcome", wire::EnumNameForwardOutcome(reply.outcome)},
                       {"status", reply.status},
                       {"fault", fault},
                       {"instance", target_.incarnation().name()},
                       {"service", run.request->service},
                       {"took_ms", ceilMilliseconds(now - run.started)},
                       {"left_ms", ceilMilliseconds(run.deadline - now)},
                       {"running", running()},
                       {"retry", run.request->is_retry},
                       {"content", unansweredDigest(*run.request, reply)}});
}

void TargetGate::reportToWatch(const RunningRequest& run, const RunResult& result, TimePoint now) {
  const bool could_not_connect =
      result.reply.outcome == wire::ForwardOutcome::NotRun && !result.reply.reached_target;
  if (could_not_connect) presumeCold("no connection", now);
  if (result.reply.outcome == wire::ForwardOutcome::Unknown) {
    // A target that shuts down ends anyway; its broken connections are no sign of a crash.
    if (target_.condition() != TargetCondition::Leaving) watch_.onBroken(run.request, run.incarnation, now);
  } else if (result.reply.outcome == wire::ForwardOutcome::Answered) {
    watch_.onAnswered(run.incarnation, run.started);
    quarantine_.onCompleted(*run.request, run.incarnation, now);
  }
}

std::vector<TargetWatch::Run> TargetGate::runsAtTarget() const {
  std::vector<TargetWatch::Run> runs;
  for (const auto& [id, run] : running_) runs.push_back({run.request, run.started});
  return runs;
}

void TargetGate::recordTargetEnd(const std::optional<TargetEnd>& end, TimePoint now) {
  if (!end) return;
  presumeCold("target ended", now);
  quarantine_.onTargetEnded(*end, target_.service(), now);
}

void TargetGate::recordOutcome(const RunningRequest& run, const wire::ForwardReplyT& reply, TimePoint now) {
  if (reply.outcome == wire::ForwardOutcome::NotRun) return;
  const bool is_failure = reply.outcome == wire::ForwardOutcome::Unknown;
  failure_rate_ += kNewestWeight * ((is_failure ? 1 : 0) - failure_rate_);
  if (!is_failure) recordRunTime(run, now);
}

void TargetGate::recordRunTime(const RunningRequest& run, TimePoint now) {
  const auto time = static_cast<double>((now - run.started).count());
  mean_run_time_ = smoothed(mean_run_time_, time);
  relative_run_time_ = smoothed(relative_run_time_, time / objectiveMicroseconds(*run.request));
  if (!yields(*run.request)) non_yielding_load_.onRunTime(now - run.started);
}

void TargetGate::recordAbandoned(const RunningRequest& run, TimePoint now) {
  const auto time = static_cast<double>((now - run.started).count()) / objectiveMicroseconds(*run.request);
  if (time > relative_run_time_) relative_run_time_ = smoothed(relative_run_time_, time);
  watch_.onCancelled(run.request, now);
  // A sender that cancels at the request's deadline timed out, which counts as a failure. Before the
  // deadline, it was its caller that disconnected.
  if (now + kAnswerGrace >= run.deadline)
    samples_.recordCompletion(run.request->route, true, now - run.started, run.was_cold);
  logEvent(kRunCancelled, {{"request", run.request->request_id},
                           {"instance", target_.incarnation().name()},
                           {"service", run.request->service},
                           {"took_ms", ceilMilliseconds(now - run.started)},
                           {"left_ms", ceilMilliseconds(run.deadline - now)},
                           {"running", running()}});
}

}  // namespace cometstand::sidecar
