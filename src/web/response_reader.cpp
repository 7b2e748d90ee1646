#include "web/response_reader.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

namespace cometstand::web {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
/// The framing of a body may take this many bytes, and so many times the body itself: chunks of one byte with
/// short extensions are within it.
constexpr std::size_t kFramingBytes = 64 * 1024;
constexpr std::size_t kFramingRatio = 16;
/// The longest chunk header with its extensions, and the longest trailer section.
constexpr std::size_t kFramingLineBytes = 64 * 1024;

ResponseFault faultOf(error_code error) {
  if (error == http::error::header_limit) return ResponseFault::HeadTooLarge;
  if (error == http::error::body_limit) return ResponseFault::BodyTooLarge;
  return ResponseFault::Malformed;
}

/// @return true if the transfer codings are ones whose end is known: none, or chunked alone.
bool hasKnownCoding(const ResponseReader::Message& message) {
  const auto codings = message.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  // A server that speaks an earlier version knows no codings: what it sends may be framed otherwise.
  return codings == 1 && message.version() >= kHttp11 &&
         boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

/// A write reports a reset in place of the read that follows, which then sees an orderly end. It fails
/// otherwise only after the server has ended its side in order: whatever it sent had come before.
bool wasReset(error_code write_error) {
  return write_error.failed() && write_error != asio::error::broken_pipe;
}

}  // namespace

std::string_view responseFaultName(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::None:
      return "none";
    case ResponseFault::ConnectionLost:
      return "connection_lost";
    case ResponseFault::ResetWhileSending:
      return "reset_while_sending";
    case ResponseFault::Malformed:
      return "malformed";
    case ResponseFault::InvalidStatus:
      return "invalid_status";
    case ResponseFault::UnaskedUpgrade:
      return "unasked_upgrade";
    case ResponseFault::UnknownCoding:
      return "unknown_coding";
    case ResponseFault::HeadTooLarge:
      return "head_too_large";
    case ResponseFault::BodyTooLarge:
      return "body_too_large";
    case ResponseFault::FramingTooLarge:
      return "framing_too_large";
    case ResponseFault::NoMemory:
      return "no_memory";
    case ResponseFault::TimedOut:
      return "timed_out";
  }
  return "unknown";
}

ResponseReader::Progress ResponseReader::begin(const ResponseLimits& limits, bool is_head_request) {
  limits_ = limits;
  is_head_request_ = is_head_request;
  fault_ = ResponseFault::None;
  head_bytes_ = 0;
  framed_bytes_ = 0;
  taken_bytes_ = 0;
  restart();
  return parse();
}

void ResponseReader::restart() {
  has_final_head_ = false;
  has_own_end_ = false;
  parser_.emplace();
  parser_->header_limit(limits_.head_bytes);
  if (limits_.body_bytes) {
    parser_->body_limit(*limits_.body_bytes);
  } else {
    parser_->body_limit(boost::none);
  }
  if (is_head_request_) parser_->skip(true);
}

ResponseReader::Progress ResponseReader::onReceived(std::size_t bytes) {
  buffer_.commit(bytes);
  return parse();
}

ResponseReader::Progress ResponseReader::onEnd(error_code read_error, error_code write_error) {
  const bool ends_here = has_final_head_ && parser_->need_eof();
  if (read_error != asio::error::eof || !ends_here) return fail(ResponseFault::ConnectionLost);
  if (wasReset(write_error)) return fail(ResponseFault::ResetWhileSending);
  error_code error;
  parser_->put_eof(error);
  if (error) return fail(faultOf(error));
  return Progress::Whole;
}

ResponseReader::Progress ResponseReader::fail(ResponseFault fault) {
  fault_ = fault;
  has_final_head_ = false;
  parser_.reset();
  return Progress::Faulty;
}

ResponseReader::Progress ResponseReader::parse() {
  auto progress = Progress::Open;
  while (progress == Progress::Open && buffer_.size() > 0) {
    const std::size_t before = buffer_.size();
    progress = parseSome();
    if (progress == Progress::Open && buffer_.size() == before) break;
  }
  return progress;
}

/// Parses up to the end of a head, or all that has come of a body.
ResponseReader::Progress ResponseReader::parseSome() {
  const bool had_head = has_final_head_;
  error_code error;
  const std::size_t parsed = parser_->put(buffer_.data(), error);
  buffer_.consume(parsed);
  (had_head ? framed_bytes_ : head_bytes_) += parsed;
  if (error && error != http::error::need_more) return fail(faultOf(error));
  if (!had_head && parser_->is_header_done()) return onHead();
  if (had_head && parser_->is_done()) return onWhole();
  if (!had_head)
    return head_bytes_ + buffer_.size() > limits_.head_bytes ? fail(ResponseFault::HeadTooLarge)
                                                             : Progress::Open;
  return isFramingTooLarge() ? fail(ResponseFault::FramingTooLarge) : Progress::Open;
}

/// What cannot be parsed yet is a chunk header or a trailer section whose end has not come.
bool ResponseReader::isFramingTooLarge() const {
  const std::size_t body_bytes = taken_bytes_ + bodyBytes();
  const std::size_t framing_bytes = framed_bytes_ - body_bytes;
  return buffer_.size() > kFramingLineBytes || framing_bytes > kFramingBytes + kFramingRatio * body_bytes;
}

ResponseReader::Progress ResponseReader::onHead() {
  const unsigned status = message().result_int();
  if (status < kFirstStatus || status > kLastStatus) return fail(ResponseFault::InvalidStatus);
  if (status == kSwitchingProtocols) return fail(ResponseFault::UnaskedUpgrade);
  if (head_bytes_ > limits_.head_bytes) return fail(ResponseFault::HeadTooLarge);
  if (status < kFirstFinalStatus) {
    restart();
    return Progress::Open;
  }
  if (!hasKnownCoding(message())) return fail(ResponseFault::UnknownCoding);
  has_final_head_ = true;
  parser_->eager(true);
  return parser_->is_done() ? onWhole() : Progress::Open;
}

ResponseReader::Progress ResponseReader::onWhole() {
  has_own_end_ = !parser_->need_eof();
  return Progress::Whole;
}

std::optional<std::uint64_t> ResponseReader::statedLength() const {
  const auto length = parser_->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::string ResponseReader::takeBody() {
  taken_bytes_ += bodyBytes();
  return std::exchange(parser_->get().body(), {});
}

http::response<http::string_body> ResponseReader::release() {
  http::response<http::string_body> response;
  Message message = parser_->release();
  response.base() = std::move(message.base());
  response.body() = std::move(message.body());
  parser_.reset();
  return response;
}

}  // namespace cometstand::web
