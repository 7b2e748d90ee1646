#include "rehearsal/standin/caller.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "rehearsal/standin/answer_check.h"

namespace cometstand::rehearsal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

/// How long a connect may take.
constexpr Duration kConnectTimeLimit = std::chrono::seconds(2);

/// How long past its deadline an answer is waited for, before it counts as lost.
constexpr Duration kAnswerGrace = std::chrono::seconds(2);

/// Pause before a request is sent again after a lost answer.
constexpr Duration kResendPause = std::chrono::milliseconds(50);

/// Largest answer body read, in bytes.
constexpr std::uint64_t kMaxAnswerBody = 128ULL << 20U;

/// Time left that a first attempt names at least, however late it begins.
constexpr Duration kLeastTime = std::chrono::milliseconds(1);

/// Time given to a request that is sent again after its deadline, to learn what became of it.
constexpr Duration kClarifyTime = std::chrono::seconds(1);

}  // namespace

/// How one attempt ended.
struct Caller::Attempt {
  enum class End : std::uint8_t { ConnectFailed, AnswerLost, Answered };
  End end = End::ConnectFailed;
  std::string reason;
  Response answer;
};

Caller::Caller(asio::io_context& io, CallerOptions options, Workload workload)
    : io_(io),
      options_(std::move(options)),
      workload_(std::move(workload)),
      engine_(options_.seed),
      arrival_timer_(io) {}

void Caller::start() {
  ++running_;
  asio::co_spawn(io_, arrivals(), asio::detached);
}

void Caller::stop() {
  stopping_ = true;
  arrival_timer_.cancel();
}

asio::awaitable<void> Caller::arrivals() {
  const boost::random::exponential_distribution<double> between(options_.rate);
  const TimePoint start = SteadyClock::now();
  TimePoint intended = start;
  while (!stopping_) {
    intended += Duration(static_cast<Duration::rep>(between(engine_) * 1e6));
    if (intended >= start + options_.duration) break;
    arrival_timer_.expires_after(intended - SteadyClock::now());
    co_await arrival_timer_.async_wait(kAwaitTuple);
    if (stopping_) break;
    const RequestKind& kind = pickKind();
    ++running_;
    asio::co_spawn(io_, call(kind, newRecord(kind), intended), asio::detached);
  }
  finishOne();
}

void Caller::finishOne() {
  --running_;
  if (running_ == 0 && on_done_) on_done_();
}

const RequestKind& Caller::pickKind() {
  std::vector<double> weights;
  for (const auto& kind : workload_.kinds) weights.push_back(kind.weight);
  const boost::random::discrete_distribution<std::size_t, double> pick(weights.begin(), weights.end());
  return workload_.kinds[pick(engine_)];
}

CallRecord Caller::newRecord(const RequestKind& kind) {
  CallRecord record;
  record.request_id = fmt::format("{}-{}", options_.name, next_request_++);
  record.kind = kind.name;
  record.repeatable = kind.repeatable;
  if (kind.keyed) record.idempotency_key = "key-" + record.request_id;
  return record;
}

asio::awaitable<void> Caller::call(const RequestKind& kind, CallRecord record, TimePoint intended) {
  const TimePoint due = intended + kind.deadline;
  std::size_t server =
      boost::random::uniform_int_distribution<std::size_t>(0, options_.servers.size() - 1)(engine_);
  while (!co_await tryOnce(kind, record, due, server)) server = (server + 1) % options_.servers.size();
  record.latency = SteadyClock::now() - intended;
  record.within_deadline = record.outcome == CallOutcome::Completed && record.latency <= kind.deadline;
  report_.add(std::move(record));
  finishOne();
}

