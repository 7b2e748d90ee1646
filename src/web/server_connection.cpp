#include "web/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <exception>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "net/unsent_bytes.h"
#include "web/events.h"

namespace cometstand::web {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Read at once: a few reads for an upload of some 100 KB.
constexpr std::size_t kReadBytes = 16 * 1024;
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
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr unsigned kHttp11 = 11;
/// A caller that takes nothing of an answer for so long is taken for gone.
constexpr Duration kStalledWriteTime = std::chrono::seconds(30);
/// A caller that moves fewer bytes in a second is slow: far below what any usual network carries.
constexpr std::size_t kSlowBytes = 16 * 1024;
/// A caller that moves nothing for so long is slow as well, before the interval ends. It spans some losses of
/// packets.
constexpr Duration kStalledTime = std::chrono::milliseconds(500);
/// The same for a caller that does not read while answers exceed the memory: nobody else is served meanwhile.
constexpr Duration kUrgentStalledTime = std::chrono::milliseconds(200);
/// Requests of one connection are not handed out ahead while those before them, with their answers, hold
/// more.
constexpr std::size_t kMaxPipelinedBytes = 1024 * 1024;
/// Memory for one request in progress without its fields, in all parts of the process.
constexpr std::size_t kRequestOverheadBytes = 4 * 1024;
/// Memory for one header field besides its text: in the parser, in the request that is passed on, and in the
/// copy that is on its way to the target.
constexpr std::size_t kFieldOverheadBytes = 400;
/// A head's text is held as often.
constexpr std::size_t kHeadCopies = 4;
/// Memory for an answer besides its body.
constexpr std::size_t kAnswerOverheadBytes = 2 * 1024;
/// A body in chunks is charged in steps.
constexpr std::size_t kBodyStepBytes = 64 * 1024;
/// Up to this size the memory of a body in chunks doubles as it grows. A larger one gets room for the largest
/// body at once: pages to which nothing was written take no memory, and the body is never moved again.
constexpr std::size_t kGrowingBodyBytes = 1024 * 1024;
/// When to come back after a refusal for want of memory: about the time of a large upload on a usual network.
constexpr std::string_view kMemoryRetryAfter = "0.250";

http::status statusOf(error_code error) {
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  if (error == http::error::body_limit) return http::status::payload_too_large;
  return http::status::bad_request;
}

bool isSafe(http::verb method) {
  return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

}  // namespace

ServerConnection::ServerConnection(Server& server, std::uint64_t number, asio::ip::tcp::socket socket)
    : server_(server),
      number_(number),
      socket_(std::move(socket)),
      charge_(&server.resources_.memory),
      since_(SteadyClock::now()) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  // Reads happen only once bytes are there; should they be gone all the same, a read must not block.
  socket_.non_blocking(true, ignored);
}

/// The first request has often come already. Behind thousands of connections with bytes to read, each further
/// turn of the loop takes long.
void ServerConnection::start() { onReadable({}); }

bool ServerConnection::isOverdue(const ServerLimits& limits, TimePoint now) {
  if (state_ == State::Lingering) return lingersTooLong(now);
  if (writing_ && progressed_at_ + kStalledWriteTime < now) return true;
  if (!pending_.empty()) return false;
  if (isReadingHead()) return since_ + std::min(limits.header_time, limits.read_time) < now;
  return since_ + (parser_ ? limits.read_time : limits.idle_time) < now;
}

bool ServerConnection::isReadingHead() const { return !parser_ && !reading_ended_ && buffer_.size() > 0; }

/// @return true if the caller's bytes, or its reading, are all that the connection waits for.
bool ServerConnection::awaitsCaller() const {
  if (state_ != State::Open) return false;
  return writing_ || (pending_.empty() && (parser_ || isReadingHead()));
}

void ServerConnection::measureProgress() {
  const bool awaits = awaitsCaller();
  is_slow_ = awaits && awaited_caller_ && progress_ < kSlowBytes;
  awaited_caller_ = awaits;
  progress_ = 0;
}

void ServerConnection::noteProgress(std::size_t bytes) {
  progress_ += bytes;
  progressed_at_ = SteadyClock::now();
}

bool ServerConnection::isSlow(TimePoint now) const {
  if (!awaitsCaller()) return false;
  const bool is_urgent = writing_ && server_.resources_.memory.isExceeded();
  return is_slow_ || progressed_at_ + (is_urgent ? kUrgentStalledTime : kStalledTime) < now;
}

