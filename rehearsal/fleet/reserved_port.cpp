#include "rehearsal/fleet/reserved_port.h"

#include <fcntl.h>
#include <fmt/format.h>

#include <boost/asio/ip/address_v4.hpp>

#include "base/error.h"

namespace cometstand::rehearsal {

using boost::asio::ip::tcp;

ReservedPort::ReservedPort(boost::asio::io_context& io) : socket_(io) {
  try {
    socket_.open(tcp::v4());
    socket_.set_option(tcp::socket::reuse_address(true));
    socket_.bind({boost::asio::ip::address_v4::loopback(), 0});
    port_ = socket_.local_endpoint().port();
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::InputOutput, fmt::format("no loopback port can be had: {}", error.what()),
                "end other programs that hold many ports");
  }
  // Child processes must not inherit the socket.
  ::fcntl(socket_.native_handle(), F_SETFD, FD_CLOEXEC);
}

std::string ReservedPort::text() const { return fmt::format("127.0.0.1:{}", port_); }

tcp::endpoint ReservedPort::endpoint() const { return {boost::asio::ip::address_v4::loopback(), port_}; }

}  // namespace cometstand::rehearsal
