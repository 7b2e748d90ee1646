#include "proxy/backend_pool.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <tuple>

#include "base/event_log.h"
#include "proxy/events.h"
#include "proxy/http_convert.h"

namespace cometstand::proxy {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 8U * 1024U;
constexpr auto kSweepInterval = std::chrono::milliseconds(500);

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// @return true if the back end says by the head alone that it did not run the request.
bool saysNotRun(const BackendResponse& head) {
  constexpr unsigned kStatusUnavailable = 503;
  return head.status == kStatusUnavailable && findHeader(head.headers, kNotRunHeader);
}

void logRejection(const SendOrder& order, web::ResponseFault fault) {
  logEvent(kResponseRejected, {{"request", static_cast<std::uint64_t>(order.request)},
                               {"attempt", order.attempt},
                               {"service", order.endpoint.service.service},
                               {"endpoint", order.endpoint.endpoint},
                               {"fault", web::responseFaultName(fault)}});
}

}  // namespace

BackendPool::BackendPool(asio::any_io_executor executor, const HttpOptions& options,
                         ExchangeObserver& observer)
    : executor_(std::move(executor)), options_(options), observer_(observer), sweep_timer_(executor_) {}

void BackendPool::send(SendOrder order) {
  const ExchangeKey key{order.request, order.attempt};
  auto exchange = std::make_shared<Exchange>(std::move(order));
  exchanges_.emplace(key, exchange);
  asio::co_spawn(executor_, run(std::move(exchange)), asio::detached);
}

void BackendPool::cancel(RequestId request, unsigned attempt) {
  const auto found = exchanges_.find({request, attempt});
  if (found == exchanges_.end()) return;
  const auto exchange = found->second;
  exchanges_.erase(found);
  exchange->cancelled = true;
  if (exchange->connection != nullptr) exchange->connection->close();
}

unsigned BackendPool::connections(const runtime::Address& address) const {
  const auto found = counts_->find(address);
  return found == counts_->end() ? 0 : found->second;
}

void BackendPool::forget(const Exchange& exchange) {
  exchanges_.erase({exchange.order.request, exchange.order.attempt});
}

void BackendPool::fail(const ExchangePointer& exchange, AttemptFailure failure) {
  if (exchange->connection != nullptr) exchange->connection->close();
  forget(*exchange);
  observer_.onAttemptFailed(exchange->order.request, exchange->order.attempt, failure);
}

void BackendPool::reject(const ExchangePointer& exchange) {
  logRejection(exchange->order, exchange->connection->reader().fault());
  fail(exchange, AttemptFailure::Aborted);
}

asio::awaitable<void> BackendPool::run(ExchangePointer exchange) {
  if (exchange->cancelled) co_return;
  const bool connected = co_await openConnection(*exchange);
  if (exchange->cancelled) co_return;
  if (!connected) {
    fail(exchange, AttemptFailure::NoConnection);
    co_return;
  }
  if (!observer_.beginSending(exchange->order.request, exchange->order.attempt)) {
    forget(*exchange);
    parkConnection(std::exchange(exchange->connection, nullptr));
    co_return;
  }
  // A back end that refuses early may close before it has read everything: its answer counts all the same.
  co_await writeRequest(*exchange);
  if (exchange->cancelled) co_return;
  co_await readAnswer(std::move(exchange));
}

asio::awaitable<bool> BackendPool::openConnection(Exchange& exchange) {
  exchange.connection = takeIdle(exchange.order);
  if (exchange.connection != nullptr) co_return true;
  makeRoom(exchange.order);
  exchange.connection = std::make_shared<BackendConnection>(executor_, exchange.order.address, counts_);
  co_return co_await exchange.connection->connect(options_.connect_limit);
}

asio::awaitable<void> BackendPool::writeRequest(Exchange& exchange) {
  const auto connection = exchange.connection;
  auto request = toBackendRequest(exchange.order, SteadyClock::now());
  http::request_serializer<http::span_body<const char>> serializer(request);
  const auto [error, bytes] = co_await http::async_write(connection->stream(), serializer, kAwait);
  exchange.write_error = error;
}

asio::awaitable<BackendPool::Progress> BackendPool::receive(Exchange& exchange) {
  const auto connection = exchange.connection;
  auto& reader = connection->reader();
  const auto [error, bytes] =
      co_await connection->stream().async_read_some(reader.prepare(kReadBytes), kAwait);
  if (exchange.cancelled) co_return Progress::Faulty;
  co_return error ? reader.onEnd(error, exchange.write_error) : reader.onReceived(bytes);
}

asio::awaitable<void> BackendPool::readAnswer(ExchangePointer exchange) {
  auto& reader = exchange->connection->reader();
  const bool is_head = exchange->order.message->method == "HEAD";
  const web::ResponseLimits limits{static_cast<std::uint32_t>(options_.max_response_header_bytes), {}};
  auto progress = reader.begin(limits, is_head);
  while (progress == Progress::Open && !reader.hasHead()) {
    progress = co_await receive(*exchange);
    if (exchange->cancelled) co_return;
  }
  const auto limit = options_.max_buffered_response_bytes;
  while (progress == Progress::Open && reader.statedLength().value_or(0) <= limit &&
         reader.bodyBytes() <= limit) {
    progress = co_await receive(*exchange);
    if (exchange->cancelled) co_return;
  }
  if (progress == Progress::Faulty) {
    reject(exchange);
    co_return;
  }
  const bool is_whole = progress == Progress::Whole;
  auto response = toBackendResponse(reader.message().base(), is_head || !is_whole);
  if (!is_whole && !saysNotRun(*response)) {
    co_await streamBody(std::move(exchange), progress, std::move(response), reader.takeBody());
    co_return;
  }
  response->body = reader.takeBody();
  park(*exchange, progress, reader.message().keep_alive());
  forget(*exchange);
  observer_.onResponse(exchange->order.request, exchange->order.attempt, response);
}

