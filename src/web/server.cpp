#include "web/server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <vector>

#include "net/listener.h"
#include "web/server_connection.h"

namespace cometstand::web {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr auto kSweepInterval = std::chrono::seconds(1);

}  // namespace

Server::Server(asio::io_context& io, const runtime::Address& address, RequestHandler& handler)
    : io_(io), handler_(handler), acceptor_(io), sweep_timer_(io) {
  net::listenOn(acceptor_, address.host, address.port,
                "set an IP address of this machine and a port that no other process uses");
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
    if (!error) add(std::move(socket));
    acceptNext();
  });
}

void Server::add(asio::ip::tcp::socket socket) {
  auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
  connections_.emplace(connection.get(), connection);
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
    if (connection->isOverdue(limits, now)) overdue.push_back(connection);
  }
  for (const auto& connection : overdue) connection->expire();
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) sweep();
  });
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
