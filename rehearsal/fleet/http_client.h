#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <optional>
#include <string>

namespace cometstand::rehearsal {

struct HttpAnswer {
  unsigned status = 0;
  /// The proxy's X-Outcome header, or empty.
  std::string outcome;
  std::string body;
  /// The Location header, or empty.
  std::string location;
};

struct HttpQuestion {
  std::string method = "GET";
  std::string host;
  std::string target = "/";
  std::string body;
  /// Further header fields by name.
  std::map<std::string, std::string> fields = {};
};

/// Makes one request on a connection of its own and waits for the answer.
/// @return nothing if no whole answer came within ten seconds.
std::optional<HttpAnswer> askOverHttp(const boost::asio::ip::tcp::endpoint& server,
                                      const HttpQuestion& question);

}  // namespace cometstand::rehearsal
