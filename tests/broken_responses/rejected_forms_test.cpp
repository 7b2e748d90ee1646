// Broken responses that no caller may get, and unusual ones that are whole, by the platform's programs as
// real processes.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "broken_responses/response_forms.h"

namespace cometstand::platform {
namespace {

using rehearsal::Pause;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptEnd;
using rehearsal::SendBytes;
using std::chrono::milliseconds;
using std::string_literals::operator""s;

constexpr unsigned kOk = 200;
constexpr std::size_t kOrdinaryRequests = 60;
constexpr std::size_t kRepeatedRequests = 4;

/// @return a script that answers before it reads the request's body.
ScriptMaker respondEarly(const std::string& rest, ScriptEnd end) {
  return [rest, end](const std::string& id) {
    return ResponseScript{{SendBytes{openResponseHead(kOkLine, id) + rest}, Pause{milliseconds(50)}}, end};
  };
}

/// Checks the form once with an orderly close and once with a reset behind its bytes.
void checkRejectedAtBothEnds(FaultyMesh& mesh, const std::string& name, const std::string& rest) {
  mesh.checkRejected({name + ", closed", respondWith(kOkLine, rest, ScriptEnd::HalfClose)});
  mesh.checkRejected({name + ", reset", respondWith(kOkLine, rest, ScriptEnd::Reset)});
}

}  // namespace

// Guards against lines that are no status line.
TEST_CASE("a response without a proper status line does not reach the caller", "[rejected][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  const std::vector<std::string> lines{
      "HTTP/1.1 20 OK",          "HTTP/1.1 2000 OK",  "HTTP/1.1 2x0 OK", "HTTP/1.1  OK",    "HTTP/1.1 -20 OK",
      "HTTP/2.0 200 OK",         "HTTP/1.2 200 OK",   "HTTP/0.9 200 OK", "http/1.1 200 OK", "ICY 200 OK",
      "\x01\x02HTTP/1.1 200 OK", "  HTTP/1.1 200 OK", "HTTP/1.1\t200 OK"};
  for (const auto& line : lines)
    mesh.checkRejected({line, respondWith(line, kServedRest, ScriptEnd::HalfClose)});
}

// Guards against callers who get a line that is no field, or a body that is not the target's.
TEST_CASE("a response whose head has broken fields does not reach the caller", "[rejected][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  const std::vector<std::string> fields{
      "Na me: x", "Na\tme: x", "Na\0me: x"s, "Na\x01me: x", "Na\x7Fme: x", "Na\rme: x",    "Na\nme: x",
      ": x",      "no colon",  "Name : x",   "Name\t: x",   "Name: a\0b"s, "Name: a\001b", "Name: a\177b"};
  for (const auto& field : fields) {
    mesh.checkRejected(
        {fmt::format("{} in the midst", field),
         respondWith(kOkLine, fmt::format("{}\r\n{}", field, kServedRest), ScriptEnd::HalfClose)});
    const auto first = fmt::format("{}\r\n{}\r\nRequest-Id: {{id}}\r\n{}", kOkLine, field, kServedRest);
    mesh.checkRejected({fmt::format("{} as the first line", field), respondRaw(first, ScriptEnd::HalfClose)});
  }
}

// Guards against bodies that end where the target did not end them.
TEST_CASE("a response whose length is not clear does not reach the caller", "[rejected][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  const std::vector<std::string> lengths{"Content-Length: 6\r\nContent-Length: 5\r\n",
                                         "Content-Length: 6, 5\r\n",
                                         "Content-Length: +6\r\n",
                                         "Content-Length: -6\r\n",
                                         "Content-Length: 99999999999999999999999\r\n",
                                         "Content-Length: 6x\r\n",
                                         "Content-Length: \r\n",
                                         "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n"};
  for (const auto& length : lengths)
    mesh.checkRejected({length, respondWith(kOkLine, length + "\r\nserved", ScriptEnd::HalfClose)});
}

// Guards against chunks that are none (RFC 9112, section 7.1).
TEST_CASE("a response with broken chunks does not reach the caller", "[rejected][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  const std::vector<std::string> bodies{"x\r\nserved\r\n0\r\n\r\n",
                                        "-6\r\nserved\r\n0\r\n\r\n",
                                        "6\nserved\r\n0\r\n\r\n",
                                        "6\r\nservedX\r\n0\r\n\r\n",
                                        "7\r\nserved\r\n0\r\n\r\n",
                                        "fffffffffffffffff\r\nserved\r\n0\r\n\r\n",
                                        "6\r\nserved\r\n",
                                        "6\r\nserved\r\n0\r\n",
                                        "6\r\nserved\r\n0\r\nno trailer\r\n\r\n",
                                        "\r\n6\r\nserved\r\n0\r\n\r\n"};
  for (const auto& body : bodies)
    checkRejectedAtBothEnds(mesh, "chunks " + body, "Transfer-Encoding: chunked\r\n\r\n" + body);
}

