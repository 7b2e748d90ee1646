#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <vector>

namespace cometstand::rehearsal {

/// One HTTP connection of a caller stand-in.
struct CallerConnection {
  explicit CallerConnection(boost::asio::any_io_executor executor) : stream(std::move(executor)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  /// Answers received on it so far.
  std::uint64_t answers = 0;
};

/// Idle connections of a caller stand-in, by server. Used by one thread.
class ConnectionPool {
 public:
  /// @return the connection used last that is still open, or nullptr if there is none.
  std::unique_ptr<CallerConnection> take(const boost::asio::ip::tcp::endpoint& server);

  void giveBack(const boost::asio::ip::tcp::endpoint& server, std::unique_ptr<CallerConnection> connection);

 private:
  std::map<boost::asio::ip::tcp::endpoint, std::vector<std::unique_ptr<CallerConnection>>> idle_;
};

}  // namespace cometstand::rehearsal
