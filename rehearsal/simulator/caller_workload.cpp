#include "rehearsal/simulator/caller_workload.h"

#include <fmt/format.h>

namespace cometstand::simulator {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kMaxSendings = 6;
constexpr Duration kResendMinimum = milliseconds(20);
constexpr Duration kResendMaximum = milliseconds(300);
/// Time for the connection and for the proxy's own work, beyond the request's time limit.
constexpr Duration kAnswerMargin = milliseconds(60);
/// When a caller gives up on a proxy that says nothing.
constexpr Duration kGiveUpMargin = milliseconds(1500);
constexpr double kMicrosecondsInSecond = 1e6;

checkers::AttemptEnd toCheckerEnd(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::Answered:
      return checkers::AttemptEnd::Answered;
    case ExchangeEnd::NoConnection:
      return checkers::AttemptEnd::NoConnection;
    case ExchangeEnd::Broken:
      return checkers::AttemptEnd::Broken;
    case ExchangeEnd::TimedOut:
      break;
  }
  return checkers::AttemptEnd::TimedOut;
}

}  // namespace

CallerWorkload::CallerWorkload(Fleet& fleet)
    : fleet_(fleet),
      random_(fleet.random().uniform(0, UINT64_MAX)),
      proxies_(fleet.names("proxy")),
      host_(fleet.addClient("callers")),
      client_(fleet.queue(), fleet.network(), host_) {}

void CallerWorkload::start() {
  for (const auto& layout : fleet_.deployment().calls) scheduleNext(layout);
}

void CallerWorkload::scheduleNext(const CallLayout& layout) {
  const Duration mean(static_cast<Duration::rep>(kMicrosecondsInSecond / layout.rate));
  fleet_.queue().after(random_.uniform(mean / 2, mean * 3 / 2), [this, &layout] {
    if (stopped_) return;
    begin(layout);
    scheduleNext(layout);
  });
}

void CallerWorkload::begin(const CallLayout& layout) {
  auto call = std::make_shared<Call>();
  call->layout = layout;
  call->id = fmt::format("{}-{}", layout.route, ++begun_);
  call->target = fmt::format("/{}/{}", layout.route, begun_);
  if (layout.keyed) call->key = fmt::format("key-{}", call->id);
  call->must_complete = expect_completion_;
  send(call);
}

void CallerWorkload::send(const CallPointer& call) {
  const auto& layout = call->layout;
  auto proxy = proxies_[random_.uniform(0, proxies_.size() - 1)];
  if (proxy == call->last_proxy) proxy = proxies_[random_.uniform(0, proxies_.size() - 1)];
  call->last_proxy = proxy;
  const Duration time_left = milliseconds(layout.timeout_ms);
  checkers::Attempt attempt;
  attempt.id = fmt::format("{}-{}", call->id, ++call->sendings);
  attempt.tenant = fleet_.deployment().tenant;
  attempt.key = call->key;
  attempt.target = call->target;
  attempt.repeatable = layout.repeatable;
  attempt.proxy = proxy;
  attempt.caller = fleet_.network().nameOf(host_);
  attempt.sent = fleet_.queue().now();
  const auto delay = fleet_.network().maxDelay(host_, fleet_.httpHost(proxy));
  attempt.answer_due = attempt.sent + time_left + 4 * delay + kAnswerMargin;
  fleet_.checkers().requests.onSent(attempt);

  auto message = std::make_shared<proxy::CallerRequest>();
  message->method = layout.method;
  message->target = call->target;
  message->host = fmt::format("{}.example", layout.service);
  message->headers.push_back({"X-Request-Id", attempt.id});
  message->body = "content of " + call->id;
  message->idempotency_key = call->key;
  message->time_left = time_left;
  client_.request(fleet_.httpAddress(proxy), {message, 1, time_left, ""}, time_left + kGiveUpMargin,
                  [this, call, id = attempt.id](ExchangeEnd end, const HttpResponse* response) {
                    onEnd(call, id, end, response);
                  });
}

bool CallerWorkload::mayResend(const Call& call, ExchangeEnd end, const HttpResponse* response) const {
  if (call.sendings >= kMaxSendings) return false;
  if (call.layout.repeatable || call.layout.keyed || end == ExchangeEnd::NoConnection) return true;
  return end == ExchangeEnd::Answered && response->outcome == wire::Outcome::NotRun;
}

void CallerWorkload::onEnd(const CallPointer& call, const std::string& attempt, ExchangeEnd end,
                           const HttpResponse* response) {
  checkers::AttemptAnswer answer;
  answer.end = toCheckerEnd(end);
  Duration pause = random_.uniform(kResendMinimum, kResendMaximum);
  bool completed = false;
  if (end == ExchangeEnd::Answered) {
    answer.outcome = response->outcome;
    answer.status = response->response.status;
    answer.body = response->response.body;
    completed = response->outcome == wire::Outcome::Completed;
    pause = std::max(pause, response->retry_after);
  }
  fleet_.checkers().requests.onEnded(attempt, answer, fleet_.queue().now());
  if (completed || !mayResend(*call, end, response)) {
    finish(*call, completed);
    return;
  }
  fleet_.queue().after(pause, [this, call] { send(call); });
}

void CallerWorkload::finish(const Call& call, bool completed) {
  ++ended_;
  if (completed) ++completed_;
  if (completed || !call.must_complete) return;
  fleet_.checkers().log.add("recovery", fleet_.queue().now(),
                            fmt::format("{} did not complete although no fault was left", call.id));
}

}  // namespace cometstand::simulator
