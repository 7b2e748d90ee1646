#include "web/client.h"

#include <utility>

#include "web/client_connection.h"

namespace cometstand::web {

Client::Client(boost::asio::io_context& io, runtime::Address address)
    : io_(io), address_(std::move(address)) {}

Client::~Client() {
  const auto busy = std::exchange(busy_, {});
  for (const auto& [id, connection] : busy) connection->close();
  const auto idle = std::exchange(idle_, {});
  for (const auto& connection : idle) connection->close();
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

void Client::send(SendId id, Request request, AnswerMatcher matcher, SendHandler handler) {
  auto connection = takeIdle();
  if (connection == nullptr) {
    connection = std::make_shared<ClientConnection>(*this);
    ++connections_opened_;
  }
  busy_[id] = connection;
  connection->send(id, std::move(request), std::move(matcher), std::move(handler));
}

void Client::cancel(SendId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  const auto connection = found->second;
  busy_.erase(found);
  connection->close();
}

}  // namespace cometstand::web
