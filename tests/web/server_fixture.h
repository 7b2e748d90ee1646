// A server on loopback whose handler keeps or answers requests as a test says.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "web/server.h"

namespace cometstand::web {

/// Answers at once with the request's target, or keeps the exchange open.
class EchoHandler : public RequestHandler {
 public:
  void onRequest(ExchangeId id, Request request) override {
    requests.push_back(request);
    ids.push_back(id);
    if (answers) echo(ids.size() - 1);
  }
  void onCallerGone(ExchangeId id) override {
    gone.push_back(id);
    if (responding) gone_while_responding = true;
  }
  void onBodyWritten(ExchangeId /*id*/, std::size_t bytes) override { body_written += bytes; }
  ServerLimits limits() const override { return server_limits; }

  /// Answers the request of this place with its target.
  void echo(std::size_t place) {
    Response response;
    response.result(200);
    response.set("X-Id", std::string(requests[place]["X-Id"]));
    response.body() = std::string(requests[place].target());
    responding = true;
    server->respond(ids[place], std::move(response));
    responding = false;
  }

  Server* server = nullptr;
  bool answers = true;
  ServerLimits server_limits;
  std::vector<Request> requests;
  std::vector<ExchangeId> ids;
  std::vector<ExchangeId> gone;
  std::size_t body_written = 0;
  /// Server::respond() is being called.
  bool responding = false;
  /// onCallerGone() was called from within Server::respond().
  bool gone_while_responding = false;
};

struct ServerFixture {
  using Socket = boost::asio::ip::tcp::socket;

  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  /// @param memory_limit of the server's budget, in bytes.
  explicit ServerFixture(std::size_t memory_limit = kUnlimited, std::size_t max_connections = kUnlimited,
                         bool closes_resting = false)
      : memory(memory_limit),
        server(io, {"127.0.0.1", 0}, handler, {memory, max_connections, closes_resting}) {
    handler.server = &server;
    server.start();
  }

  /// Runs until the condition holds.
  template <typename Condition>
  bool runUntil(Condition condition) {
    constexpr auto kPatience = std::chrono::seconds(10);
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  /// Runs what is ready, for as long as more becomes ready.
  void settle() {
    while (io.run_one_for(std::chrono::milliseconds(20)) > 0) {
    }
  }

  Socket connect() {
    Socket socket(io);
    const auto address = server.listenAddress();
    socket.connect({boost::asio::ip::make_address(address.host), address.port});
    return socket;
  }

  static void write(Socket& socket, const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }

  /// @return what comes until the text ends so, or the connection ends.
  std::string readUntil(Socket& socket, const std::string& end) {
    std::string text;
    bool ended = false;
    std::array<char, 512> part{};
    std::function<void()> read = [&] {
      socket.async_read_some(boost::asio::buffer(part),
                             [&](boost::system::error_code error, std::size_t length) {
                               text.append(part.data(), length);
                               ended = error.failed() || text.ends_with(end);
                               if (!ended) read();
                             });
    };
    read();
    runUntil([&] { return ended; });
    return text;
  }

  /// @return all that comes until the connection ends.
  std::string readAll(Socket& socket) { return readUntil(socket, "\r\nno answer ends so\r\n"); }

  boost::asio::io_context io;
  EchoHandler handler;
  overload::MemoryBudget memory;
  Server server;
};

}  // namespace cometstand::web
