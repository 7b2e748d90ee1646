#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/url.hpp>
#include <charconv>

#include "base/error.h"
#include "rehearsal/standin/answer_body.h"
#include "rehearsal/standin/backend_session.h"

namespace cometstand::rehearsal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

/// Body length of an answer whose request names none, in bytes.
constexpr std::uint64_t kDefaultAnswerBytes = 200;
constexpr std::uint64_t kMaxAnswerBytes = 64ULL << 20U;

/// Shortest and longest advice on when to come back after shedding, in milliseconds.
constexpr std::uint64_t kMinRetryAfterMs = 20;
constexpr std::uint64_t kMaxRetryAfterMs = 200;

template <typename Request>
std::string headerText(const Request& request, const char* name) {
  const auto found = request.find(name);
  return found == request.end() ? std::string() : std::string(found->value());
}

/// @return the value of a header or text that is a whole number, else nothing.
std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || rest != text.data() + text.size()) return std::nullopt;
  return value;
}

/// @return the answer length that the target's `bytes` parameter asks for.
std::uint64_t answerBytes(std::string_view target) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) return kDefaultAnswerBytes;
  const auto parameters = url->params();
  const auto found = parameters.find("bytes");
  if (found == parameters.end()) return kDefaultAnswerBytes;
  return std::min(parseNumber((*found).value).value_or(kDefaultAnswerBytes), kMaxAnswerBytes);
}

template <typename Request>
TimePoint deadlineOf(const Request& request) {
  const auto left = parseNumber(headerText(request, "X-Request-Deadline-Ms"));
  return left ? SteadyClock::now() + std::chrono::milliseconds(*left) : TimePoint::max();
}

json::object countersJson(const BackendCounters& counters) {
  return {{"connections", counters.connections},
          {"connections_refused", counters.connections_refused},
          {"probes", counters.probes},
          {"begun", counters.begun},
          {"finished", counters.finished},
          {"shed", counters.shed},
          {"refused_leaving", counters.refused_leaving},
          {"cancelled", counters.cancelled},
          {"deadline_passed", counters.deadline_passed},
          {"arrived_leaving", counters.arrived_leaving},
          {"begun_leaving", counters.begun_leaving},
          {"last_arrival_leaving_ms", ceilMilliseconds(counters.last_arrival_leaving)}};
}

}  // namespace

asio::awaitable<std::optional<Backend::Response>> Backend::answer(Session& session, const Request& request) {
  const std::string_view target(request.target().data(), request.target().size());
  if (target == "/healthz" || target == "/load") co_return co_await answerProbe(session, request);
  if (target == "/executed") co_return jsonAnswer(request, executedJson());
  if (target == "/stats") co_return jsonAnswer(request, countersJson(counters_));
  if (target == "/control") co_return answerControl(request);
  co_return co_await answerWork(session, request);
}

asio::awaitable<std::optional<Backend::Response>> Backend::answerWork(Session& session,
                                                                      const Request& request) {
  noteArrivalWhileLeaving();
  if (leaving_since_ && behavior_.refuse_while_leaving) {
    ++counters_.refused_leaving;
    co_return refusal(request, "leaving");
  }
  if (behavior_.shed_all) co_return refusal(request, "shed");
  session.deadline = deadlineOf(request);
  const WorkId id{next_work_++};
  const Admission admission = queue_.submit(id);
  load_report_.record(SteadyClock::now(), queue_.load());
  const SlotResult slot = co_await acquireSlot(session, id, admission);
  if (slot == SlotResult::PeerClosed) {
    ++counters_.cancelled;
    co_return std::nullopt;
  }
  if (slot != SlotResult::Acquired) co_return refusal(request, "shed");
  auto response = co_await runWork(session, request);
  release(id);
  co_return response;
}

asio::awaitable<std::optional<Backend::Response>> Backend::runWork(Session& session, const Request& request) {
  const std::string request_id = headerText(request, "X-Request-Id");
  ++counters_.begun;
  if (leaving_since_) ++counters_.begun_leaving;
  if (!request_id.empty()) executed_.begin(request_id, headerText(request, "Idempotency-Key"));
  const TimePoint end = SteadyClock::now() + nextServiceTime();
  session.timer.expires_after(std::min(end, session.deadline) - SteadyClock::now());
  const WaitResult waited = co_await waitUnlessClosed(session);
  if (waited == WaitResult::PeerClosed) {
    ++counters_.cancelled;
    co_return std::nullopt;
  }
  if (end > session.deadline) {
    ++counters_.deadline_passed;
    Response late(http::status::gateway_timeout, request.version());
    late.body() = "the deadline passed while the request was in work\n";
    late.prepare_payload();
    co_return late;
  }
  ++counters_.finished;
  if (!request_id.empty()) executed_.finish(request_id);
  co_return completedAnswer(request);
}

