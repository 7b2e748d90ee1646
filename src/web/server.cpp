#include "web/server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "net/listener.h"
#include "web/events.h"
#include "web/server_connection.h"

namespace cometstand::web {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr auto kSweepInterval = std::chrono::seconds(1);
/// Asked of the kernel for what has come on a connection and is not read; it allows twice as much, and counts
/// its own overhead.
constexpr int kReceiveBufferBytes = 16 * 1024;
/// Pause before the next accept after one failed, for example for want of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

}  // namespace

Server::Server(asio::io_context& io, const runtime::Address& address, RequestHandler& handler,
               const ServerResources& resources)
    : io_(io), handler_(handler), resources_(resources), acceptor_(io), sweep_timer_(io), accept_pause_(io) {
  net::listenOn(acceptor_, address.host, address.port,
                "set an IP address of this machine and a port that no other process uses");
  // Accepted sockets inherit it. Without it the kernel may hold megabytes of each caller unread.
  error_code ignored;
  acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  resources_.memory.addHolder(*this);
}

Server::~Server() {
  const auto connections = connections_;
  // The handler may be gone: callers who still wait are not reported.
  exchanges_.clear();
  connections_.clear();
}

void Server::start() {
  acceptNext();
  sweep();
}

runtime::Address Server::listenAddress() const {
  const auto endpoint = acceptor_.local_endpoint();
  return {endpoint.address().to_string(), endpoint.port()};
}

void Server::acceptNext() {
  acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      add(std::move(socket));
      acceptNext();
      return;
    }
    logEvent(kAcceptFailed, {{"reason", error.message()}, {"connections", connections_.size()}});
    closeOldestExpendable();
    accept_pause_.expires_after(kAcceptRetryDelay);
    accept_pause_.async_wait([this](error_code wait_error) {
      if (!wait_error) acceptNext();
    });
  });
}

bool Server::makeRoom() {
  if (connections_.size() < resources_.max_connections) return true;
  logEvent(kTooManyConnections, {{"connections", connections_.size()}, {"expendable", expendable_.size()}});
  return closeOldestExpendable() || (resources_.closes_resting && closeLongestResting());
}

bool Server::closeLongestResting() {
  std::shared_ptr<ServerConnection> longest;
  for (const auto& [key, connection] : connections_) {
    const bool is_longer = longest == nullptr || connection->restsSince() < longest->restsSince();
    if (is_longer && connection->isResting()) longest = connection;
  }
  if (longest == nullptr) return false;
  longest->close();
  return true;
}

/// A caller that sends its request at once is not mistaken for one that sends nothing: what it has sent may
/// not have been read yet.
bool Server::closeOldestExpendable() {
  for (const auto& [number, key] : expendable_) {
    if (key->hasUnreadBytes()) continue;
    const auto connection = connections_.at(key);
    connection->close();
    return true;
  }
  return false;
}

/// The socket of a connection for which there is no room closes as it goes out of scope.
void Server::add(asio::ip::tcp::socket socket) {
  if (!makeRoom()) return;
  const std::uint64_t number = next_connection_++;
  auto connection = std::make_shared<ServerConnection>(*this, number, std::move(socket));
  connections_.emplace(connection.get(), connection);
  expendable_.emplace(number, connection.get());
  connection->start();
}

void Server::beginStop() {
  if (!stop_began_) stop_began_ = SteadyClock::now();
}

/// Not at once: what was read already has to reach its connection first.
void Server::closeIdle() {
  beginStop();
  asio::post(io_, [connections = connections_] {
    for (const auto& [key, connection] : connections) connection->closeIfIdle();
  });
}

/// The kernel has opened connections that were not accepted yet; closing the listener would reset them.
void Server::end() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) add(std::move(socket));
  }
  acceptor_.close(error);
  closeIdle();
}

void Server::sweep() {
  const auto now = SteadyClock::now();
  const auto limits = handler_.limits();
  std::vector<std::shared_ptr<ServerConnection>> overdue;
  for (const auto& [key, connection] : connections_) {
    connection->measureProgress();
    if (connection->isOverdue(limits, now)) overdue.push_back(connection);
  }
  for (const auto& connection : overdue) connection->expire();
  if (resources_.memory.isExceeded()) shedSlow();
  resources_.memory.releaseFreed();
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) sweep();
  });
}

/// Posted, as connections must not be closed within a call of the handler.
void Server::reclaim() {
  if (std::exchange(reclaim_posted_, true)) return;
  asio::post(io_, [this] {
    reclaim_posted_ = false;
    shedSlow();
  });
}

void Server::shedSlow() {
  const TimePoint now = SteadyClock::now();
  std::vector<std::shared_ptr<ServerConnection>> slow;
  for (const auto& [key, connection] : connections_) {
    if (connection->isSlow(now)) slow.push_back(connection);
  }
  std::sort(slow.begin(), slow.end(),
            [](const auto& left, const auto& right) { return left->chargedBytes() > right->chargedBytes(); });
  std::size_t count = 0;
  for (const auto& connection : slow) {
    if (!resources_.memory.isNearlyFull()) break;
    connection->shed();
    ++count;
  }
  if (count > 0) logEvent(kSlowClientsShed, {{"connections", count}, {"slow", slow.size()}});
}

std::size_t Server::undelivered() const {
  const auto now = SteadyClock::now();
  const auto count = std::count_if(connections_.begin(), connections_.end(),
                                   [now](const auto& item) { return item.second->isDelivering(now); });
  return static_cast<std::size_t>(count);
}

void Server::respond(ExchangeId id, Response response) {
  const auto exchange = exchanges_.find(id);
  if (exchange == exchanges_.end()) return;
  exchange->second->respond(id, std::move(response));
}

void Server::beginResponse(ExchangeId id, Response response) {
  const auto exchange = exchanges_.find(id);
  if (exchange == exchanges_.end()) return;
  exchange->second->begin(id, std::move(response));
}

void Server::continueResponse(ExchangeId id, const std::string& bytes, PartEnd end) {
  const auto exchange = exchanges_.find(id);
  if (exchange == exchanges_.end()) return;
  exchange->second->proceed(id, bytes, end);
}

}  // namespace cometstand::web
