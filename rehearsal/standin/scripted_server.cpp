#include "rehearsal/standin/scripted_server.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <optional>
#include <utility>

namespace cometstand::rehearsal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

auto waitFor(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

/// One connection of a ScriptedServer.
class Session {
 public:
  explicit Session(tcp::socket socket) : socket_(std::move(socket)) {}

  /// @return false if no further request came.
  awaitable<bool> readHead() {
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code error;
    co_await http::async_read_header(socket_, buffer_, *parser_, waitFor(error));
    co_return !error;
  }

  ScriptedServer::RequestHead head() const { return ScriptedServer::RequestHead(parser_->get().base()); }

  /// @return false if the connection has ended.
  awaitable<bool> play(const ResponseScript& script) {
    for (const auto& step : script.steps) {
      const bool goes_on =
          co_await std::visit([this](const auto& action) { return this->perform(action); }, step);
      if (!goes_on) co_return false;
    }
    co_return co_await end(script.end);
  }

 private:
  awaitable<bool> perform(const SendBytes& action) { return write(action.bytes); }

  awaitable<bool> perform(const SendRepeatedly& action) {
    constexpr std::size_t kBlockBytes = 256 * 1024;
    std::string block;
    while (block.size() < kBlockBytes) block += action.bytes;
    for (std::size_t sent = 0; sent < action.limit_bytes; sent += block.size()) {
      const bool is_written = co_await write(block);
      if (!is_written) co_return false;
    }
    co_return true;
  }

  awaitable<bool> perform(const Pause& action) {
    asio::steady_timer timer(co_await asio::this_coro::executor, action.duration);
    error_code ignored;
    co_await timer.async_wait(waitFor(ignored));
    co_return true;
  }

  awaitable<bool> perform(const ReadBody&) {
    error_code error;
    co_await http::async_read(socket_, buffer_, *parser_, waitFor(error));
    co_return !error;
  }

  awaitable<bool> write(const std::string& bytes) {
    error_code error;
    co_await asio::async_write(socket_, asio::buffer(bytes), waitFor(error));
    co_return !error;
  }

  awaitable<bool> end(ScriptEnd end) {
    error_code ignored;
    switch (end) {
      case ScriptEnd::Keep:
        co_return co_await perform(ReadBody{});
      case ScriptEnd::HalfClose:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        co_await drain();
        break;
      case ScriptEnd::Close:
        break;
      case ScriptEnd::Reset:
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        break;
      case ScriptEnd::Hang:
        co_await socket_.async_wait(tcp::socket::wait_error, waitFor(ignored));
        break;
    }
    socket_.close(ignored);
    co_return false;
  }

  awaitable<void> drain() {
    std::array<char, 64 * 1024> bytes{};
    error_code error;
    while (!error) co_await socket_.async_read_some(asio::buffer(bytes), waitFor(error));
  }

  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
};

}  // namespace

ScriptedServer::ScriptedServer(const tcp::endpoint& listen, Handler handler)
    : acceptor_(io_, listen), handler_(std::move(handler)) {
  asio::co_spawn(io_, accept(), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
}

ScriptedServer::~ScriptedServer() {
  io_.stop();
  thread_.join();
}

awaitable<void> ScriptedServer::accept() {
  while (true) {
    error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(waitFor(error));
    if (error) co_return;
    asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
  }
}

awaitable<void> ScriptedServer::serve(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  Session session(std::move(socket));
  bool goes_on = co_await session.readHead();
  while (goes_on) {
    const ResponseScript script = handler_(session.head());
    goes_on = co_await session.play(script);
    if (goes_on) goes_on = co_await session.readHead();
  }
}

}  // namespace cometstand::rehearsal
