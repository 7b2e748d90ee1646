// Broken responses to a relay's health questions, sent by a scripted server over loopback.
#include "relay/http_get.h"

#include <catch2/catch.hpp>

#include "rehearsal/standin/scripted_server.h"

namespace cometstand::relay {
namespace {

namespace asio = boost::asio;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptedServer;
using rehearsal::ScriptEnd;
using rehearsal::SendBytes;
using rehearsal::SendRepeatedly;

constexpr auto kTimeLimit = std::chrono::seconds(20);
constexpr auto kPatience = std::chrono::seconds(25);
/// Much less than the time limit: a response that can be judged is judged at once.
constexpr auto kPromptly = std::chrono::seconds(5);
constexpr std::size_t kEndlessBytes = 64 * 1024 * 1024;
const std::string kOkLine = "HTTP/1.1 200 OK\r\n";

/// @return what the relay reads from a server that answers by the script.
std::optional<std::string> bodyFrom(const ResponseScript& script) {
  asio::io_context io{1};
  const ScriptedServer server({asio::ip::address_v4::loopback(), 0},
                              [&script](const ScriptedServer::RequestHead&) { return script; });
  const auto endpoint = server.endpoint();
  std::optional<std::string> body;
  httpGet(io, {endpoint.address().to_string(), endpoint.port()}, "/", kTimeLimit,
          [&](const std::optional<std::string>& result) { body = result; });
  io.run_for(kPatience);
  return body;
}

ResponseScript respond(const std::string& bytes, ScriptEnd end = ScriptEnd::HalfClose) {
  return {{ReadBody{}, SendBytes{bytes}}, end};
}

}  // namespace

// Guards against health and machine lists that are read from something else than a whole response.
TEST_CASE("a relay reads no body from a broken response", "[relay][broken]") {
  CHECK_FALSE(bodyFrom(respond("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nup")));
  CHECK_FALSE(bodyFrom(respond(kOkLine + "Transfer-Encoding: gzip\r\n\r\nup")));
  CHECK_FALSE(bodyFrom(respond(kOkLine + "Content-Length: 3\r\n\r\nup")));
  CHECK_FALSE(bodyFrom(respond(kOkLine + "\r\nup", ScriptEnd::Reset)));
  CHECK_FALSE(bodyFrom(respond(kOkLine + "Na me: x\r\nContent-Length: 2\r\n\r\nup")));
}

TEST_CASE("a relay reads the body behind an interim response", "[relay][broken]") {
  CHECK(bodyFrom(respond("HTTP/1.1 100 Continue\r\n\r\n" + kOkLine + "Content-Length: 2\r\n\r\nup")) == "up");
}

// Guards against a relay that reads until its memory ends.
TEST_CASE("a relay gives up a chunk extension without an end", "[relay][broken]") {
  const TimePoint began = SteadyClock::now();
  const ResponseScript endless{{ReadBody{}, SendBytes{kOkLine + "Transfer-Encoding: chunked\r\n\r\n6;"},
                                SendRepeatedly{"x", kEndlessBytes}},
                               ScriptEnd::Hang};
  CHECK_FALSE(bodyFrom(endless));
  CHECK(SteadyClock::now() < began + kPromptly);
}

}  // namespace cometstand::relay