std::size_t ServerConnection::chargedBytes() const {
  std::size_t bytes = charge_.bytes();
  for (const auto& item : pending_) bytes += item.charge.bytes();
  return bytes;
}

void ServerConnection::shed() {
  if (state_ == State::Open && !writing_ && pending_.empty()) {
    refuse(http::status::request_timeout);
  } else {
    close();
  }
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
  if (state_ != State::Open || writing_) {
    close();
  } else if (parser_ || isReadingHead()) {
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
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->read_pending_ = false;
    self->onReadable(error);
  });
}

/// All connections of a thread read into one buffer, and keep only what cannot be parsed yet: thousands of
/// them may rest, or send slowly.
void ServerConnection::onReadable(error_code error) {
  if (state_ == State::Closed) return;
  thread_local std::array<char, kReadBytes> bytes;
  const std::size_t length = error ? 0 : socket_.read_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    awaitBytes();
    return;
  }
  if (error) {
    close();
    return;
  }
  noteProgress(length);
  if (state_ == State::Open && !reading_ended_) {
    if (buffer_.size() == 0 && !parser_ && pending_.empty()) since_ = SteadyClock::now();
    buffer_.commit(asio::buffer_copy(buffer_.prepare(length), asio::buffer(bytes, length)));
  }
  parseRequests();
  releaseBuffer();
  awaitBytes();
}

bool ServerConnection::isResting() const {
  return state_ == State::Open && pending_.empty() && !parser_ && buffer_.size() == 0 && !hasUnreadBytes();
}

bool ServerConnection::hasUnreadBytes() const {
  error_code ignored;
  return socket_.available(ignored) > 0;
}

