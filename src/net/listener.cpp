#include "net/listener.h"

#include <fmt/format.h>

#include "base/error.h"

namespace cometstand::net {

using boost::asio::ip::tcp;

void listenOn(tcp::acceptor& acceptor, const std::string& host, std::uint16_t port,
              const std::string& remedy) {
  try {
    const tcp::endpoint endpoint(boost::asio::ip::make_address(host), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::InputOutput, fmt::format("cannot listen on {}:{}: {}", host, port, error.what()),
                remedy);
  }
}

}  // namespace cometstand::net
