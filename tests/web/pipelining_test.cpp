// Requests that a caller sends before it has its answers, over real sockets.
#include <catch2/catch.hpp>
#include <random>

#include "server_fixture.h"

namespace cometstand::web {
namespace {

std::string get(const std::string& target, const std::string& fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// @return the places of the texts in the whole one, which must hold all of them.
std::vector<std::size_t> placesOf(const std::string& whole, const std::vector<std::string>& texts) {
  std::vector<std::size_t> places;
  for (const auto& text : texts) {
    places.push_back(whole.find(text));
    REQUIRE(places.back() != std::string::npos);
  }
  return places;
}

struct PipeliningFixture : ServerFixture {
  PipeliningFixture() { handler.answers = false; }
  bool awaitRequests(std::size_t count) {
    return runUntil([&] { return handler.requests.size() >= count; });
  }
};

}  // namespace

TEST_CASE_METHOD(PipeliningFixture, "requests sent together run together and are answered in their order",
                 "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + get("/two") + get("/three"));
  REQUIRE(awaitRequests(3));
  handler.echo(2);
  handler.echo(1);
  settle();
  CHECK(socket.available() == 0);
  handler.echo(0);
  const auto text = readUntil(socket, "/three");
  const auto places = placesOf(text, {"/one", "/two", "/three"});
  CHECK(std::is_sorted(places.begin(), places.end()));
}

TEST_CASE_METHOD(PipeliningFixture, "an answer twice for one request is sent once", "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + get("/two"));
  REQUIRE(awaitRequests(2));
  handler.echo(1);
  handler.echo(1);
  handler.echo(0);
  handler.echo(0);
  settle();
  CHECK(readUntil(socket, "/two").find("/one") != std::string::npos);
  settle();
  CHECK(socket.available() == 0);
}

TEST_CASE_METHOD(PipeliningFixture, "a request that may not be repeated waits for the answers before it",
                 "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + post("/two", "body") + get("/three"));
  REQUIRE(awaitRequests(1));
  settle();
  CHECK(handler.requests.size() == 1);
  handler.echo(0);
  REQUIRE(awaitRequests(2));
  settle();
  CHECK(handler.requests.size() == 2);
  CHECK(bodyText(handler.requests[1]) == "body");
  handler.echo(1);
  REQUIRE(awaitRequests(3));
  handler.echo(2);
  placesOf(readUntil(socket, "/three"), {"/one", "/two", "/three"});
}

TEST_CASE_METHOD(PipeliningFixture, "a caller who leaves gives up all of its requests", "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + get("/two") + get("/three"));
  REQUIRE(awaitRequests(3));
  handler.echo(1);
  socket.close();
  REQUIRE(runUntil([&] { return handler.gone.size() >= 2; }));
  settle();
  CHECK(handler.gone == std::vector<ExchangeId>{handler.ids[0], handler.ids[2]});
}

TEST_CASE_METHOD(PipeliningFixture, "requests in flight on one connection are bounded", "[web][pipelining]") {
  auto socket = connect();
  constexpr std::size_t kSent = 100;
  std::string bytes;
  for (std::size_t number = 0; number < kSent; ++number) bytes += get("/" + std::to_string(number));
  write(socket, bytes);
  REQUIRE(awaitRequests(32));
  settle();
  CHECK(handler.requests.size() == 32);
  handler.answers = true;
  for (std::size_t place = 0; place < 32; ++place) handler.echo(place);
  REQUIRE(awaitRequests(kSent));
  CHECK(handler.requests.back().target() == "/99");
}

TEST_CASE_METHOD(PipeliningFixture, "a request to close is the last one that is read", "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + get("/two", "Connection: close\r\n") + get("/three"));
  REQUIRE(awaitRequests(2));
  settle();
  CHECK(handler.requests.size() == 2);
  handler.echo(1);
  handler.echo(0);
  const auto text = readAll(socket);
  placesOf(text, {"/one", "/two"});
  CHECK(text.find("/three") == std::string::npos);
}

TEST_CASE_METHOD(PipeliningFixture,
                 "broken bytes behind requests are refused in their turn, and end the connection",
                 "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + "nonsense\r\n\r\n" + get("/three"));
  REQUIRE(awaitRequests(1));
  settle();
  CHECK(socket.available() == 0);
  handler.echo(0);
  const auto text = readAll(socket);
  const auto places = placesOf(text, {"/one", "HTTP/1.1 400"});
  CHECK(std::is_sorted(places.begin(), places.end()));
  CHECK(handler.requests.size() == 1);
}

// What users saw: under planned stops alone, some five requests for each stop ended with their connection
// closed and no answer, where callers send requests ahead.
//
// Order of events: a caller had sent three requests at once. The stop began when one of them was read. Its
// answer closed the connection, and what had come behind it was thrown away unread.
//
// Cause: a stop took no request any more while another one was under way on its connection, and closed with
// the answer to that one, though the caller could not know of the stop before it had that answer.
//
// Evidence: 171 stops on a day of stops alone cut 1,195 requests without an answer; only the callers of one
// route send ahead there. On a deployment whose callers do not, four stops cut none, and in the log of every
// connection's end no request that had been read was without an answer.
TEST_CASE_METHOD(PipeliningFixture, "a planned stop answers what its caller sent before it could know of it",
                 "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + get("/two"));
  REQUIRE(awaitRequests(2));
  server.beginStop();
  write(socket, get("/three"));
  REQUIRE(awaitRequests(3));
  handler.echo(0);
  handler.echo(1);
  handler.echo(2);
  const auto text = readAll(socket);
  const auto places = placesOf(text, {"/one", "/two", "/three"});
  CHECK(std::is_sorted(places.begin(), places.end()));
  // The last answer closes the connection, and no other one.
  const auto close = text.find("Connection: close");
  CHECK(close != std::string::npos);
  CHECK(close > text.find("/two"));
}

TEST_CASE_METHOD(PipeliningFixture,
                 "a request that may not run beside others is answered in a planned stop, too",
                 "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one") + "POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(awaitRequests(1));
  server.beginStop();
  handler.echo(0);
  REQUIRE(awaitRequests(2));
  handler.echo(1);
  const auto text = readAll(socket);
  placesOf(text, {"/one", "/two"});
  CHECK(text.find("Connection: close") > text.find("/one"));
}

TEST_CASE_METHOD(PipeliningFixture, "a caller that always sends ahead does not hold a planned stop up",
                 "[web][pipelining]") {
  auto socket = connect();
  write(socket, get("/one"));
  REQUIRE(awaitRequests(1));
  server.beginStop();
  // Longer than callers that send ahead are read.
  io.run_for(std::chrono::milliseconds(1'100));
  write(socket, get("/two"));
  settle();
  CHECK(handler.requests.size() == 1);
  handler.echo(0);
  const auto text = readAll(socket);
  CHECK(text.find("Connection: close") != std::string::npos);
  CHECK(text.find("/two") == std::string::npos);
}

TEST_CASE_METHOD(PipeliningFixture, "a header and a body in the middle may come in any pieces",
                 "[web][pipelining]") {
  handler.answers = true;
  const std::string bytes = get("/one") + post("/two", std::string(300, 'x')) + get("/three") + get("/four");
  std::mt19937 random(GENERATE(1, 2, 3, 4, 5));
  auto socket = connect();
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t length = 1 + random() % 60;
    write(socket, bytes.substr(at, length));
    at += length;
    io.run_one_for(std::chrono::milliseconds(1));
  }
  placesOf(readUntil(socket, "/four"), {"/one", "/two", "/three", "/four"});
  CHECK(handler.requests[1].body().size() == 300);
}

TEST_CASE_METHOD(PipeliningFixture, "mutated bytes never bring more answers than requests",
                 "[web][pipelining][fuzz]") {
  handler.answers = true;
  const std::string valid = get("/one") + post("/two", "some bytes") + get("/three", "X: y\r\n");
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = valid;
    for (unsigned change = 0; change < 1 + random() % 4; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
    }
    bytes.resize(random() % 3 == 0 ? random() % bytes.size() : bytes.size());
    handler.requests.clear();
    handler.ids.clear();
    auto socket = connect();
    write(socket, bytes);
    socket.shutdown(ServerFixture::Socket::shutdown_send);
    const auto text = readAll(socket);
    std::size_t answers = 0;
    for (auto at = text.find("HTTP/1.1 "); at != std::string::npos; at = text.find("HTTP/1.1 ", at + 1))
      ++answers;
    INFO("seed " << seed);
    CHECK(answers <= handler.requests.size() + 1);
  }
}

TEST_CASE_METHOD(PipeliningFixture, "an upload that is told to go on is read whole", "[web][pipelining]") {
  handler.answers = true;
  auto socket = connect();
  write(socket, "POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
  CHECK(readUntil(socket, "\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  write(socket, "body");
  readUntil(socket, "/one");
  CHECK(bodyText(handler.requests.front()) == "body");
}

}  // namespace cometstand::web
