#include "web/server_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace cometstand::web {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp11 = 11;

http::status statusOf(error_code error) {
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  if (error == http::error::body_limit) return http::status::payload_too_large;
  return http::status::bad_request;
}

}  // namespace

ServerConnection::ServerConnection(Server& server, asio::ip::tcp::socket socket)
    : server_(server), socket_(std::move(socket)), since_(SteadyClock::now()) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ServerConnection::start() { awaitBytes(); }

bool ServerConnection::isOverdue(const ServerLimits& limits, TimePoint now) const {
  if (state_ == State::Idle) return since_ + limits.idle_time < now;
  return state_ == State::Reading && since_ + limits.read_time < now;
}

void ServerConnection::awaitBytes() {
  if (read_pending_ || state_ == State::Closed) return;
  read_pending_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](error_code error, std::size_t length) {
                            self->read_pending_ = false;
                            self->onBytes(error, length);
                          });
}

void ServerConnection::onBytes(error_code error, std::size_t length) {
  if (state_ == State::Closed) return;
  if (error) {
    close();
    return;
  }
  buffer_.commit(length);
  if (state_ == State::Idle) readRequest();
}

void ServerConnection::readRequest() {
  state_ = State::Reading;
  since_ = SteadyClock::now();
  const ServerLimits limits = server_.handler_.limits();
  parser_.emplace();
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) { self->onHeader(error); });
}

void ServerConnection::onHeader(error_code error) {
  if (state_ == State::Closed) return;
  if (error) {
    refuse(error);
  } else if (parser_->is_done()) {
    onWhole({});
  } else if (boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    asio::async_write(socket_, asio::buffer(kContinue),
                      [self = shared_from_this()](error_code failed, std::size_t) {
                        if (failed) {
                          self->close();
                        } else {
                          self->readBody();
                        }
                      });
  } else {
    readBody();
  }
}

void ServerConnection::readBody() {
  if (state_ == State::Closed) return;
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) { self->onWhole(error); });
}

void ServerConnection::refuse(error_code error) {
  const bool is_gone = error == http::error::end_of_stream || error == http::error::partial_message ||
                       error.category() != http::make_error_code(http::error::bad_value).category();
  if (is_gone) {
    close();
    return;
  }
  // What follows on the connection cannot be told apart from the rest of this request.
  keep_alive_ = false;
  Response response(statusOf(error), kHttp11);
  state_ = State::Answering;
  respond(std::move(response));
}

void ServerConnection::onWhole(error_code error) {
  if (state_ == State::Closed) return;
  if (error) {
    refuse(error);
    return;
  }
  Request request = parser_->release();
  keep_alive_ = request.keep_alive();
  state_ = State::Answering;
  exchange_ = ExchangeId{server_.next_exchange_++};
  server_.exchanges_.emplace(*exchange_, this);
  const auto self = shared_from_this();
  server_.handler_.onRequest(*exchange_, std::move(request));
  // What has come already belongs to the next request, which waits for its turn.
  if (state_ == State::Answering && buffer_.size() == 0) awaitBytes();
}

void ServerConnection::respond(Response response) {
  if (state_ != State::Answering) return;
  forgetExchange();
  state_ = State::Writing;
  keep_alive_ = keep_alive_ && !server_.stopping_;
  response.version(kHttp11);
  response.keep_alive(keep_alive_);
  response.prepare_payload();
  response_ = std::move(response);
  http::async_write(socket_, *response_,
                    [self = shared_from_this()](error_code error, std::size_t) { self->onWritten(error); });
}

void ServerConnection::onWritten(error_code error) {
  if (state_ == State::Closed) return;
  response_.reset();
  if (error || !keep_alive_) {
    close();
    return;
  }
  state_ = State::Idle;
  since_ = SteadyClock::now();
  if (buffer_.size() > 0 && !read_pending_) {
    readRequest();
  } else {
    awaitBytes();
  }
}

void ServerConnection::forgetExchange() {
  if (!exchange_) return;
  server_.exchanges_.erase(*exchange_);
  exchange_.reset();
}

void ServerConnection::close() {
  if (state_ == State::Closed) return;
  state_ = State::Closed;
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  const auto self = shared_from_this();
  server_.connections_.erase(this);
  if (!exchange_) return;
  const ExchangeId id = *exchange_;
  forgetExchange();
  server_.handler_.onCallerGone(id);
}

}  // namespace cometstand::web
