#include "proxy/http_session.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <cerrno>
#include <utility>

#include "base/event_log.h"
#include "proxy/events.h"

namespace cometstand::proxy {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// How long, and how far, a caller that is still sending is read after its last answer.
constexpr auto kGentleCloseLimit = std::chrono::seconds(2);
constexpr std::size_t kGentleCloseBytes = 1024U * 1024U;
constexpr std::size_t kReadBytes = 16U * 1024U;

/// When a caller refused for want of connections should come back.
constexpr Duration kConnectionRetryAfter = std::chrono::seconds(1);

FinalAnswer notRunAnswer(unsigned status, ErrorKind kind, std::string message, std::string remedy) {
  FinalAnswer answer;
  answer.outcome = wire::Outcome::NotRun;
  answer.status = status;
  answer.kind = kind;
  answer.message = std::move(message);
  answer.remedy = std::move(remedy);
  return answer;
}

/// @return the answer to a request that could not be read, or nothing if the connection is simply at its end.
std::optional<FinalAnswer> answerForReadError(error_code error) {
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kContentTooLarge = 413;
  constexpr unsigned kHeaderTooLarge = 431;
  if (error == boost::beast::error::timeout) {
    return notRunAnswer(kRequestTimeout, ErrorKind::Timeout, "the request did not arrive whole in time",
                        "send header and body without long pauses");
  }
  if (error == http::error::body_limit) {
    return notRunAnswer(kContentTooLarge, ErrorKind::Invalid, "the body is too large",
                        "send less at once, or have proxy.max_request_body raised");
  }
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return notRunAnswer(kHeaderTooLarge, ErrorKind::Invalid, "the header is too large",
                        "send fewer or shorter header fields");
  }
  const bool at_end = error == http::error::end_of_stream || error == http::error::partial_message;
  if (at_end || error.category() != make_error_code(http::error::bad_method).category()) return std::nullopt;
  return notRunAnswer(kBadRequest, ErrorKind::Malformed, "the request is not HTTP/1.1: " + error.message(),
                      "send a request as RFC 9112 describes");
}

}  // namespace

HttpSession::HttpSession(tcp::socket socket, const HttpOptions& options, SessionHost& host, bool over_limit)
    : stream_(std::move(socket)),
      options_(options),
      host_(host),
      over_limit_(over_limit),
      signal_(stream_.get_executor()) {
  error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> HttpSession::run() {
  const auto keep_alive = shared_from_this();
  bool reusable = true;
  while (reusable && co_await waitForFirstByte()) {
    host_.onRequestBegun();
    reusable = co_await serveOne();
    host_.onRequestEnded();
  }
  stream_.expires_never();
  stream_.close();
  host_.onSessionEnded();
}

asio::awaitable<bool> HttpSession::serveOne() {
  auto request = co_await readRequest();
  if (!request) co_return false;
  context_.http_version = request->version();
  context_.head = request->method() == http::verb::head;
  context_.keep_alive = request->keep_alive();
  CallerRequestPointer caller_request;
  std::optional<FinalAnswer> problem;
  try {
    caller_request = toCallerRequest(std::move(*request));
  } catch (const Error& error) {
    constexpr unsigned kBadRequest = 400;
    problem = notRunAnswer(kBadRequest, error.kind(), error.message(), error.remedy());
  }
  if (problem) co_return co_await writeAnswer(std::move(*problem));
  co_await waitForAnswer(std::move(caller_request));
  if (caller_gone_) co_return false;
  if (body_stream_ != nullptr) co_return co_await writeStream();
  co_return co_await writeAnswer(std::move(*answer_));
}

asio::awaitable<bool> HttpSession::waitForFirstByte() {
  if (buffer_.size() > 0) co_return true;
  stream_.expires_after(options_.caller_idle_limit);
  const auto [error, bytes] = co_await stream_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
  if (error) co_return false;
  buffer_.commit(bytes);
  co_return true;
}

asio::awaitable<std::optional<RequestFromCaller>> HttpSession::readRequest() {
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(options_.max_request_header_bytes));
  parser.body_limit(options_.max_request_body_bytes);
  stream_.expires_after(options_.header_limit);
  auto [error, bytes] = co_await http::async_read_header(stream_, buffer_, parser, kAwait);
  if (error) {
    co_await answerReadError(error);
    co_return std::nullopt;
  }
  if (over_limit_) {
    constexpr unsigned kStatusUnavailable = 503;
    auto refusal = notRunAnswer(kStatusUnavailable, ErrorKind::Overloaded, "too many connections",
                                "send it again after the given time, over fewer connections");
    refusal.retry_after = kConnectionRetryAfter;
    co_await answerDirectly(std::move(refusal));
    co_return std::nullopt;
  }
  co_await sendContinue(parser);
  stream_.expires_after(options_.body_limit);
  std::tie(error, bytes) = co_await http::async_read(stream_, buffer_, parser, kAwait);
  if (error) {
    co_await answerReadError(error);
    co_return std::nullopt;
  }
  co_return parser.release();
}

