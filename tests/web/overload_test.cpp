// What the server does when memory, time or connections run short, over real sockets.
#include <catch2/catch.hpp>

#include "server_fixture.h"

namespace cometstand::web {
namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;
constexpr std::size_t kMemory = 16 * kMebibyte;

const std::string kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string postHead(std::size_t bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

struct OverloadFixture : ServerFixture {
  OverloadFixture() : ServerFixture(kMemory) {}
};

}  // namespace

// Guards against uploads that together take the memory of the process.
TEST_CASE_METHOD(OverloadFixture, "a body for which there is no memory is refused before it is handed out",
                 "[web][overload]") {
  auto first = connect();
  write(first, postHead(10 * kMebibyte) + "x");
  REQUIRE(runUntil([&] { return memory.used() > 10 * kMebibyte; }));
  auto second = connect();
  write(second, postHead(10 * kMebibyte) + "x");
  const auto text = readAll(second);
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find("Retry-After: ") != std::string::npos);
  CHECK(handler.requests.empty());
  auto third = connect();
  write(third, kGet);
  CHECK(readUntil(third, "/").starts_with("HTTP/1.1 200"));
}

// Guards against bodies whose length nobody knows before they have taken the memory.
TEST_CASE_METHOD(OverloadFixture, "a body in chunks is refused once it outgrows the memory",
                 "[web][overload]") {
  auto socket = connect();
  boost::system::error_code error;
  const std::string chunk = "100000\r\n" + std::string(kMebibyte, 'x') + "\r\n";
  boost::asio::write(socket,
                     boost::asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                                                     "chunked\r\n\r\n")));
  socket.non_blocking(true);
  std::size_t sent = 0;
  const auto send = [&] {
    sent += socket.write_some(
        boost::asio::buffer(chunk.data() + sent % chunk.size(), chunk.size() - sent % chunk.size()), error);
    return error && error != boost::asio::error::would_block;
  };
  CHECK(runUntil([&] { return send() || memory.refusals() > 0; }));
  CHECK(memory.used() <= kMemory);
  CHECK(handler.requests.empty());
}

// Guards against memory that is lost when callers leave in the midst of their requests.
TEST_CASE_METHOD(OverloadFixture, "memory is given back when a caller leaves", "[web][overload]") {
  handler.answers = false;
  auto uploading = connect();
  write(uploading, postHead(5 * kMebibyte) + "x");
  auto waiting = connect();
  write(waiting, kGet);
  auto incomplete = connect();
  write(incomplete, "GET / HTTP/1.1\r\nHost: h\r\n");
  REQUIRE(runUntil([&] { return memory.used() > 5 * kMebibyte && handler.requests.size() == 1; }));
  uploading.close();
  waiting.close();
  incomplete.close();
  CHECK(runUntil([&] { return memory.used() == 0; }));
}

// Guards against parsers' fields that take many times the bytes of heads which never end.
TEST_CASE_METHOD(OverloadFixture, "a head that is not whole is charged by its bytes alone",
                 "[web][overload]") {
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int field = 0; field < 2'000; ++field) head += "a:\r\n";
  auto socket = connect();
  write(socket, head);
  REQUIRE(runUntil([&] { return memory.used() >= head.size(); }));
  CHECK(memory.used() < 2 * head.size());
  write(socket, "\r\n");
  CHECK(readUntil(socket, "/").starts_with("HTTP/1.1 200"));
}

// Guards against connections that are held open by heads which come a byte at a time.
TEST_CASE("a head that does not end in time is refused", "[web][overload]") {
  ServerFixture fixture;
  fixture.handler.server_limits.header_time = std::chrono::milliseconds(100);
  auto socket = fixture.connect();
  ServerFixture::write(socket, "GET / HTTP/1.1\r\n");
  CHECK(fixture.readAll(socket).starts_with("HTTP/1.1 408"));
}

// Guards against answers that pile up for callers who do not read them.
TEST_CASE_METHOD(OverloadFixture, "a caller who does not read is disconnected when memory runs short",
                 "[web][overload]") {
  handler.answers = false;
  auto deaf = connect();
  deaf.set_option(boost::asio::socket_base::receive_buffer_size(4 * 1024));
  write(deaf, kGet);
  REQUIRE(runUntil([&] { return handler.requests.size() == 1; }));
  Response response;
  response.result(200);
  response.body() = std::string(2 * kMemory, 'x');
  server.respond(handler.ids.front(), std::move(response));
  CHECK(memory.used() > kMemory);
  // Requests without a body are served meanwhile.
  handler.answers = true;
  auto socket = connect();
  write(socket, kGet);
  CHECK(readUntil(socket, "/").starts_with("HTTP/1.1 200"));
  CHECK(runUntil([&] { return server.connections() == 1; }));
  CHECK(memory.used() == 0);
}

// Guards against an address that nobody can reach any more while silent connections fill it.
TEST_CASE("at the limit of connections one without a request makes room for a new one", "[web][overload]") {
  constexpr std::size_t kConnections = 4;
  ServerFixture fixture(ServerFixture::kUnlimited, kConnections);
  auto used = fixture.connect();
  ServerFixture::write(used, kGet);
  CHECK(fixture.readUntil(used, "/").starts_with("HTTP/1.1 200"));
  std::vector<ServerFixture::Socket> silent;
  for (std::size_t count = 0; count < 2 * kConnections; ++count) {
    silent.push_back(fixture.connect());
    fixture.settle();
  }
  CHECK(fixture.server.connections() == kConnections);
  auto late = fixture.connect();
  ServerFixture::write(late, kGet);
  CHECK(fixture.readUntil(late, "/").starts_with("HTTP/1.1 200"));
  ServerFixture::write(used, kGet);
  CHECK(fixture.readUntil(used, "/").starts_with("HTTP/1.1 200"));
}

// Guards against a readiness address that is filled by connections which were used once and then rest.
TEST_CASE("where no connections are kept, the one that has rested longest makes room", "[web][overload]") {
  constexpr std::size_t kConnections = 4;
  ServerFixture fixture(ServerFixture::kUnlimited, kConnections, true);
  std::vector<ServerFixture::Socket> resting;
  for (std::size_t count = 0; count < 2 * kConnections; ++count) {
    resting.push_back(fixture.connect());
    ServerFixture::write(resting.back(), kGet);
    CHECK(fixture.readUntil(resting.back(), "/").starts_with("HTTP/1.1 200"));
  }
  CHECK(fixture.server.connections() == kConnections);
}

// Guards against callers who are told to come back with a body that can never be held.
TEST_CASE_METHOD(OverloadFixture, "a body larger than the memory for clients is refused for good",
                 "[web][overload]") {
  auto socket = connect();
  write(socket, postHead(kMemory) + "x");
  CHECK(readAll(socket).starts_with("HTTP/1.1 413"));
}

}  // namespace cometstand::web