/// Makes one attempt and notes its outcome in the record. @return true if that outcome is final.
asio::awaitable<bool> Caller::tryOnce(const RequestKind& kind, CallRecord& record, TimePoint due,
                                      std::size_t server) {
  const Duration least_time = record.attempts == 0 ? kLeastTime : kClarifyTime;
  const Duration time_left = std::max(due - SteadyClock::now(), least_time);
  const Request request = makeRequest(kind, record, time_left);
  Attempt made = co_await attempt(options_.servers[server], request, time_left + kAnswerGrace);
  record.reason = made.reason;
  if (made.end == Attempt::End::ConnectFailed) {
    ++record.connect_failures;
    record.outcome = record.lost_answers > 0 ? CallOutcome::Lost : CallOutcome::Unreachable;
    co_return record.connect_failures >= options_.servers.size();
  }
  ++record.attempts;
  const bool may_resend = (kind.repeatable || kind.keyed) && record.attempts < options_.max_attempts &&
                          SteadyClock::now() < due + (kind.keyed ? options_.resend_window : Duration::zero());
  if (made.end == Attempt::End::AnswerLost) {
    ++record.lost_answers;
    record.outcome = CallOutcome::Lost;
    if (may_resend) co_await pause(kResendPause);
    co_return !may_resend;
  }
  if (record.first_answer == Duration::zero()) {
    record.first_answer = SteadyClock::now() - (due - kind.deadline);
  }
  const AnswerVerdict verdict = checkAnswer(kind, record.request_id, made.answer);
  record.outcome = verdict.outcome;
  record.reason = verdict.reason;
  // An earlier attempt whose answer was lost may have run, whatever became of the later one.
  const bool may_have_run = record.lost_answers > 0 || verdict.outcome == CallOutcome::Unknown;
  if (may_have_run && verdict.outcome == CallOutcome::NotRun) record.outcome = CallOutcome::Unknown;
  const bool unsettled =
      record.outcome == CallOutcome::Unknown && kind.keyed && verdict.retry_after.has_value();
  if (!unsettled || !may_resend) co_return true;
  co_await pause(*verdict.retry_after);
  co_return false;
}

asio::awaitable<Caller::Attempt> Caller::attempt(const Endpoint& server, const Request& request,
                                                 Duration time_limit) {
  auto connection = pool_.take(server);
  if (!connection) connection = co_await connect(server);
  if (!connection) co_return Attempt{Attempt::End::ConnectFailed, "connect_failed", {}};
  const bool reused = connection->answers > 0;
  auto& stream = connection->stream;
  stream.expires_after(time_limit);
  const auto [write_error, written] = co_await http::async_write(stream, request, kAwaitTuple);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBody);
  boost::system::error_code error = write_error;
  if (!write_error) {
    const auto [read_error, received] =
        co_await http::async_read(stream, connection->buffer, parser, kAwaitTuple);
    error = read_error;
  }
  if (error) {
    co_return Attempt{
        Attempt::End::AnswerLost, fmt::format("{}: {}", reused ? "reused" : "new", error.message()), {}};
  }
  stream.expires_never();
  ++connection->answers;
  Response answer = parser.release();
  if (answer.keep_alive()) pool_.giveBack(server, std::move(connection));
  co_return Attempt{Attempt::End::Answered, "", std::move(answer)};
}

asio::awaitable<std::unique_ptr<CallerConnection>> Caller::connect(const Endpoint& server) {
  auto connection = std::make_unique<CallerConnection>(io_.get_executor());
  connection->stream.expires_after(kConnectTimeLimit);
  const auto [error] = co_await connection->stream.async_connect(server, kAwaitTuple);
  if (error) co_return nullptr;
  boost::system::error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  co_return connection;
}

asio::awaitable<void> Caller::pause(Duration duration) {
  asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(kAwaitTuple);
}

Caller::Request Caller::makeRequest(const RequestKind& kind, const CallRecord& record,
                                    Duration time_left) const {
  Request request;
  request.version(11);
  request.method_string(kind.method);
  request.target(fmt::format("{}?bytes={}", kind.path, kind.answer_bytes));
  request.set(http::field::host, kind.host);
  request.set("X-Request-Id", record.request_id);
  request.set("X-Request-Deadline-Ms", fmt::format("{}", ceilMilliseconds(time_left)));
  if (!record.idempotency_key.empty()) request.set("Idempotency-Key", record.idempotency_key);
  request.body().assign(kind.request_bytes, '.');
  request.prepare_payload();
  return request;
}

}  // namespace cometstand::rehearsal
