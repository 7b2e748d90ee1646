#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>

#include "runtime/process_core.h"

namespace cometstand::rehearsal {

/// Ports that the system picked for processes to be started. The sockets stay bound without listening, so
/// that nothing else gets the ports; a process that reuses addresses may listen on them all the same.
class PortReservation {
 public:
  /// @return a free address on 127.0.0.1, held as long as this object.
  runtime::Address take() {
    auto& socket = sockets_.emplace_back(io_);
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    socket.bind({boost::asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", socket.local_endpoint().port()};
  }

 private:
  boost::asio::io_context io_;
  std::deque<boost::asio::ip::tcp::acceptor> sockets_;
};

}  // namespace cometstand::rehearsal
