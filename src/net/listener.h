#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace cometstand::net {

/// Opens the acceptor and starts to listen; the address may be used again at once after a restart.
/// @param host IP address in text form.
/// @param port 0 lets the system pick one.
/// @param remedy what to do if it fails, for example which setting to change.
/// @throw Error(InputOutput) if the address is none, is not of this machine, or is in use.
void listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& host, std::uint16_t port,
              const std::string& remedy);

}  // namespace cometstand::net
