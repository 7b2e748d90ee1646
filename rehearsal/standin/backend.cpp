#include "rehearsal/standin/backend.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "base/event_log.h"
#include "rehearsal/standin/backend_session.h"
#include "rehearsal/standin/events.h"
#include "rehearsal/standin/listen_address.h"

namespace cometstand::rehearsal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

/// Largest request body that the stand-in reads, in bytes.
constexpr std::uint64_t kMaxRequestBody = 64ULL << 20U;

/// Sets the timer relative to the kit's clock; TimePoint::max() means never.
void expireAt(asio::steady_timer& timer, TimePoint at) {
  if (at == TimePoint::max()) {
    timer.expires_at(asio::steady_timer::time_point::max());
  } else {
    timer.expires_after(at - SteadyClock::now());
  }
}

/// @return true if the other end closed the connection; false if bytes are waiting.
bool peerClosed(tcp::socket& socket) {
  char byte = 0;
  error_code error;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error && error != asio::error::would_block && error != asio::error::try_again;
}

/// Sends the header and the first bytes of the body, as a back end that fails in the middle does.
template <typename Response>
asio::awaitable<void> sendPart(boost::beast::tcp_stream& stream, const Response& response,
                               std::uint64_t body_bytes) {
  std::ostringstream text;
  text << response.base();
  const std::string part = text.str() + response.body().substr(0, body_bytes);
  co_await asio::async_write(stream, asio::buffer(part), kAwaitTuple);
}

}  // namespace

Backend::Backend(asio::io_context& io, BackendOptions options)
    : io_(io),
      options_(std::move(options)),
      acceptor_(listenOn(io, options_.listen)),
      linger_timer_(io),
      queue_(options_.slots, options_.queue_limit),
      service_times_(options_.service_time, options_.seed),
      fault_engine_(options_.seed + 1),
      incarnation_(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())),
      started_(SteadyClock::now()) {}

void Backend::start() {
  logEvent(
      kStandinListening,
      {{"name", options_.name}, {"address", address().address().to_string()}, {"port", address().port()}});
  asio::co_spawn(io_, acceptLoop(), asio::detached);
}

void Backend::setBehavior(const BackendBehavior& behavior) {
  behavior_ = behavior;
  load_report_.setLag(behavior.load_lag);
  load_report_.setLie(behavior.load_lie);
  if (behavior.leaving) beginLeaving();
}

void Backend::beginLeaving() {
  if (leaving_since_) return;
  leaving_since_ = SteadyClock::now();
  behavior_.leaving = true;
  logEvent(kStandinLeaving,
           {{"name", options_.name}, {"in_work", queue_.working()}, {"waiting", queue_.waiting()}});
  linger_timer_.expires_after(options_.linger_time);
  linger_timer_.async_wait([this](error_code) { endWhenDrained(); });
}

void Backend::endWhenDrained() {
  if (!leaving_since_ || open_requests_ > 0) return;
  if (SteadyClock::now() < *leaving_since_ + options_.linger_time) return;
  logEvent(kStandinStopped,
           {{"name", options_.name}, {"begun", counters_.begun}, {"finished", counters_.finished}});
  io_.stop();
}

asio::awaitable<void> Backend::acceptLoop() {
  asio::steady_timer pause(io_);
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
    if (error) {
      pause.expires_after(std::chrono::milliseconds(10));
      co_await pause.async_wait(kAwaitTuple);
      continue;
    }
    pause.expires_after(options_.connection_cost);
    co_await pause.async_wait(kAwaitTuple);
    if (open_sessions_ >= options_.max_connections) {
      ++counters_.connections_refused;
      logEvent(kConnectionLimitReached, {{"name", options_.name}, {"limit", options_.max_connections}});
      continue;
    }
    ++counters_.connections;
    auto session = std::make_shared<Session>(std::move(socket));
    asio::co_spawn(io_, runSession(std::move(session)), asio::detached);
  }
}

asio::awaitable<void> Backend::runSession(std::shared_ptr<Session> session) {
  ++open_sessions_;
  error_code ignored;
  session->stream.socket().set_option(tcp::no_delay(true), ignored);
  co_await serveRequests(*session);
  --open_sessions_;
}

asio::awaitable<void> Backend::serveRequests(Session& session) {
  for (bool keep_open = true; keep_open;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxRequestBody);
    const auto [error, bytes] =
        co_await http::async_read(session.stream, session.buffer, parser, kAwaitTuple);
    if (error) co_return;
    ++open_requests_;
    const Request request = parser.release();
    auto response = co_await answer(session, request);
    keep_open = response.has_value();
    if (response) {
      response->keep_alive(request.keep_alive() && !leaving_since_);
      keep_open = co_await sendAnswer(session, std::move(*response));
    }
    --open_requests_;
    endWhenDrained();
  }
  error_code ignored;
  session.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> Backend::sendAnswer(Session& session, Response response) {
  const bool faulty = response.count("X-Request-Id") > 0 && strikesFault();
  if (faulty && behavior_.truncate_after) {
    co_await sendPart(session.stream, response, *behavior_.truncate_after);
    co_return false;
  }
  if (faulty && behavior_.reset_after) {
    co_await sendPart(session.stream, response, *behavior_.reset_after);
    error_code ignored;
    session.stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    session.stream.close();
    co_return false;
  }
  const auto [error, bytes] = co_await http::async_write(session.stream, response, kAwaitTuple);
  co_return !error && response.keep_alive();
}

asio::awaitable<Backend::WaitResult> Backend::waitUnlessClosed(Session& session) {
  using asio::experimental::awaitable_operators::operator||;
  auto& socket = session.stream.socket();
  const auto first = co_await (session.timer.async_wait(kAwaitTuple) ||
                               socket.async_wait(tcp::socket::wait_read, kAwaitTuple));
  if (first.index() == 0) co_return WaitResult::Elapsed;
  if (peerClosed(socket)) co_return WaitResult::PeerClosed;
  co_await session.timer.async_wait(kAwaitTuple);
  co_return WaitResult::Elapsed;
}

asio::awaitable<Backend::SlotResult> Backend::acquireSlot(Session& session, WorkId id, Admission admission) {
  session.has_slot = admission == Admission::Started;
  if (admission == Admission::Started) co_return SlotResult::Acquired;
  if (admission == Admission::Shed) co_return SlotResult::Shed;
  waiting_[id] = &session;
  expireAt(session.timer, session.deadline);
  const WaitResult waited = co_await waitUnlessClosed(session);
  waiting_.erase(id);
  if (waited == WaitResult::Elapsed && session.has_slot) co_return SlotResult::Acquired;
  release(id);
  co_return waited == WaitResult::PeerClosed ? SlotResult::PeerClosed : SlotResult::DeadlinePassed;
}

void Backend::release(WorkId id) {
  const auto next = queue_.remove(id);
  load_report_.record(SteadyClock::now(), queue_.load());
  if (!next) return;
  Session& session = *waiting_.at(*next);
  session.has_slot = true;
  session.timer.expires_after(Duration::zero());
}

}  // namespace cometstand::rehearsal
