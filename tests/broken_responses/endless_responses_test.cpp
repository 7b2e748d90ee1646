// Responses without an end, and large ones, by the platform's programs as real processes: they may not take a
// sidecar's memory or the time of others.
#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "base/event_log.h"
#include "broken_responses/response_forms.h"
#include "misbehaving_clients/memory_watch.h"
#include "misbehaving_clients/ordinary_callers.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

using rehearsal::Pause;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptEnd;
using rehearsal::SendBytes;
using rehearsal::SendRepeatedly;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kOk = 200;
constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kMebibyte = 1024 * 1024;
/// What a target sends if nobody stops it.
constexpr std::size_t kEndlessBytes = 512 * kMebibyte;
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t kAtOnce = 12;
constexpr double kLeastServed = 0.5;
constexpr double kLeastServedInCalm = 0.95;

/// @return a script that sends the beginning of a response and then `part` again and again.
ScriptMaker respondEndlessly(const std::string& rest, const std::string& part) {
  return [rest, part](const std::string& id) {
    return ResponseScript{
        {ReadBody{}, SendBytes{openResponseHead(kOkLine, id) + rest}, SendRepeatedly{part, kEndlessBytes}},
        ScriptEnd::Close};
  };
}

std::vector<WatchedProcess> watchedSidecars(PlatformMesh& mesh) {
  std::vector<WatchedProcess> watched;
  for (const auto& process : mesh.processes()) {
    if (process.name.starts_with("sidecar"))
      watched.push_back({process.name, process.id, process.host, PlatformMesh::kSidecarMemoryMb * kMegabyte});
  }
  return watched;
}

/// Checks, by Catch, that all sidecars run and none has passed its machine's memory.
void checkMemory(FaultyMesh& mesh, const MemoryWatch& watch, const std::string& name) {
  std::string peaks;
  for (const auto& process : watchedSidecars(mesh.mesh()))
    peaks += fmt::format(" {}", watch.peakOf(process.name).resident / kMebibyte);
  fmt::print("{}: MiB{}\n", name, peaks);
  INFO(name);
  for (const auto& line : watch.exceeded()) FAIL_CHECK(line);
  for (std::size_t sidecar = 0; sidecar < mesh.mesh().sidecarCount(); ++sidecar)
    CHECK(mesh.mesh().runsSidecar(sidecar));
}

void checkBounded(FaultyMesh& mesh, const ResponseForm& form) {
  const MemoryWatch watch(watchedSidecars(mesh.mesh()));
  mesh.checkRejected(form);
  checkMemory(mesh, watch, form.name);
}

/// Sends the requests at once from the sidecars in turn. @return the statuses, 0 for no response.
std::vector<unsigned> askAtOnce(PlatformMesh& mesh, const std::vector<RawRequest>& requests) {
  std::vector<unsigned> statuses(requests.size());
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < requests.size(); ++number) {
    threads.emplace_back([&, number] {
      RawCaller caller(mesh.callerEndpoint(number % mesh.sidecarCount()), fmt::format("at-once-{}", number));
      const auto response = caller.ask(requests.at(number));
      statuses.at(number) = response ? response->result_int() : 0;
    });
  }
  for (auto& thread : threads) thread.join();
  return statuses;
}

void checkServedShares(const PlatformMesh& mesh, const OrdinaryCallers& callers, double least) {
  for (std::size_t sidecar = 0; sidecar < mesh.sidecarCount(); ++sidecar) {
    const auto count = callers.countOf(sidecar);
    INFO("sidecar " << sidecar + 1 << " served " << count.served << " of " << count.ended);
    CHECK(count.ended > 0);
    CHECK(count.share() >= least);
  }
}

}  // namespace