asio::awaitable<void> BackendPool::streamBody(ExchangePointer exchange, Progress progress,
                                              BackendResponsePointer head, std::string part) {
  const auto request = exchange->order.request;
  const auto attempt = exchange->order.attempt;
  const bool keeps_open = exchange->connection->reader().message().keep_alive();
  const auto stream = observer_.onStreamStarted(request, attempt, head);
  if (exchange->cancelled || stream == nullptr) co_return;
  bool is_taken = true;
  while (is_taken && progress != Progress::Faulty) {
    if (!part.empty()) {
      const auto [error] = co_await stream->parts().async_send(error_code(), std::move(part), kAwait);
      if (exchange->cancelled) co_return;
      is_taken = !error;
    }
    if (!is_taken || progress == Progress::Whole) break;
    exchange->connection->stream().expires_after(options_.stream_idle_limit);
    progress = co_await receive(*exchange);
    if (exchange->cancelled) co_return;
    part = progress == Progress::Faulty ? std::string() : exchange->connection->reader().takeBody();
  }
  exchange->connection->stream().expires_never();
  if (progress == Progress::Faulty) logRejection(exchange->order, exchange->connection->reader().fault());
  park(*exchange, progress, keeps_open);
  forget(*exchange);
  observer_.onStreamEnded(request, attempt, is_taken && progress == Progress::Whole);
}

BackendConnectionPointer BackendPool::takeIdle(const SendOrder& order) {
  const auto found = idle_.find(order.address);
  if (found == idle_.end()) return nullptr;
  const auto now = SteadyClock::now();
  const auto limit = order.route->repeatable ? options_.backend_idle_limit : options_.unrepeatable_idle_limit;
  auto& connections = found->second;
  BackendConnectionPointer taken;
  // The one used last is the least likely to be closed by the back end.
  while (taken == nullptr && !connections.empty() && now - connections.back()->idleSince() < limit) {
    taken = std::move(connections.back());
    connections.pop_back();
    // Ends the watch for a close.
    taken->stream().cancel();
    if (taken->isQuiet()) continue;
    taken->close();
    taken = nullptr;
  }
  if (connections.empty()) idle_.erase(found);
  return taken;
}

void BackendPool::makeRoom(const SendOrder& order) {
  auto found = idle_.find(order.address);
  while (found != idle_.end() && connections(order.address) >= order.connection_budget) {
    dropIdle(BackendConnectionPointer(found->second.front()));
    found = idle_.find(order.address);
  }
}

void BackendPool::park(Exchange& exchange, Progress progress, bool keeps_open) {
  const auto connection = std::move(exchange.connection);
  const auto& reader = connection->reader();
  const bool reusable = progress == Progress::Whole && reader.hasOwnEnd() && keeps_open &&
                        !reader.hasSurplus() && !exchange.write_error;
  if (!reusable) {
    connection->close();
    return;
  }
  parkConnection(connection);
}

void BackendPool::parkConnection(const BackendConnectionPointer& connection) {
  connection->setIdleSince(SteadyClock::now());
  idle_[connection->address()].push_back(connection);
  watchIdle(connection);
  sweepIdle();
}

void BackendPool::watchIdle(const BackendConnectionPointer& connection) {
  using Socket = asio::ip::tcp::socket;
  connection->stream().socket().async_wait(Socket::wait_read, [this, connection](error_code error) {
    if (!error) dropIdle(connection);
  });
}

void BackendPool::dropIdle(const BackendConnectionPointer& connection) {
  const auto found = idle_.find(connection->address());
  if (found == idle_.end()) return;
  auto& connections = found->second;
  const auto position = std::find(connections.begin(), connections.end(), connection);
  // In use again: whoever uses it sees for itself that it is closed.
  if (position == connections.end()) return;
  connections.erase(position);
  if (connections.empty()) idle_.erase(found);
  connection->close();
}

void BackendPool::sweepIdle() {
  if (sweeping_ || idle_.empty()) return;
  sweeping_ = true;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code error) {
    if (error) return;
    sweeping_ = false;
    const auto now = SteadyClock::now();
    std::vector<BackendConnectionPointer> expired;
    for (const auto& [address, connections] : idle_) {
      for (const auto& connection : connections) {
        if (now - connection->idleSince() >= options_.backend_idle_limit) expired.push_back(connection);
      }
    }
    for (const auto& connection : expired) dropIdle(connection);
    sweepIdle();
  });
}

void BackendPool::closeIdle() {
  const auto idle = std::exchange(idle_, {});
  for (const auto& [address, connections] : idle) {
    for (const auto& connection : connections) connection->close();
  }
  sweep_timer_.cancel();
  sweeping_ = false;
}

}  // namespace cometstand::proxy
