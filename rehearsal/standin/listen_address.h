#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace cometstand::rehearsal {

/// @return the endpoint of "IP:PORT"; port 0 lets the system pick one.
/// @throw Error(Invalid) if the text has another form.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string& text);

/// @return an acceptor that listens on the endpoint.
/// @throw Error(InputOutput) if it cannot.
boost::asio::ip::tcp::acceptor listenOn(boost::asio::io_context& io,
                                        const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace cometstand::rehearsal