/// @return true if the next request may be read.
bool ServerConnection::mayBegin() const {
  if (reading_ended_) return false;
  if (pending_.empty()) return true;
  return pending_.size() < kMaxPipelinedRequests && chargedBytes() < kMaxPipelinedBytes &&
         server_.readsAhead(SteadyClock::now());
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
  if (!parser_ && !beginRequest()) return false;
  while (!parser_->is_done()) {
    if (parser_->is_header_done()) {
      if (mustWait() || !chargeBody()) return false;
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

/// Begins to parse a request once its head is whole: a field takes many times the bytes of a short one's
/// text, so the head is charged before there are any.
/// @return false if more bytes are needed, or the request was refused.
bool ServerConnection::beginRequest() {
  const ServerLimits limits = server_.handler_.limits();
  header_limit_ = limits.max_header_bytes;
  body_limit_ = limits.max_body_bytes;
  const auto data = buffer_.data();
  const std::string_view bytes(static_cast<const char*>(data.data()), data.size());
  const auto end = bytes.find(kHeadEnd, scanned_);
  if (end == std::string_view::npos) {
    scanned_ = bytes.size() - std::min(bytes.size(), kHeadEnd.size() - 1);
    if (bytes.size() >= header_limit_) {
      refuse(http::status::request_header_fields_too_large);
    } else if (!charge_.tryResize(bytes.size())) {
      refuseForMemory();
    }
    return false;
  }
  scanned_ = 0;
  head_cost_ = requestCost(bytes.substr(0, end));
  if (!charge_.tryResize(head_cost_)) {
    refuseForMemory();
    return false;
  }
  continue_sent_ = false;
  parser_.emplace();
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  return true;
}

std::size_t ServerConnection::requestCost(std::string_view head) {
  const auto fields = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
  return kRequestOverheadBytes + kHeadCopies * head.size() + fields * kFieldOverheadBytes;
}

/// Charges a body with a length as a whole before any of it is read, so that several bodies cannot keep each
/// other from becoming whole; one in chunks as it comes.
/// @return false if there is no room, and the request was refused.
bool ServerConnection::chargeBody() {
  auto& body = parser_->get().body();
  std::size_t bytes = 0;
  if (const auto length = parser_->content_length()) {
    bytes = static_cast<std::size_t>(std::min(*length, body_limit_));
  } else if (parser_->chunked()) {
    bytes = (body.size() / kBodyStepBytes + 2) * kBodyStepBytes;
    const bool is_growing = bytes <= kGrowingBodyBytes;
    if (is_growing) bytes *= 2;
    if (!is_growing && body.capacity() < body_limit_) body.reserve(static_cast<std::size_t>(body_limit_));
  }
  if (charge_.tryResize(head_cost_ + bytes)) return true;
  if (bytes > server_.resources_.memory.largestCharge()) {
    logEvent(kRequestTooLarge, {{"part", "body"}, {"reason", "larger than the memory for clients"}});
    refuse(http::status::payload_too_large);
  } else {
    refuseForMemory();
  }
  return false;
}

/// The request was not handed out, so it has not run.
void ServerConnection::refuseForMemory() {
  Response response(http::status::service_unavailable, kHttp11);
  response.set(http::field::retry_after, kMemoryRetryAfter);
  refuse(std::move(response));
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
  const auto outgoing = std::make_shared<Outgoing>();
  outgoing->head = kContinue;
  write(outgoing, [this](error_code error) {
    writing_ = false;
    if (error) {
      close();
    } else {
      writeNext();
    }
  });
}

/// The bytes are no request: what follows on the connection cannot be told apart from the rest of it.
void ServerConnection::refuse(Response response) {
  Pending item;
  item.is_last = true;
  item.response = std::move(response);
  pending_.push_back(std::move(item));
  reading_ended_ = true;
  parser_.reset();
  charge_.resize(0);
  writeNext();
}

void ServerConnection::refuse(http::status status) { refuse(Response(status, kHttp11)); }

void ServerConnection::finishRequest() {
  Request request = parser_->release();
  parser_.reset();
  const ExchangeId id{server_.next_exchange_++};
  Pending item;
  item.id = id;
  item.has_safe_method = isSafe(request.method());
  item.is_last = !request.keep_alive();
  item.charge = std::exchange(charge_, overload::MemoryBudget::Charge(&server_.resources_.memory));
  item.request_bytes = item.charge.bytes();
  server_.expendable_.erase(number_);
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
  item->charge.resize(answerCost(*item));
  writeNext();
}

std::size_t ServerConnection::answerCost(const Pending& item) {
  return kAnswerOverheadBytes + item.response->body().size();
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
  auto& response = *item.response;
  response.version(kHttp11);
  response.keep_alive(!item.is_last);
  response.prepare_payload();
  const auto outgoing = std::make_shared<Outgoing>();
  outgoing->head = textOf(response);
  outgoing->body = std::move(response.body());
  write(outgoing, [this](error_code error) { onWritten(error); });
}

/// @return the head as it is sent, with its end.
std::string ServerConnection::textOf(const Response& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.result_int()) + ' ';
  text += std::string_view(head.reason());
  text += kLineEnd;
  for (const auto& field : head) {
    text += std::string_view(field.name_string());
    text += ": ";
    text += std::string_view(field.value());
    text += kLineEnd;
  }
  text += kLineEnd;
  return text;
}

/// Writes all of it. The writing holds the bytes: the connection may be closed, and forget the request,
/// before the writing ends.
void ServerConnection::write(const std::shared_ptr<Outgoing>& outgoing, WriteHandler handler) {
  if (!std::exchange(writing_, true)) progressed_at_ = SteadyClock::now();
  std::array<asio::const_buffer, 3> buffers{asio::buffer(outgoing->head), asio::buffer(outgoing->body),
                                            asio::buffer(outgoing->end)};
  std::size_t skipped = outgoing->written;
  for (auto& buffer : buffers) {
    const std::size_t length = std::min(skipped, buffer.size());
    buffer += length;
    skipped -= length;
  }
  const std::size_t left = asio::buffer_size(buffers);
  socket_.async_write_some(buffers,
                           [this, self = shared_from_this(), outgoing, left, handler = std::move(handler)](
                               error_code error, std::size_t length) mutable {
                             noteProgress(length);
                             if (error || length == left) {
                               handler(error);
                               return;
                             }
                             outgoing->written += length;
                             write(outgoing, std::move(handler));
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
  releaseBuffer();
  writeNext();
  parseRequests();
  awaitBytes();
}

void ServerConnection::releaseBuffer() {
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
}

void ServerConnection::linger() {
  state_ = State::Lingering;
  server_.expendable_.emplace(number_, this);
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
  server_.expendable_.erase(number_);
  charge_.resize(0);
  const auto pending = std::exchange(pending_, {});
  for (const auto& item : pending) {
    const bool has_begun = item.in_parts && item.end == PartEnd::More;
    const bool is_waiting = item.id && (!item.response || has_begun);
    if (!is_waiting) continue;
    server_.exchanges_.erase(*item.id);
    server_.handler_.onCallerGone(*item.id);
  }
}

}  // namespace cometstand::web
