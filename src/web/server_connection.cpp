#include "web/server_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <exception>
#include <utility>

#include "base/event_log.h"
#include "net/unsent_bytes.h"
#include "web/events.h"

namespace cometstand::web {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Read at once while headers are expected; most requests are smaller.
constexpr std::size_t kHeaderReadBytes = 4096;
/// Read at once while a body comes: a few reads for an upload of some 100 KB, little memory for each
/// connection.
constexpr std::size_t kBodyReadBytes = 16 * 1024;
/// Requests of one connection that are handed out together. Callers send a handful ahead; the bound keeps one
/// connection from taking the memory of all.
constexpr std::size_t kMaxPipelinedRequests = 32;
/// Bytes of later requests that are held while they wait for their turn, beyond a header's limit.
constexpr std::size_t kMaxUnreadBytes = 64 * 1024;
/// How long a caller may take to close its side once the kernel holds nothing of the last answer any more.
constexpr Duration kLingerTime = std::chrono::seconds(1);
/// The whole time, also while the kernel still holds some of it: an answer of 500 KB behind the others of a
/// full link of 10 Mbit/s takes some seconds.
constexpr Duration kLongLingerTime = std::chrono::seconds(10);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp11 = 11;

http::status statusOf(error_code error) {
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  if (error == http::error::body_limit) return http::status::payload_too_large;
  return http::status::bad_request;
}

bool isSafe(http::verb method) {
  return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

}  // namespace

ServerConnection::ServerConnection(Server& server, asio::ip::tcp::socket socket)
    : server_(server), socket_(std::move(socket)), since_(SteadyClock::now()) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ServerConnection::start() { awaitBytes(); }

bool ServerConnection::isOverdue(const ServerLimits& limits, TimePoint now) {
  if (state_ == State::Lingering) return lingersTooLong(now);
  if (!pending_.empty()) return false;
  return since_ + (parser_ ? limits.read_time : limits.idle_time) < now;
}

bool ServerConnection::lingersTooLong(TimePoint now) {
  if (net::unsentBytes(socket_) > 0) since_ = now;
  return since_ + kLingerTime < now || lingers_until_ < now;
}

bool ServerConnection::isDelivering(TimePoint now) {
  if (state_ == State::Closed) return false;
  if (state_ == State::Lingering) return !lingersTooLong(now);
  const bool has_answer = std::any_of(pending_.begin(), pending_.end(),
                                      [](const Pending& item) { return item.response.has_value(); });
  return writing_ || has_answer || hasRequestBytes() || net::unsentBytes(socket_) > 0;
}

/// @return true if some of a request has come that is not handed out.
bool ServerConnection::hasRequestBytes() {
  if (reading_ended_) return false;
  error_code ignored;
  return parser_.has_value() || buffer_.size() > 0 || socket_.available(ignored) > 0;
}

void ServerConnection::expire() {
  if (state_ != State::Open) {
    close();
  } else if (parser_) {
    refuse(http::status::request_timeout);
  } else {
    linger();
  }
}

/// A request that crosses this end is not read: its caller sees the connection close without an answer, as it
/// may for any connection that rests (RFC 9112, section 9.5).
void ServerConnection::closeIfIdle() {
  if (state_ == State::Open && pending_.empty() && !writing_ && !hasRequestBytes()) linger();
}

void ServerConnection::awaitBytes() {
  if (read_pending_ || state_ == State::Closed || buffer_.size() >= header_limit_ + kMaxUnreadBytes) return;
  read_pending_ = true;
  const bool has_header = parser_ && parser_->is_header_done();
  socket_.async_read_some(buffer_.prepare(has_header ? kBodyReadBytes : kHeaderReadBytes),
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
  parseRequests();
  awaitBytes();
}

/// @return true if the next request may be read.
bool ServerConnection::mayBegin() const {
  if (reading_ended_) return false;
  if (pending_.empty()) return true;
  return pending_.size() < kMaxPipelinedRequests && server_.readsAhead(SteadyClock::now());
}

/// @return true if the request whose header was read has to wait for the answers before it.
bool ServerConnection::mustWait() const {
  if (pending_.empty()) return false;
  const auto& request = parser_->get();
  const bool all_safe =
      std::all_of(pending_.begin(), pending_.end(), [](const Pending& item) { return item.has_safe_method; });
  return !all_safe || !isSafe(request.method()) || request.count(http::field::expect) > 0;
}

void ServerConnection::parseRequests() {
  while (state_ == State::Open && parseOne()) {
  }
  if (state_ != State::Open || reading_ended_) buffer_.clear();
}

/// Parses what has come of one request. @return true if it was whole and the next one may be tried.
bool ServerConnection::parseOne() {
  if (buffer_.size() == 0 && !(parser_ && parser_->is_done())) return false;
  if (!mayBegin()) return false;
  if (!parser_) {
    const ServerLimits limits = server_.handler_.limits();
    since_ = SteadyClock::now();
    continue_sent_ = false;
    parser_.emplace();
    header_limit_ = limits.max_header_bytes;
    parser_->header_limit(limits.max_header_bytes);
    parser_->body_limit(limits.max_body_bytes);
  }
  while (!parser_->is_done()) {
    if (parser_->is_header_done()) {
      if (mustWait()) return false;
      sendContinue();
    }
    // Without bytes the parser of a body neither advances nor asks for more.
    if (buffer_.size() == 0) return false;
    error_code error;
    buffer_.consume(parseBytes(error));
    if (error == http::error::need_more) return false;
    if (error) {
      refuse(statusOf(error));
      return false;
    }
  }
  if (mustWait()) return false;
  finishRequest();
  return true;
}

/// The parser throws for a field that its index cannot hold, and for a body that is announced as larger than
/// the memory. Only this request ends with it.
/// @return the number of parsed bytes.
std::size_t ServerConnection::parseBytes(error_code& error) {
  try {
    return parser_->put(buffer_.data(), error);
  } catch (const std::exception& exception) {
    const bool has_header = parser_->is_header_done();
    error = has_header ? http::error::body_limit : http::error::header_limit;
    logEvent(kRequestTooLarge, {{"part", has_header ? "body" : "header"}, {"reason", exception.what()}});
    return 0;
  }
}

void ServerConnection::sendContinue() {
  const bool is_asked = boost::beast::iequals(parser_->get()[http::field::expect], "100-continue");
  if (!is_asked || continue_sent_ || writing_) return;
  continue_sent_ = true;
  writing_ = true;
  asio::async_write(socket_, asio::buffer(kContinue),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->writing_ = false;
                      if (error) {
                        self->close();
                      } else {
                        self->writeNext();
                      }
                    });
}

/// The bytes are no request: what follows on the connection cannot be told apart from the rest of it.
void ServerConnection::refuse(http::status status) {
  Pending item;
  item.is_last = true;
  item.response.emplace(status, kHttp11);
  pending_.push_back(std::move(item));
  reading_ended_ = true;
  parser_.reset();
  writeNext();
}

void ServerConnection::finishRequest() {
  Request request = parser_->release();
  parser_.reset();
  const ExchangeId id{server_.next_exchange_++};
  Pending item;
  item.id = id;
  item.has_safe_method = isSafe(request.method());
  item.is_last = !request.keep_alive();
  reading_ended_ = item.is_last;
  pending_.push_back(std::move(item));
  server_.exchanges_.emplace(id, this);
  server_.handler_.onRequest(id, std::move(request));
}

ServerConnection::Pending* ServerConnection::find(ExchangeId id) {
  const auto item = std::find_if(pending_.begin(), pending_.end(),
                                 [id](const Pending& pending) { return pending.id == id; });
  return item == pending_.end() ? nullptr : &*item;
}

void ServerConnection::respond(ExchangeId id, Response response) {
  auto* item = find(id);
  if (item == nullptr || item->response) return;
  server_.exchanges_.erase(id);
  item->response = std::move(response);
  writeNext();
}

/// In a planned stop the answer to the last request that has come closes the connection. Requests that came
/// before their caller could see that are answered: it cannot tell whether they have run.
void ServerConnection::prepareLast(Pending& item) {
  if (server_.isStopping() && pending_.size() == 1) {
    const bool more_follows = server_.readsAhead(SteadyClock::now()) && hasRequestBytes();
    item.is_last = item.is_last || !more_follows;
  }
  reading_ended_ = reading_ended_ || item.is_last;
}

void ServerConnection::writeNext() {
  if (writing_ || state_ != State::Open || pending_.empty() || !pending_.front().response) return;
  if (pending_.front().in_parts) {
    writePart();
    return;
  }
  auto& item = pending_.front();
  prepareLast(item);
  // The writing holds it: the connection may be closed, and forget the request, before the writing ends.
  const auto response = std::make_shared<Response>(std::move(*item.response));
  response->version(kHttp11);
  response->keep_alive(!item.is_last);
  response->prepare_payload();
  writing_ = true;
  http::async_write(socket_, *response, [self = shared_from_this(), response](error_code error, std::size_t) {
    self->onWritten(error);
  });
}

void ServerConnection::onWritten(error_code error) {
  writing_ = false;
  if (state_ != State::Open) return;
  if (error) {
    close();
    return;
  }
  const bool was_last = pending_.front().is_last;
  pending_.pop_front();
  if (was_last) {
    linger();
    return;
  }
  if (pending_.empty()) since_ = SteadyClock::now();
  writeNext();
  parseRequests();
  awaitBytes();
}

void ServerConnection::linger() {
  state_ = State::Lingering;
  since_ = SteadyClock::now();
  lingers_until_ = since_ + kLongLingerTime;
  buffer_.clear();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  awaitBytes();
}

void ServerConnection::close() {
  if (state_ == State::Closed) return;
  state_ = State::Closed;
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  const auto self = shared_from_this();
  server_.connections_.erase(this);
  for (const auto& item : std::exchange(pending_, {})) {
    const bool has_begun = item.in_parts && item.end == PartEnd::More;
    const bool is_waiting = item.id && (!item.response || has_begun);
    if (!is_waiting) continue;
    server_.exchanges_.erase(*item.id);
    server_.handler_.onCallerGone(*item.id);
  }
}

}  // namespace cometstand::web