asio::awaitable<void> HttpSession::sendContinue(RequestParser& parser) {
  const auto expect = parser.get()[http::field::expect];
  if (!boost::beast::iequals(expect, "100-continue") || parser.is_done()) co_return;
  http::response<http::empty_body> response(http::status::continue_, parser.get().version());
  co_await http::async_write(stream_, response, kAwait);
}

asio::awaitable<void> HttpSession::answerReadError(error_code error) {
  auto answer = answerForReadError(error);
  if (!answer) co_return;
  logEvent(kRequestMalformed, {{"reason", error.message()}});
  co_await answerDirectly(std::move(*answer));
}

asio::awaitable<bool> HttpSession::answerDirectly(FinalAnswer answer) {
  context_ = AnswerContext();
  co_await writeAnswer(std::move(answer));
  co_await closeGently();
  co_return false;
}

asio::awaitable<void> HttpSession::closeGently() {
  error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  stream_.expires_after(kGentleCloseLimit);
  buffer_.clear();
  for (std::size_t total = 0; !error && total < kGentleCloseBytes;) {
    std::size_t bytes = 0;
    std::tie(error, bytes) = co_await stream_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
    total += bytes;
  }
}

asio::awaitable<void> HttpSession::waitForAnswer(CallerRequestPointer request) {
  stream_.expires_never();
  answer_.reset();
  stream_head_ = nullptr;
  body_stream_ = nullptr;
  request_ = host_.submit(shared_from_this(), std::move(request));
  if (!answer_ && body_stream_ == nullptr) {
    watchCaller();
    signal_.expires_at(asio::steady_timer::time_point::max());
    co_await signal_.async_wait(kAwait);
  }
  ++watch_;
  if (watching_) stream_.socket().cancel();
  watching_ = false;
}

void HttpSession::watchCaller() {
  watching_ = true;
  const auto watch = watch_;
  stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), watch](error_code error) {
    if (error || watch != self->watch_) return;
    self->watching_ = false;
    self->onCallerReadable();
  });
}

void HttpSession::onCallerReadable() {
  char byte = 0;
  const auto received = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A further request on the same connection waits its turn.
  if (received > 0) return;
  if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    watchCaller();
    return;
  }
  caller_gone_ = true;
  host_.callerGone(request_);
  signal_.cancel();
}

void HttpSession::deliver(FinalAnswer answer) {
  answer_ = std::move(answer);
  signal_.cancel();
}

void HttpSession::deliver(BackendResponsePointer head, BodyStreamPointer stream) {
  stream_head_ = std::move(head);
  body_stream_ = std::move(stream);
  signal_.cancel();
}

asio::awaitable<bool> HttpSession::writeAnswer(FinalAnswer answer) {
  context_.keep_alive = context_.keep_alive && !host_.closing();
  auto response = toCallerResponse(answer, context_);
  stream_.expires_after(options_.stream_idle_limit);
  const auto [error, bytes] = co_await http::async_write(stream_, response, kAwait);
  co_return !error && context_.keep_alive;
}

asio::awaitable<bool> HttpSession::writeStream() {
  const auto stream = std::exchange(body_stream_, nullptr);
  const auto head = std::exchange(stream_head_, nullptr);
  constexpr unsigned kHttp11 = 11;
  const bool has_length = findHeader(head->headers, "Content-Length").has_value();
  const bool chunked = !has_length && context_.http_version >= kHttp11;
  StreamResponse response;
  response.version(context_.http_version);
  response.result(head->status);
  copyFields(response, head->headers);
  setOutcome(response, wire::Outcome::Completed, Duration::zero());
  const bool keep_alive = context_.keep_alive && !host_.closing() && (chunked || has_length);
  response.keep_alive(keep_alive);
  if (chunked) response.chunked(true);
  body_stream_ = stream;
  const bool whole = co_await writeStreamBody(response);
  body_stream_ = nullptr;
  if (!whole) {
    stream->abort();
    // Does nothing if it is the back end's side that failed.
    host_.callerGone(request_);
    abort();
  }
  co_return whole&& keep_alive;
}

asio::awaitable<bool> HttpSession::writeStreamBody(StreamResponse& response) {
  const auto stream = body_stream_;
  response.body().data = nullptr;
  response.body().more = true;
  http::response_serializer<http::buffer_body> serializer(response);
  stream_.expires_after(options_.stream_idle_limit);
  auto [error, bytes] = co_await http::async_write_header(stream_, serializer, kAwait);
  while (!error) {
    auto [end, part] = co_await stream->parts().async_receive(kAwait);
    if (end) co_return false;
    const bool last = part.empty();
    response.body().data = last ? nullptr : part.data();
    response.body().size = part.size();
    response.body().more = !last;
    stream_.expires_after(options_.stream_idle_limit);
    std::tie(error, bytes) = co_await http::async_write(stream_, serializer, kAwait);
    if (error == http::error::need_buffer) error = {};
    if (last) co_return !error;
  }
  co_return false;
}

void HttpSession::abort() {
  // A reset, so that not even a body that ends with the connection looks complete.
  error_code ignored;
  stream_.socket().set_option(tcp::socket::linger(true, 0), ignored);
  stream_.close();
}

}  // namespace cometstand::proxy
