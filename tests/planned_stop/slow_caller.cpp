#include "planned_stop/slow_caller.h"

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <thread>

#include "platform/names.h"
#include "platform_processes/stand_in_target.h"

namespace cometstand::platform {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Little is on its way unread, so that the sidecar's side holds the rest.
constexpr int kReceiveBuffer = 32 * 1024;
constexpr std::size_t kReadBytes = 32 * 1024;
constexpr std::uint64_t kMostBodyBytes = 256ULL * 1024 * 1024;

std::atomic<unsigned> last_request = 0;

}  // namespace

SlowCaller::SlowCaller(const asio::ip::tcp::endpoint& server) : socket_(io_) {
  socket_.open(server.protocol());
  socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  socket_.connect(server);
}

void SlowCaller::ask(std::size_t body_bytes, std::size_t requests) {
  std::string text;
  for (std::size_t i = 0; i < requests; ++i) {
    text += fmt::format("GET {}{} HTTP/1.1\r\nHost: shop.example\r\n{}: slow-{}\r\n{}: 8000\r\n\r\n",
                        kLargePath, body_bytes, kRequestId, ++last_request, kDeadline);
  }
  asio::write(socket_, asio::buffer(text));
}

bool SlowCaller::readSome() {
  std::array<char, kReadBytes> part{};
  boost::system::error_code error;
  const std::size_t length = socket_.read_some(asio::buffer(part), error);
  received_.append(part.data(), length);
  was_reset_ = error == asio::error::connection_reset;
  return !error;
}

void SlowCaller::awaitFirstBytes() {
  while (received_.empty() && readSome()) {
  }
}

void SlowCaller::readToEnd(double bytes_per_second) {
  const TimePoint began = SteadyClock::now();
  const std::size_t before = received_.size();
  while (readSome()) {
    const auto read = static_cast<double>(received_.size() - before);
    const std::chrono::duration<double> due(read / bytes_per_second);
    std::this_thread::sleep_until(began + std::chrono::duration_cast<Duration>(due));
  }
}

std::size_t SlowCaller::wholeAnswers(std::size_t body_bytes) const {
  std::size_t whole = 0;
  std::size_t used = 0;
  while (used < received_.size()) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMostBodyBytes);
    boost::system::error_code error;
    parser.eager(true);
    used += parser.put(asio::buffer(received_.data() + used, received_.size() - used), error);
    if (error || !parser.is_done()) break;
    if (parser.get().result() == http::status::ok && parser.get().body().size() == body_bytes) ++whole;
  }
  return whole;
}

}  // namespace cometstand::platform
