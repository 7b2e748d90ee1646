#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "base/time.h"

namespace cometstand::platform {

/// A caller's request.
struct RawRequest {
  std::string path = "/";
  std::string method = "GET";
  std::size_t body_bytes = 0;
  /// The time that the caller waits; it names none if this is zero.
  Duration deadline = std::chrono::milliseconds(1'500);
};

/// A caller on one connection that it keeps. Reads responses by the library's own parser, apart from the
/// product's code, and takes any status for a response.
class RawCaller {
 public:
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  /// @param name makes the ids of its requests its own.
  RawCaller(const boost::asio::ip::tcp::endpoint& sidecar, std::string name);

  /// @return the response; nothing if the connection ended without a whole one.
  std::optional<Response> ask(const RawRequest& request);
  /// @return the id of the last request.
  const std::string& lastId() const { return last_id_; }
  /// @return true if an ordinary request on the same connection is served.
  bool isStillServed();

 private:
  boost::asio::io_context io_{1};
  boost::beast::tcp_stream stream_{io_};
  boost::beast::flat_buffer buffer_;
  const std::string name_;
  std::string last_id_;
  std::size_t requests_ = 0;
};

}  // namespace cometstand::platform
