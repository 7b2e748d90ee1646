#include "rehearsal/standin/listen_address.h"

#include <fmt/format.h>

#include <charconv>

#include "base/error.h"
#include "net/listener.h"

namespace cometstand::rehearsal {

using boost::asio::ip::tcp;

tcp::endpoint parseEndpoint(const std::string& text) {
  const auto invalid = [&text] {
    return Error(ErrorKind::Invalid, fmt::format("'{}' is no address", text),
                 "write IP:PORT, such as 127.0.0.1:8080");
  };
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw invalid();
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data() + colon + 1, end, port);
  if (failure != std::errc() || rest != end) throw invalid();
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error) throw invalid();
  return {address, port};
}

tcp::acceptor listenOn(boost::asio::io_context& io, const tcp::endpoint& endpoint) {
  tcp::acceptor acceptor(io);
  net::listenOn(acceptor, endpoint.address().to_string(), endpoint.port(),
                "choose an address of this machine and a free port");
  return acceptor;
}

}  // namespace cometstand::rehearsal