asio::awaitable<std::optional<Backend::Response>> Backend::answerProbe(Session& session,
                                                                       const Request& request) {
  ++counters_.probes;
  session.deadline = TimePoint::max();
  if (behavior_.probes_hang) {
    session.timer.expires_at(asio::steady_timer::time_point::max());
    co_await waitUnlessClosed(session);
    co_return std::nullopt;
  }
  if (options_.probe_cost > Duration::zero()) {
    const WorkId id{next_work_++};
    const SlotResult slot = co_await acquireSlot(session, id, queue_.submitFirst(id));
    if (slot == SlotResult::PeerClosed) co_return std::nullopt;
    session.timer.expires_after(options_.probe_cost);
    co_await session.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    release(id);
  }
  if (request.target() == "/load") {
    co_return jsonAnswer(request, json::object{{"load", load_report_.reported(SteadyClock::now())}});
  }
  const bool cold = SteadyClock::now() < started_ + options_.cold_time;
  const char* state = leaving_since_ ? "leaving" : (cold ? "cold" : "live");
  co_return jsonAnswer(request, json::object{{"state", state}, {"incarnation", incarnation_}});
}

Backend::Response Backend::answerControl(const Request& request) {
  try {
    setBehavior(applyControl(behavior_, json::parse(request.body())));
  } catch (const std::exception& error) {
    auto response = jsonAnswer(request, json::object{{"error", error.what()}});
    response.result(http::status::bad_request);
    return response;
  }
  return jsonAnswer(request, json::object{{"applied", true}});
}

json::value Backend::executedJson() const {
  return json::object{{"name", options_.name},
                      {"incarnation", incarnation_},
                      {"counters", countersJson(counters_)},
                      {"requests", executed_.toJson()}};
}

Backend::Response Backend::jsonAnswer(const Request& request, const json::value& body) const {
  Response response(http::status::ok, request.version());
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body);
  response.prepare_payload();
  return response;
}

Backend::Response Backend::refusal(const Request& request, const char* not_run) {
  if (std::string_view(not_run) == "shed") ++counters_.shed;
  Response response(http::status::service_unavailable, request.version());
  const auto wait = kMinRetryAfterMs + fault_engine_() % (kMaxRetryAfterMs - kMinRetryAfterMs);
  response.set("X-Not-Run", not_run);
  response.set(http::field::retry_after, "1");
  response.set("X-Retry-After-Ms", fmt::format("{}", wait));
  response.set("X-Load", fmt::format("{:.3f}", load_report_.reported(SteadyClock::now())));
  response.body() = "not run\n";
  response.prepare_payload();
  return response;
}

Backend::Response Backend::completedAnswer(const Request& request) {
  Response response(http::status::ok, request.version());
  response.set(http::field::content_type, "application/octet-stream");
  response.set("X-Request-Id", headerText(request, "X-Request-Id"));
  response.set("X-Load", fmt::format("{:.3f}", load_report_.reported(SteadyClock::now())));
  const std::string_view target(request.target().data(), request.target().size());
  response.body() = answerBody(headerText(request, "X-Request-Id"), answerBytes(target));
  response.prepare_payload();
  return response;
}

void Backend::noteArrivalWhileLeaving() {
  if (!leaving_since_) return;
  ++counters_.arrived_leaving;
  counters_.last_arrival_leaving = SteadyClock::now() - *leaving_since_;
}

Duration Backend::nextServiceTime() {
  double factor = behavior_.slow_factor;
  const Duration age = SteadyClock::now() - started_;
  if (age < options_.cold_time) {
    const double left =
        1 - static_cast<double>(age.count()) / static_cast<double>(options_.cold_time.count());
    factor *= 1 + (options_.cold_factor - 1) * left;
  }
  const auto drawn = static_cast<double>(service_times_.next().count());
  return Duration(static_cast<Duration::rep>(drawn * factor));
}

bool Backend::strikesFault() {
  return boost::random::uniform_01<double>()(fault_engine_) < behavior_.fault_share;
}

}  // namespace cometstand::rehearsal