// Guards against one response that ends a sidecar's process by its memory.
TEST_CASE("a chunk extension or a trailer section without an end is given up",
          "[endless][framing][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  checkBounded(mesh, {"a chunk extension", respondEndlessly(kChunked + "6;", "extension")});
  checkBounded(mesh, {"a chunk size of zeros", respondEndlessly(kChunked, "0")});
  checkBounded(mesh, {"a trailer of many fields", respondEndlessly(kChunked + "0\r\n", "Name: value\r\n")});
  checkBounded(mesh, {"a trailer of one value", respondEndlessly(kChunked + "0\r\nName: ", "value")});
  checkBounded(mesh, {"chunks of one byte with extensions",
                      respondEndlessly(kChunked, "1;" + std::string(20'000, 'e') + "\r\nx\r\n")});
}

// Guards against responses that hold a sidecar's memory or its slots until somebody else gives up.
TEST_CASE("a head or messages without an end before the response are given up",
          "[endless][head][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  checkBounded(mesh, {"a head", respondEndlessly("", "Name: value\r\n")});
  checkBounded(mesh, {"a value", respondEndlessly("Name: ", "value")});
  checkBounded(mesh, {"a name", respondEndlessly("", "name")});
  checkBounded(mesh, {"a reason", [](const std::string&) {
                        return ResponseScript{
                            {ReadBody{}, SendBytes{kOkLine}, SendRepeatedly{"reason", kEndlessBytes}},
                            ScriptEnd::Close};
                      }});
  checkBounded(mesh, {"interim responses", [](const std::string&) {
                        return ResponseScript{
                            {ReadBody{}, SendRepeatedly{"HTTP/1.1 102 Processing\r\n\r\n", kEndlessBytes}},
                            ScriptEnd::Close};
                      }});
  checkBounded(
      mesh, {"responses to other requests", [](const std::string&) {
               const std::string other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx";
               return ResponseScript{{ReadBody{}, SendRepeatedly{other, kEndlessBytes}}, ScriptEnd::Close};
             }});
}

// Guards against sidecars that are killed for the bodies that their targets send.
TEST_CASE("bodies without an end stay within the memory, and others are served",
          "[endless][body][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh(4);
  const std::string block(4'096, 'x');
  checkBounded(mesh, {"a body without a length", respondEndlessly("\r\n", block)});
  const std::string chunk = fmt::format("{:x}\r\n{}\r\n", block.size(), block);
  checkBounded(mesh, {"a body in chunks", respondEndlessly(kChunked, chunk)});
  mesh.targets().answerBy("/endless", respondEndlessly("\r\n", block));
  OrdinaryCallers callers(mesh.mesh());
  const MemoryWatch watch(watchedSidecars(mesh.mesh()));
  RawRequest request{"/endless"};
  request.deadline = seconds(4);
  const auto statuses = askAtOnce(mesh.mesh(), std::vector<RawRequest>(kAtOnce, request));
  for (const auto status : statuses) CHECK((status >= 500 && status < 600));
  checkMemory(mesh, watch, fmt::format("{} bodies without a length at once", kAtOnce));
  checkServedShares(mesh.mesh(), callers, kLeastServed);
  callers.reset();
  rehearsal::pauseFor(seconds(1));
  checkServedShares(mesh.mesh(), callers, kLeastServedInCalm);
}

// Guards against slots that stay taken by responses which nobody awaits any more.
TEST_CASE("responses without an end are given up once their callers have gone",
          "[endless][gone][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  mesh.targets().answerBy("/slowly-endless", [](const std::string& id) {
    ResponseScript script{{ReadBody{}, SendBytes{openResponseHead(kOkLine, id) + "\r\n"}}, ScriptEnd::Hang};
    return script;
  });
  constexpr std::size_t kAllSlots = 16;
  {
    boost::asio::io_context io;
    std::vector<boost::asio::ip::tcp::socket> sockets;
    for (std::size_t number = 0; number < kAllSlots; ++number) {
      auto& socket = sockets.emplace_back(io);
      socket.connect(mesh.mesh().callerEndpoint(number % PlatformMesh::kZones));
      boost::asio::write(
          socket,
          boost::asio::buffer(fmt::format(
              "GET /slowly-endless HTTP/1.1\r\nHost: {}\r\nRequest-Id: gone-{}\r\n\r\n", kTestHost, number)));
    }
    rehearsal::pauseFor(milliseconds(500));
    CHECK(mesh.targets().arrivals("/slowly-endless") > 0);
  }
  rehearsal::pauseFor(milliseconds(500));
  RawCaller caller(mesh.mesh().callerEndpoint(0), "after");
  CHECK(caller.isStillServed());
}

// Guards against health checks that hold memory or a connection for good.
TEST_CASE("a health check whose response does not end is given up", "[endless][health][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  mesh.targets().answerBy(kHealthPath,
                          respondEndlessly("Instance-Id: i-zone-1\r\n\r\n", std::string(4'096, 'x')));
  // A sidecar that starts beside a running target asks for its health.
  mesh.mesh().restartSidecar(0);
  const MemoryWatch watch(watchedSidecars(mesh.mesh()));
  mesh.mesh().waitForReadiness(0);
  rehearsal::pauseFor(seconds(2));
  checkMemory(mesh, watch, "health");
  RawCaller caller(mesh.mesh().callerEndpoint(0), "health");
  CHECK(caller.isStillServed());
}

// Guards against limits that reject what targets may send.
TEST_CASE("large responses come whole, several at once", "[large][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  constexpr std::size_t kLargeBytes = 8 * kMebibyte;
  RawRequest request{fmt::format("{}{}", kLargePath, kLargeBytes)};
  request.deadline = seconds(8);
  const auto statuses = askAtOnce(mesh.mesh(), std::vector<RawRequest>(8, request));
  for (const auto status : statuses) CHECK(status == kOk);
  RawCaller caller(mesh.mesh().callerEndpoint(0), "largest");
  request.path = fmt::format("{}{}", kLargePath, 60 * kMebibyte);
  const auto response = caller.ask(request);
  REQUIRE(response.has_value());
  CHECK(response->result_int() == kOk);
  CHECK(response->body().size() == 60 * kMebibyte);
}

}  // namespace cometstand::platform
