// The server and the client against each other and against raw bytes, on loopback with ports that the system
// picks.
#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "server_fixture.h"
#include "web/client.h"

namespace cometstand::web {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kPatience = std::chrono::seconds(10);

/// A server that sends fixed bytes to each connection once a request has begun to come.
class RawServer {
 public:
  RawServer(asio::io_context& io, std::string bytes, bool closes)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}), bytes_(std::move(bytes)), closes_(closes) {
    accept();
  }
  runtime::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  int connections = 0;

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      ++connections;
      auto held = std::make_shared<tcp::socket>(std::move(socket));
      serve(held);
      accept();
    });
  }
  void serve(const std::shared_ptr<tcp::socket>& socket) {
    auto part = std::make_shared<std::array<char, 4096>>();
    socket->async_read_some(asio::buffer(*part),
                            [this, socket, part](boost::system::error_code error, std::size_t) {
                              if (error) return;
                              boost::system::error_code ignored;
                              asio::write(*socket, asio::buffer(bytes_), ignored);
                              if (closes_) {
                                socket->close();
                              } else {
                                serve(socket);
                              }
                            });
  }

  tcp::acceptor acceptor_;
  std::string bytes_;
  bool closes_;
};

/// Answers the first bytes of each connection, ends its side, and leaves the connection open.
class HalfClosingServer {
 public:
  HalfClosingServer(asio::io_context& io, std::string bytes)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}), bytes_(std::move(bytes)) {
    accept();
  }
  runtime::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  int connections = 0;

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      ++connections;
      sockets_.push_back(std::move(socket));
      sockets_.back().async_read_some(
          asio::buffer(request_),
          [this, &socket = sockets_.back()](boost::system::error_code read_error, std::size_t) {
            boost::system::error_code ignored;
            if (read_error) return;
            asio::write(socket, asio::buffer(bytes_), ignored);
            socket.shutdown(tcp::socket::shutdown_send, ignored);
          });
      accept();
    });
  }

  tcp::acceptor acceptor_;
  std::string bytes_;
  std::list<tcp::socket> sockets_;
  std::array<char, 4096> request_{};
};

SendResult sendOnce(asio::io_context& io, Client& client, const std::string& id, Request request = {}) {
  std::optional<SendResult> result;
  request.version(11);
  request.method(boost::beast::http::verb::get);
  if (request.target().empty()) request.target("/a");
  request.set("Host", "h");
  client.send(
      SendId{1}, std::move(request), [id](const Response& response) { return response["X-Id"] == id; },
      [&result](SendResult got) { result = std::move(got); });
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!result && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
  REQUIRE(result.has_value());
  return *result;
}

}  // namespace

TEST_CASE("requests on one connection are answered one after the other, also if they come together",
          "[web]") {
  ServerFixture fixture;
  auto socket = fixture.connect();
  asio::write(
      socket,
      asio::buffer(std::string("GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n")));
  const auto text = fixture.readUntil(socket, "/two");
  CHECK(text.find("/one") < text.find("/two"));
  CHECK(fixture.handler.requests.size() == 2);
}

TEST_CASE("a caller who leaves before the answer is reported", "[web]") {
  ServerFixture fixture;
  fixture.handler.answers = false;
  auto socket = fixture.connect();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  REQUIRE(fixture.runUntil([&] { return !fixture.handler.requests.empty(); }));
  socket.close();
  REQUIRE(fixture.runUntil([&] { return !fixture.handler.gone.empty(); }));
  CHECK(fixture.handler.gone.front() == fixture.handler.ids.front());
}

TEST_CASE("bytes that are no request, or more than is allowed, are refused and the connection ends",
          "[web]") {
  ServerFixture fixture;
  fixture.handler.server_limits.max_header_bytes = 200;
  fixture.handler.server_limits.max_body_bytes = 10;
  std::string request;
  std::string status;
  SECTION("no request") {
    request = "nonsense\r\n\r\n";
    status = "400";
  }
  SECTION("large header") {
    request = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n";
    status = "431";
  }
  SECTION("large body") {
    request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890";
    status = "413";
  }
  SECTION("two lengths, as a second request would be smuggled") {
    request =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    status = "400";
  }
  auto socket = fixture.connect();
  asio::write(socket, asio::buffer(request));
  const auto text = fixture.readUntil(socket, "never");
  CHECK(text.substr(0, 12) == "HTTP/1.1 " + status);
  CHECK(fixture.handler.requests.empty());
}

