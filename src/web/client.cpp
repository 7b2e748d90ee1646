#include "web/client.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "web/client_connection.h"

namespace cometstand::web {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

ConnectOutcome outcomeOf(error_code error) {
  if (!error) return ConnectOutcome::Accepted;
  return error == asio::error::connection_refused ? ConnectOutcome::Refused : ConnectOutcome::Failed;
}

}  // namespace

OutgoingRequest makeOutgoing(Request request) {
  OutgoingRequest outgoing;
  auto owner = std::make_shared<Request>(std::move(request));
  outgoing.message.base() = std::move(owner->base());
  outgoing.message.body() = {owner->body().data(), owner->body().size()};
  outgoing.owner = std::move(owner);
  return outgoing;
}

Client::Client(boost::asio::io_context& io, runtime::Address address, overload::MemoryBudget* memory)
    : io_(io), address_(std::move(address)), memory_(memory) {}

Client::~Client() {
  const auto busy = std::exchange(busy_, {});
  for (const auto& [id, connection] : busy) connection->close();
  const auto idle = std::exchange(idle_, {});
  for (const auto& connection : idle) connection->close();
  error_code ignored;
  if (probe_ != nullptr) probe_->close(ignored);
}

std::shared_ptr<ClientConnection> Client::takeIdle() {
  const auto now = SteadyClock::now();
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->isOpen() && !connection->isStale(now)) return connection;
    connection->close();
  }
  return nullptr;
}

/// A response without an end becomes the largest, so that it does not take the room of others.
bool Client::makeRoom(ClientConnection& connection, std::size_t bytes) {
  while (!connection.tryCharge(bytes)) {
    const auto largest =
        std::max_element(busy_.begin(), busy_.end(), [](const auto& left, const auto& right) {
          return left.second->chargedBytes() < right.second->chargedBytes();
        });
    if (largest == busy_.end() || largest->second->chargedBytes() <= bytes) return false;
    const auto given_up = largest->second;
    given_up->giveUp(ResponseFault::NoMemory);
  }
  return true;
}

void Client::send(SendId id, OutgoingRequest request, AnswerMatcher matcher, SendHandler handler,
                  const SendLimits& limits) {
  auto connection = takeIdle();
  if (connection == nullptr) {
    connection = std::make_shared<ClientConnection>(*this);
    ++connections_opened_;
  }
  busy_[id] = connection;
  connection->send(id, std::move(request), std::move(matcher), std::move(handler), limits);
}

void Client::probe(ConnectHandler handler) {
  error_code parse_error;
  const auto host = asio::ip::make_address(address_.host, parse_error);
  probe_ = std::make_shared<asio::ip::tcp::socket>(io_);
  ++connections_opened_;
  probe_->async_connect({host, address_.port},
                        [socket = probe_, handler = std::move(handler)](error_code error) {
                          if (error == asio::error::operation_aborted) return;
                          error_code ignored;
                          socket->close(ignored);
                          handler(outcomeOf(error));
                        });
}

void Client::cancel(SendId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  const auto connection = found->second;
  busy_.erase(found);
  connection->close();
}

}  // namespace cometstand::web
