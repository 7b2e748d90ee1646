#include "rehearsal/standin/connection_pool.h"

namespace cometstand::rehearsal {

using boost::asio::ip::tcp;

namespace {

/// @return true if the server neither closed the connection nor sent anything unasked.
bool isQuiet(tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

}  // namespace

std::unique_ptr<CallerConnection> ConnectionPool::take(const tcp::endpoint& server) {
  auto& connections = idle_[server];
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (isQuiet(connection->stream.socket())) return connection;
  }
  return nullptr;
}

void ConnectionPool::giveBack(const tcp::endpoint& server, std::unique_ptr<CallerConnection> connection) {
  idle_[server].push_back(std::move(connection));
}

}  // namespace cometstand::rehearsal
