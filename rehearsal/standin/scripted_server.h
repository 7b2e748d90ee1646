#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "base/time.h"

namespace cometstand::rehearsal {

/// Sends these bytes as they are.
struct SendBytes {
  std::string bytes;
};

/// Sends the bytes again and again, until the connection ends or about so many bytes are sent.
struct SendRepeatedly {
  std::string bytes;
  std::size_t limit_bytes = 0;
};

struct Pause {
  Duration duration{};
};

/// Reads the rest of the request. Without it, a response begins while the body is still on its way.
struct ReadBody {};

using ScriptStep = std::variant<SendBytes, SendRepeatedly, Pause, ReadBody>;

/// What becomes of the connection after the last step.
enum class ScriptEnd : std::uint8_t {
  /// The rest of the request is read, and the next request awaited.
  Keep,
  /// The server ends its side and reads on until the client has ended its own.
  HalfClose,
  /// The connection is closed, with whatever is still to be read.
  Close,
  Reset,
  /// Nothing more is sent or read, and the connection stays open.
  Hang,
};

/// A response as a series of steps. Nothing in it needs to be valid HTTP.
struct ResponseScript {
  std::vector<ScriptStep> steps;
  ScriptEnd end = ScriptEnd::Keep;
};

/// An HTTP server that answers each request by a script: it sends bytes that no proper server would. Runs on
/// a thread of its own until it goes.
class ScriptedServer {
 public:
  using RequestHead = boost::beast::http::request<boost::beast::http::empty_body>;
  /// @return the response to the request. Called on the server's thread.
  using Handler = std::function<ResponseScript(const RequestHead& head)>;

  /// @param listen port 0 lets the system pick one.
  ScriptedServer(const boost::asio::ip::tcp::endpoint& listen, Handler handler);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context io_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::thread thread_;
};

}  // namespace cometstand::rehearsal
