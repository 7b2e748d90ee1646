#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace cometstand::rehearsal {

/// A loopback port that the system picked, kept for one process of a fleet over all its restarts. The socket
/// is bound but never listens, so that a process may listen on the port (both allow address reuse) while the
/// system gives it to nobody else.
class ReservedPort {
 public:
  /// @throw Error(InputOutput) if no port can be had.
  explicit ReservedPort(boost::asio::io_context& io);

  std::uint16_t port() const { return port_; }
  /// @return "127.0.0.1:PORT".
  std::string text() const;
  boost::asio::ip::tcp::endpoint endpoint() const;

 private:
  boost::asio::ip::tcp::socket socket_;
  std::uint16_t port_ = 0;
};

}  // namespace cometstand::rehearsal
