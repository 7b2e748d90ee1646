#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace cometstand::net {

/// @return bytes that were written to the socket and that its peer has not confirmed; 0 for a closed socket,
/// and where the kernel does not tell (see tcp(7), SIOCOUTQ).
std::size_t unsentBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace cometstand::net
