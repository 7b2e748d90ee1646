#include "web/client_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

namespace cometstand::web {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 4096;
/// A body is charged from this size on, in steps of it.
constexpr std::size_t kChargeStep = 128 * 1024;
/// A kept connection is given up this long before the server would close it.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1'500);
constexpr Duration kLeastIdleTime = std::chrono::milliseconds(200);

/// @return how long the server keeps the connection open, as its answer says; nothing if it does not.
std::optional<Duration> keepAliveTime(const Response& response) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = response[http::field::keep_alive];
  const auto position = value.find(kName);
  if (position == std::string_view::npos) return std::nullopt;
  const auto digits = value.substr(position + kName.size());
  unsigned seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(Client& client)
    : client_(client),
      socket_(client.io_),
      connect_timer_(client.io_),
      response_timer_(client.io_),
      charge_(client.memory_) {}

void ClientConnection::send(SendId id, OutgoingRequest request, AnswerMatcher matcher, SendHandler handler,
                            const SendLimits& limits) {
  id_ = id;
  request_ = std::make_shared<const OutgoingRequest>(std::move(request));
  matcher_ = std::move(matcher);
  handler_ = std::move(handler);
  limits_ = limits;
  startTimer();
  if (state_ == State::New) {
    connect();
  } else {
    state_ = State::Busy;
    writeRequest();
  }
}

void ClientConnection::startTimer() {
  if (limits_.time == Duration::max()) return;
  response_timer_.expires_after(limits_.time);
  response_timer_.async_wait([self = shared_from_this()](error_code error) {
    // It may have expired just before the response came.
    const bool is_due = self->response_timer_.expiry() <= asio::steady_timer::clock_type::now();
    if (!error && is_due) self->giveUp(ResponseFault::TimedOut);
  });
}

void ClientConnection::giveUp(ResponseFault fault) {
  if (state_ != State::Busy) return;
  reader_.fail(fault);
  finish({SendOutcome::Broken, {}, fault});
}

void ClientConnection::connect() {
  state_ = State::Connecting;
  error_code parse_error;
  const auto host = asio::ip::make_address(client_.address_.host, parse_error);
  connect_timer_.expires_after(Client::kConnectTimeout);
  connect_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->state_ == State::Connecting) self->finish({SendOutcome::NotSent, {}});
  });
  socket_.async_connect({host, client_.address_.port},
                        [self = shared_from_this()](error_code error) { self->onConnected(error); });
}

void ClientConnection::onConnected(error_code error) {
  if (state_ != State::Connecting) return;
  // The timer has not fired yet if the process was suspended meanwhile.
  const bool is_late = connect_timer_.expiry() <= asio::steady_timer::clock_type::now();
  connect_timer_.cancel();
  if (error || is_late) {
    finish({SendOutcome::NotSent, {}});
    return;
  }
  state_ = State::Busy;
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  writeRequest();
}

void ClientConnection::writeRequest() {
  write_pending_ = true;
  write_error_ = {};
  // The request is kept until it is written: the answer may come first.
  http::async_write(socket_, request_->message,
                    [self = shared_from_this(), request = request_](error_code error, std::size_t) {
                      // What was received may still hold an answer.
                      self->write_error_ = error;
                      self->write_pending_ = false;
                    });
  onProgress(beginResponse());
}

ResponseReader::Progress ClientConnection::beginResponse() {
  return reader_.begin(limits_.response, request_->message.method() == http::verb::head);
}

void ClientConnection::awaitBytes() {
  if (read_pending_ || state_ == State::Closed) return;
  read_pending_ = true;
  socket_.async_read_some(reader_.prepare(kReadBytes),
                          [self = shared_from_this()](error_code error, std::size_t length) {
                            self->read_pending_ = false;
                            self->onBytes(error, length);
                          });
}

void ClientConnection::onBytes(error_code error, std::size_t length) {
  if (state_ == State::Closed) return;
  if (state_ == State::Idle) {
    // Closed by the server, or bytes that belong to no request.
    std::erase(client_.idle_, shared_from_this());
    close();
    return;
  }
  onProgress(error ? reader_.onEnd(error, write_error_) : reader_.onReceived(length));
}

void ClientConnection::onProgress(ResponseReader::Progress progress) {
  while (progress == ResponseReader::Progress::Whole) {
    Response response = reader_.release();
    if (matcher_(response)) {
      finish({SendOutcome::Answered, std::move(response), ResponseFault::None}, reader_.hasOwnEnd());
      return;
    }
    progress = skipResponse();
  }
  if (progress == ResponseReader::Progress::Faulty) {
    finish({SendOutcome::Broken, {}, reader_.fault()});
  } else {
    holdBody();
  }
}

ResponseReader::Progress ClientConnection::skipResponse() {
  if (!reader_.hasOwnEnd()) return reader_.fail(ResponseFault::ConnectionLost);
  charge_.resize(0);
  return beginResponse();
}

bool ClientConnection::tryCharge(std::size_t bytes) {
  if (bytes > overload::MemoryBudget::kSmallChargeBytes) return charge_.tryResize(bytes);
  // The request has run: a small response is received in any case.
  charge_.resize(bytes);
  return true;
}

void ClientConnection::holdBody() {
  const std::size_t bytes = reader_.bodyBytes() / kChargeStep * kChargeStep;
  const bool has_room = bytes <= charge_.bytes() || client_.makeRoom(*this, bytes);
  if (has_room) {
    awaitBytes();
  } else {
    giveUp(ResponseFault::NoMemory);
  }
}

void ClientConnection::finish(SendResult result, bool has_end) {
  const auto self = shared_from_this();
  const auto handler = std::exchange(handler_, nullptr);
  matcher_ = nullptr;
  request_.reset();
  response_timer_.expires_at(asio::steady_timer::time_point::max());
  client_.busy_.erase(id_);
  auto charge = std::exchange(charge_, overload::MemoryBudget::Charge(client_.memory_));
  if (result.outcome == SendOutcome::Answered) {
    park(result.response, has_end);
  } else {
    charge.resize(0);
    close();
  }
  // The caller of send() is never called back from within it. A response counts until it is handed over.
  asio::post(client_.io_, [handler, result = std::move(result), charge = std::move(charge)]() mutable {
    handler(std::move(result));
  });
}

/// An answer without a length ended with the server's side of the connection, which the server may close only
/// later: what is written there is not read.
void ClientConnection::park(const Response& response, bool has_end) {
  const bool is_usable =
      has_end && response.keep_alive() && !write_pending_ && !write_error_ && !reader_.hasSurplus();
  if (!is_usable) {
    close();
    return;
  }
  idle_until_ = TimePoint::max();
  if (const auto time = keepAliveTime(response)) {
    idle_until_ = SteadyClock::now() + std::max(*time - kIdleMargin, kLeastIdleTime);
  }
  state_ = State::Idle;
  client_.idle_.push_back(shared_from_this());
  awaitBytes();
}

void ClientConnection::close() {
  if (state_ == State::Closed) return;
  state_ = State::Closed;
  connect_timer_.cancel();
  response_timer_.cancel();
  charge_.resize(0);
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace cometstand::web
