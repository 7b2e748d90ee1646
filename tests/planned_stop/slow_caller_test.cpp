// Planned stops of a sidecar whose caller reads slowly, with the platform's programs as real processes.
//
// What users saw: under planned stops alone, callers had their connections closed in the middle of an answer,
// one of them 1.2 s before its sidecar's stop had to be over.
//
// Order of events: the target had answered, the answer had been handed to the caller's connection, and the
// sidecar counted the request as done. 0.2 s later it ended, with the rest of the answer not written, or not
// read.
//
// Cause: a stop waited for requests, not for answers on their way to callers.
//
// Evidence: this test on the code of that time: 17.3 of 24 MB had come when the connection ended, and of four
// answers that were asked for ahead three were whole.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "planned_stop/slow_caller.h"
#include "platform/names.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {
namespace {

constexpr unsigned kOk = 200;
/// The stop's limit in these settings is the default of 6 s.
constexpr Duration kStopLimit = std::chrono::milliseconds(6'000);
/// Much more than the system's buffers take, and read in 4 s.
constexpr std::size_t kLargeAnswer = 24'000'000;
constexpr double kReadRate = 6e6;

constexpr const char* kConfiguration = R"({"version":"r1",
  "routes":{"all":{"host":"shop.example","path_prefix":"/","kind":"safe","timeout_s":8,"aim_s":1,
                   "priority":1,"service":"shop","max_attempts":2}},
  "services":{"shop":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";

void configure(PlatformMesh& mesh) {
  const rehearsal::HttpQuestion put{"POST", "", kConfigPutPath, kConfiguration, {{kBaseVersion, "0"}}};
  REQUIRE(mesh.order(put) == kOk);
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    mesh.target(zone).waitForHeartbeat();
    mesh.waitForReadiness(zone);
  }
}

}  // namespace

TEST_CASE("a planned stop ends once a slow caller has all of its answer", "[stop][processes]") {
  setLogLevel(LogLevel::Warning);
  PlatformMesh mesh;
  configure(mesh);
  SlowCaller caller(mesh.callerEndpoint(0));
  caller.ask(kLargeAnswer);
  caller.awaitFirstBytes();
  mesh.stopSidecar(0);
  caller.readToEnd(kReadRate);
  INFO("received " << caller.received() << ", reset " << caller.wasReset());
  CHECK(caller.wholeAnswers(kLargeAnswer) == 1);
  CHECK(mesh.waitForSidecarEnd(0, kStopLimit).clean());
}

TEST_CASE("requests that were read ahead are answered whole before a planned stop ends",
          "[stop][processes]") {
  setLogLevel(LogLevel::Warning);
  PlatformMesh mesh;
  configure(mesh);
  constexpr std::size_t kRequests = 4;
  SlowCaller caller(mesh.callerEndpoint(0));
  caller.ask(kLargeAnswer / kRequests, kRequests);
  caller.awaitFirstBytes();
  mesh.stopSidecar(0);
  caller.readToEnd(kReadRate);
  INFO("received " << caller.received() << ", reset " << caller.wasReset());
  CHECK(caller.wholeAnswers(kLargeAnswer / kRequests) == kRequests);
  CHECK(mesh.waitForSidecarEnd(0, kStopLimit).clean());
}

TEST_CASE("a caller that does not read holds a planned stop up no longer than its limit",
          "[stop][processes]") {
  setLogLevel(LogLevel::Warning);
  PlatformMesh mesh;
  configure(mesh);
  SlowCaller caller(mesh.callerEndpoint(0));
  caller.ask(kLargeAnswer);
  caller.awaitFirstBytes();
  mesh.stopSidecar(0);
  CHECK(mesh.waitForSidecarEnd(0, kStopLimit).clean());
}

}  // namespace cometstand::platform
