#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

#include "web/server.h"

namespace cometstand::web {

/// One caller's connection to a Server. While it rests or waits for an answer, one read is always pending, so
/// that a caller who leaves is noticed at once.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Server& server, boost::asio::ip::tcp::socket socket);

  void start();
  void respond(Response response);
  void close();
  /// @return true if the connection has rested, or a request has been on its way, for too long.
  bool isOverdue(const ServerLimits& limits, TimePoint now) const;

 private:
  enum class State : std::uint8_t { Idle, Reading, Answering, Writing, Closed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void awaitBytes();
  void onBytes(boost::system::error_code error, std::size_t length);
  void readRequest();
  void onHeader(boost::system::error_code error);
  void readBody();
  void onWhole(boost::system::error_code error);
  void refuse(boost::system::error_code error);
  void onWritten(boost::system::error_code error);
  void forgetExchange();

  Server& server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<Response> response_;
  State state_ = State::Idle;
  bool read_pending_ = false;
  bool keep_alive_ = true;
  TimePoint since_;
  std::optional<ExchangeId> exchange_;
};

}  // namespace cometstand::web