// Guards against callers who get 200 and an empty or short body for a response that ended in its head.
TEST_CASE("a response that is cut in its head or its body does not look whole", "[rejected][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  const std::vector<std::string> heads{"HTTP/1.1",
                                       "HTTP/1.1 200 OK",
                                       "HTTP/1.1 200 OK\r\n",
                                       "HTTP/1.1 200 OK\r\nRequest-Id: {id}",
                                       "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n",
                                       "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Len",
                                       "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 6\r\n",
                                       "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 6\r\n\r"};
  for (const auto& head : heads) {
    for (const auto end : {ScriptEnd::HalfClose, ScriptEnd::Close, ScriptEnd::Reset})
      mesh.checkRejected({fmt::format("{} and end {}", head, static_cast<int>(end)), respondRaw(head, end)});
  }
  checkRejectedAtBothEnds(mesh, "a body of 3 of 6 bytes", "Content-Length: 6\r\n\r\nser");
  checkRejectedAtBothEnds(mesh, "no body of 6 bytes", "Content-Length: 6\r\n\r\n");
  checkRejectedAtBothEnds(mesh, "a cut chunk", "Transfer-Encoding: chunked\r\n\r\n6\r\nser");
  mesh.checkRejected({"no length, reset", respondWith(kOkLine, "\r\nser", ScriptEnd::Reset)});
  for (const auto end : {ScriptEnd::HalfClose, ScriptEnd::Reset}) {
    mesh.checkRejected(
        {"early, cut in its length", respondEarly("Content-Length: 6\r\n\r\nser", end), largeUpload()});
    mesh.checkRejected({"early, cut in its chunks",
                        respondEarly("Transfer-Encoding: chunked\r\n\r\n6\r\nser", end), largeUpload()});
  }
  mesh.checkRejected({"a 503 with Not-Executed that is cut",
                      respondWith("HTTP/1.1 503 Full\r\nNot-Executed: full", "Content-Length: 6\r\n\r\nser",
                                  ScriptEnd::HalfClose)});
}

// Guards against bytes that are no response at all.
TEST_CASE("bytes that are no response do not reach the caller", "[rejected][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  const std::vector<std::string> texts{"nonsense",
                                       "\r\n\r\n",
                                       std::string(1'000, '\0'),
                                       "GET / HTTP/1.1\r\n\r\n",
                                       "200 OK\r\n\r\n",
                                       "\x16\x03\x01\x02\x00\x01"s};
  for (const auto& text : texts) {
    mesh.checkRejected({text + ", kept", respondRaw(text)});
    mesh.checkRejected({text + ", closed", respondRaw(text, ScriptEnd::HalfClose)});
  }
}

// Guards against checks that reject what targets may send.
TEST_CASE("unusual responses that are whole are served as sent", "[served][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  mesh.checkServed({"no length, closed", respondWith(kOkLine, "\r\nserved", ScriptEnd::HalfClose)}, kOk,
                   kServedBody);
  mesh.checkServed({"no length, HTTP/1.0", respondWith("HTTP/1.0 200 OK", "\r\nserved", ScriptEnd::Close)},
                   kOk, kServedBody);
  mesh.checkServed({"chunks with extensions", respondWith(kOkLine,
                                                          "Transfer-Encoding: chunked\r\n\r\n"
                                                          "3;a=b;c=\"d\"\r\nser\r\n3;e\r\nved\r\n0\r\n\r\n")},
                   kOk, kServedBody);
  mesh.checkServed({"a trailer", respondWith(kOkLine,
                                             "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n"
                                             "6\r\nserved\r\n0\r\nSum: 1\r\n\r\n")},
                   kOk, kServedBody);
  mesh.checkServed({"a second response behind the first",
                    respondWith(kOkLine, kServedRest + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")},
                   kOk, kServedBody);
  mesh.checkServed({"early, with a length, kept", respondEarly(kServedRest, ScriptEnd::Keep), largeUpload()},
                   kOk, kServedBody);
  mesh.checkServed(
      {"early, with a length, closed", respondEarly(kServedRest, ScriptEnd::HalfClose), largeUpload()}, kOk,
      kServedBody);
  mesh.checkServed(
      {"early, without a length, closed", respondEarly("\r\nserved", ScriptEnd::HalfClose), largeUpload()},
      kOk, kServedBody);
  mesh.checkServed({"to HEAD, with the length of a body",
                    respondWith(kOkLine, "Content-Length: 6\r\n\r\n"),
                    {.method = "HEAD"}},
                   kOk, "");
  mesh.checkServed({"599", respondWith("HTTP/1.1 599 Own", kServedRest)}, 599, kServedBody);
}

// Guards against requests that fail although another target would have served them.
TEST_CASE("a request that may be repeated is served by another target", "[served][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  const std::vector<std::string> responses{
      "HTTP/1.1 000 X\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: gzip\r\n\r\nabc",
      "HTTP/1.1 101 X\r\nRequest-Id: {id}\r\n\r\n", "nonsense\r\n\r\n"};
  for (std::size_t form = 0; form < responses.size(); ++form) {
    const auto path = fmt::format("/one-faulty-{}", form);
    mesh.targets().answerBy(0, path, respondRaw(responses.at(form), ScriptEnd::HalfClose));
    // They fill the budget of retries.
    for (std::size_t request = 0; request < kOrdinaryRequests; ++request) mesh.mesh().call(0);
    for (std::size_t request = 0; request < kRepeatedRequests; ++request) {
      RawCaller caller(mesh.mesh().callerEndpoint(0), fmt::format("repeated-{}-{}", form, request));
      const auto response = caller.ask({path});
      INFO(responses.at(form));
      REQUIRE(response.has_value());
      CHECK(response->result_int() == kOk);
      CHECK(response->count(kSeal) == 1);
    }
  }
}

}  // namespace cometstand::platform
