#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

#include "proxy/body_stream.h"
#include "proxy/data_path.h"
#include "proxy/http_convert.h"
#include "proxy/http_options.h"

namespace cometstand::proxy {

class HttpSession;
using HttpSessionPointer = std::shared_ptr<HttpSession>;

/// What a session needs of its server.
class SessionHost {
 public:
  virtual ~SessionHost() = default;
  /// The answer comes through HttpSession::deliver(), maybe before this returns.
  virtual RequestId submit(const HttpSessionPointer& session, CallerRequestPointer request) = 0;
  virtual void callerGone(RequestId request) = 0;
  /// @return true if answers are to close their connections.
  virtual bool closing() const = 0;
  /// From the first byte of a request ...
  virtual void onRequestBegun() = 0;
  /// ... to the last byte of its answer.
  virtual void onRequestEnded() = 0;
  virtual void onSessionEnded() = 0;
};

/// One caller's connection: reads requests one after the other, hands each to the server, and writes its
/// answer. A caller that closes, or half-closes, its connection while its request is in work has given up
/// on it. Driven by one io_context thread; keeps itself alive while it runs.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  /// @param over_limit one connection too many: its first request is refused.
  HttpSession(boost::asio::ip::tcp::socket socket, const HttpOptions& options, SessionHost& host,
              bool over_limit);

  /// Serves the connection to its end.
  boost::asio::awaitable<void> run();

  /// Gives the whole answer to the request in work.
  void deliver(FinalAnswer answer);
  /// Gives an answer whose body comes by the stream.
  void deliver(BackendResponsePointer head, BodyStreamPointer stream);

 private:
  using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using StreamResponse = boost::beast::http::response<boost::beast::http::buffer_body>;

  /// Serves the request whose first bytes are there.
  /// @return true if the connection can carry another one.
  boost::asio::awaitable<bool> serveOne();
  boost::asio::awaitable<bool> waitForFirstByte();
  /// @return the request, or nothing after answering what was wrong with it.
  boost::asio::awaitable<std::optional<RequestFromCaller>> readRequest();
  boost::asio::awaitable<void> sendContinue(RequestParser& parser);
  boost::asio::awaitable<void> answerReadError(boost::system::error_code error);
  boost::asio::awaitable<bool> answerDirectly(FinalAnswer answer);
  boost::asio::awaitable<void> waitForAnswer(CallerRequestPointer request);
  boost::asio::awaitable<bool> writeAnswer(FinalAnswer answer);
  boost::asio::awaitable<bool> writeStream();
  boost::asio::awaitable<bool> writeStreamBody(StreamResponse& response);
  /// Lets the caller read a last answer although it is still sending.
  boost::asio::awaitable<void> closeGently();
  void watchCaller();
  void onCallerReadable();
  void abort();

  boost::beast::tcp_stream stream_;
  const HttpOptions& options_;
  SessionHost& host_;
  bool over_limit_;
  boost::beast::flat_buffer buffer_;
  boost::asio::steady_timer signal_;
  AnswerContext context_;

  RequestId request_{};
  /// Rises with each request, so that a late watch of an earlier one is recognized.
  std::uint64_t watch_ = 0;
  bool watching_ = false;
  bool caller_gone_ = false;
  std::optional<FinalAnswer> answer_;
  BackendResponsePointer stream_head_;
  BodyStreamPointer body_stream_;
};

}  // namespace cometstand::proxy