// Guards against the end of the process by an exception of the parser: its index of fields holds values of
// less than 64 KiB, and a body is given memory as soon as its length is announced.
TEST_CASE("a request that the parser cannot hold is refused, whatever the limits allow", "[web]") {
  ServerFixture fixture;
  fixture.handler.server_limits.max_header_bytes = 1024 * 1024;
  fixture.handler.server_limits.max_body_bytes = UINT64_MAX;
  std::string request;
  std::string status;
  SECTION("a field") {
    request = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n";
    status = "431";
  }
  SECTION("the name of a field") {
    request = "GET / HTTP/1.1\r\nHost: h\r\n" + std::string(70'000, 'x') + ": v\r\n\r\n";
    status = "431";
  }
  SECTION("a body") {
    request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000000000000\r\n\r\n0";
    status = "413";
  }
  auto kept = fixture.connect();
  auto socket = fixture.connect();
  asio::write(socket, asio::buffer(request));
  CHECK(fixture.readUntil(socket, "never").substr(0, 12) == "HTTP/1.1 " + status);
  CHECK(fixture.handler.requests.empty());
  asio::write(kept, asio::buffer(std::string("GET /kept HTTP/1.1\r\nHost: h\r\n\r\n")));
  CHECK(fixture.readUntil(kept, "/kept").ends_with("/kept"));
}

TEST_CASE("a kept connection is used again", "[web]") {
  ServerFixture fixture;
  Client client(fixture.io, fixture.server.listenAddress());
  Request request;
  request.set("X-Id", "1");
  CHECK(sendOnce(fixture.io, client, "1", request).outcome == SendOutcome::Answered);
  CHECK(sendOnce(fixture.io, client, "1", request).response.body() == "/a");
  CHECK(client.connectionsOpened() == 1);
}

TEST_CASE("nothing is sent where nobody listens", "[web]") {
  asio::io_context io;
  runtime::Address address;
  {
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    address = {"127.0.0.1", acceptor.local_endpoint().port()};
  }
  Client client(io, address);
  CHECK(sendOnce(io, client, "1").outcome == SendOutcome::NotSent);
}

TEST_CASE("a request is not sent once its connection took too long to open", "[web]") {
  asio::io_context io;
  // The kernel drops further connections while the queue of those that were not accepted is full.
  tcp::acceptor acceptor(io, tcp::v4());
  acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  acceptor.listen(0);
  std::vector<std::unique_ptr<tcp::socket>> queued;
  for (int i = 0; i < 4; ++i) {
    queued.push_back(std::make_unique<tcp::socket>(io));
    queued.back()->async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
  }
  io.run_for(std::chrono::milliseconds(100));
  io.restart();
  Client client(io, {"127.0.0.1", acceptor.local_endpoint().port()});
  const auto began = std::chrono::steady_clock::now();
  CHECK(sendOnce(io, client, "1").outcome == SendOutcome::NotSent);
  CHECK(std::chrono::steady_clock::now() - began < Client::kConnectTimeout + std::chrono::milliseconds(500));
}

TEST_CASE("a probe tells whether anybody listens", "[web]") {
  asio::io_context io;
  std::optional<ConnectOutcome> outcome;
  const auto probe = [&](runtime::Address address) {
    Client client(io, std::move(address));
    outcome.reset();
    client.probe([&outcome](ConnectOutcome got) { outcome = got; });
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!outcome && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
    io.restart();
    return outcome;
  };
  runtime::Address address;
  {
    RawServer server(io, "", false);
    address = server.address();
    CHECK(probe(address) == ConnectOutcome::Accepted);
  }
  io.poll();
  io.restart();
  CHECK(probe(address) == ConnectOutcome::Refused);
}

TEST_CASE("an answer that is cut short, or is none, is broken", "[web]") {
  asio::io_context io;
  const std::string bytes =
      GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc",
               "what is this\r\n\r\n", "", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n");
  RawServer server(io, bytes, true);
  Client client(io, server.address());
  CHECK(sendOnce(io, client, "1").outcome == SendOutcome::Broken);
}

TEST_CASE("an answer that belongs to another request is dropped, and the right one is taken", "[web]") {
  asio::io_context io;
  RawServer server(io,
                   "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nold"
                   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nnew",
                   false);
  Client client(io, server.address());
  const auto result = sendOnce(io, client, "1");
  CHECK(result.outcome == SendOutcome::Answered);
  CHECK(result.response.body() == "new");
}

TEST_CASE("a connection with bytes after a whole answer is not used again", "[web]") {
  asio::io_context io;
  RawServer server(io,
                   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none"
                   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\ntwo",
                   false);
  Client client(io, server.address());
  CHECK(sendOnce(io, client, "1").response.body() == "one");
  CHECK(sendOnce(io, client, "1").response.body() == "one");
  CHECK(server.connections == 2);
}

// Guards against requests that are written into a connection which the server has ended on its side: they
// wait there until their deadlines, and hold the target's slots.
TEST_CASE("a connection whose answer had no length is not used again", "[web]") {
  asio::io_context io;
  HalfClosingServer server(io, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\none");
  Client client(io, server.address());
  CHECK(sendOnce(io, client, "1").response.body() == "one");
  CHECK(sendOnce(io, client, "1").response.body() == "one");
  CHECK(server.connections == 2);
}

TEST_CASE("an answer before the whole request is taken, and its connection is not used again", "[web]") {
  asio::io_context io;
  RawServer server(io, "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbig", false);
  Client client(io, server.address());
  Request request;
  request.body().assign(20'000'000, 'x');
  request.prepare_payload();
  const auto result = sendOnce(io, client, "1", request);
  CHECK(result.outcome == SendOutcome::Answered);
  CHECK(result.response.result_int() == 413);
  sendOnce(io, client, "1");
  CHECK(server.connections == 2);
}

}  // namespace cometstand::web
