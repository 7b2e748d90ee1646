// Answers that are handed to the server in parts, over real sockets.
#include <catch2/catch.hpp>

#include "server_fixture.h"

namespace cometstand::web {
namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

struct PartsFixture : ServerFixture {
  PartsFixture() { handler.answers = false; }

  void begin(std::size_t place, const std::string& bytes) {
    Response response;
    response.result(200);
    response.body() = bytes;
    server.beginResponse(handler.ids.at(place), std::move(response));
  }
  void proceed(std::size_t place, const std::string& bytes, PartEnd end) {
    server.continueResponse(handler.ids.at(place), bytes, end);
  }
  bool awaitRequests(std::size_t count) {
    return runUntil([&] { return handler.requests.size() >= count; });
  }
};

}  // namespace

TEST_CASE_METHOD(PartsFixture, "an answer goes out in parts, and the connection is used again", "[web]") {
  auto socket = connect();
  write(socket, kGet);
  REQUIRE(awaitRequests(1));
  begin(0, "first ");
  const auto head = readUntil(socket, "6\r\nfirst \r\n");
  CHECK(head.find("Transfer-Encoding: chunked\r\n") != std::string::npos);
  proceed(0, "second ", PartEnd::More);
  CHECK(readUntil(socket, "second \r\n") == "7\r\nsecond \r\n");
  proceed(0, "third", PartEnd::Last);
  CHECK(readUntil(socket, "0\r\n\r\n") == "5\r\nthird\r\n0\r\n\r\n");
  CHECK(handler.body_written == 13);
  write(socket, kGet);
  REQUIRE(awaitRequests(2));
  handler.echo(1);
  CHECK(readUntil(socket, "/a").ends_with("/a"));
  CHECK(handler.gone.empty());
}

TEST_CASE_METHOD(PartsFixture, "an answer that breaks off does not end as a whole one", "[web]") {
  auto socket = connect();
  write(socket, kGet + kGet);
  REQUIRE(awaitRequests(2));
  begin(0, "first ");
  readUntil(socket, "first \r\n");
  proceed(0, "", PartEnd::Broken);
  CHECK(readAll(socket).empty());
  // The one behind it has no answer; the broken one's handler knows.
  CHECK(handler.gone == std::vector<ExchangeId>{handler.ids[1]});
}

// Guards against a handler that is called back from within its own call and loses what it works on.
TEST_CASE_METHOD(PartsFixture, "an answer behind one that broke off does not call its handler back at once",
                 "[web]") {
  auto socket = connect();
  write(socket, kGet + kGet + kGet);
  REQUIRE(awaitRequests(3));
  begin(0, "first ");
  readUntil(socket, "first \r\n");
  proceed(0, "", PartEnd::Broken);
  handler.echo(1);
  CHECK(handler.gone.empty());
  CHECK(readAll(socket).empty());
  CHECK(handler.gone == std::vector<ExchangeId>{handler.ids[2]});
  CHECK_FALSE(handler.gone_while_responding);
}

TEST_CASE_METHOD(PartsFixture, "parts of a later request wait until the answer before them is sent",
                 "[web]") {
  auto socket = connect();
  write(socket, kGet + kGet);
  REQUIRE(awaitRequests(2));
  begin(1, "late ");
  proceed(1, "part", PartEnd::More);
  settle();
  CHECK(socket.available() == 0);
  CHECK(handler.body_written == 0);
  handler.echo(0);
  const auto text = readUntil(socket, "late part\r\n");
  CHECK(text.find("/a") < text.find("late part"));
  CHECK(runUntil([&] { return handler.body_written == 9; }));
}

TEST_CASE_METHOD(PartsFixture, "a caller that does not read holds the next parts back", "[web]") {
  auto socket = connect();
  write(socket, kGet);
  REQUIRE(awaitRequests(1));
  // More than the system takes for a connection.
  const std::string large(32 * 1024 * 1024, 'x');
  begin(0, large);
  settle();
  CHECK(handler.body_written == 0);
  boost::system::error_code ignored;
  socket.close(ignored);
  CHECK(runUntil([&] { return !handler.gone.empty(); }));
}

TEST_CASE_METHOD(PartsFixture, "a caller who leaves between two parts is noticed", "[web]") {
  auto socket = connect();
  write(socket, kGet);
  REQUIRE(awaitRequests(1));
  begin(0, "first ");
  readUntil(socket, "first \r\n");
  socket.close();
  CHECK(runUntil([&] { return !handler.gone.empty(); }));
  proceed(0, "second", PartEnd::Last);
  settle();
}

}  // namespace cometstand::web
