// Evacuation of a zone and its way back, by the platform's programs as real processes.
#include <catch2/catch.hpp>
#include <thread>

#include "base/event_log.h"
#include "platform/names.h"
#include "platform_processes/platform_mesh.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

using rehearsal::HttpQuestion;
using rehearsal::waitUntil;

constexpr unsigned kOk = 200;
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr unsigned kRedirect = 307;
constexpr unsigned kBadRequest = 400;
/// The zone that is evacuated.
constexpr std::size_t kZone = 0;
/// Nothing arrives in an evacuated zone this long after the order was taken.
constexpr Duration kEvacuationBound = std::chrono::seconds(5);
/// Requests a second that a cold target bears, as in the configuration below.
constexpr std::size_t kColdRate = 14;
/// That rate times the default of sidecar.cold_overshoot, plus that of sidecar.cold_slack.
constexpr std::size_t kColdBound = 29;
/// Of a target that is warm again while callers press; each second.
constexpr std::size_t kWarmRate = 2 * kColdBound;
/// Enough that a sidecar that still sent to the evacuated zone would show.
constexpr int kCalls = 30;

constexpr const char* kConfiguration = R"({"version":"r1",
  "routes":{"all":{"host":"shop.example","path_prefix":"/","kind":"safe","timeout_s":8,"aim_s":1,
                   "priority":1,"service":"shop","max_attempts":2}},
  "services":{"shop":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,
                      "cold_per_s":14,"cold_start_s":3}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";

HttpQuestion evacuation(const char* path, const std::string& zone) {
  return {"POST", "", path + zone, "", {}};
}

void configure(PlatformMesh& mesh) {
  const HttpQuestion put{"POST", "", kConfigPutPath, kConfiguration, {{kBaseVersion, "0"}}};
  REQUIRE(mesh.order(put) == kOk);
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    mesh.target(zone).waitForHeartbeat();
    mesh.waitForReadiness(zone);
  }
}

/// Both zones' callers are answered by their targets, wherever those are.
void checkServed(PlatformMesh& mesh) {
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    for (int call = 0; call < kCalls; ++call) CHECK(mesh.call(zone) == kOk);
  }
}

void waitForTraffic(PlatformMesh& mesh) {
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    waitUntil("the zone's target gets requests", [&] {
      mesh.call(zone);
      return !mesh.target(zone).arrivals().empty();
    });
  }
}

/// Orders it in each way that operators may.
/// @return when it was first acknowledged.
TimePoint startEvacuation(PlatformMesh& mesh) {
  const auto start = evacuation(kEvacuationStartPath, PlatformMesh::zoneName(kZone));
  CHECK(mesh.order(evacuation(kEvacuationStartPath, "nowhere")) == kBadRequest);
  CHECK(mesh.order(start) == kOk);
  const TimePoint acknowledged_at = SteadyClock::now();
  CHECK(mesh.order(start) == kOk);
  std::size_t follower = 0;
  waitUntil("a store that does not lead names the leader", [&] {
    follower = (mesh.waitForLeader() + 1) % PlatformMesh::kStores;
    return mesh.askStore(follower, start).status == kRedirect;
  });
  CHECK(mesh.order(start, follower) == kOk);
  return acknowledged_at;
}

/// All targets are cold, and their sidecars know.
void turnCold(PlatformMesh& mesh) {
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    mesh.target(zone).turnCold();
    mesh.target(zone).waitForHeartbeat();
  }
}

void checkBorneWhileCold(const StandInTarget& target) {
  CHECK(mostInWindow(target.coldArrivals(), kSecond) <= kColdBound);
  // Fewer would mean that what it bears was held back, too.
  CHECK(target.coldArrivals().size() >= kColdRate);
}

TEST_CASE("a zone is evacuated and comes back cold, as real processes", "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  PlatformMesh mesh;
  configure(mesh);
  waitForTraffic(mesh);

  const TimePoint empty_since = startEvacuation(mesh) + kEvacuationBound;
  checkServed(mesh);
  std::this_thread::sleep_until(empty_since);
  checkServed(mesh);
  CHECK(mesh.target(kZone).arrivalsSince(empty_since).empty());

  mesh.killStore(mesh.waitForLeader());
  mesh.waitForLeader();
  mesh.restartSidecar(kZone);
  mesh.waitForReadiness(kZone);
  mesh.target(kZone).waitForHeartbeat();
  checkServed(mesh);
  CHECK(mesh.target(kZone).arrivalsSince(empty_since).empty());

  turnCold(mesh);
  const Press press(mesh);
  CHECK(mesh.order(evacuation(kEvacuationEndPath, PlatformMesh::zoneName(kZone))) == kOk);
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) mesh.target(zone).warmUp();
  const TimePoint warm_at = SteadyClock::now() + kColdTime;
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    const auto& target = mesh.target(zone);
    waitUntil("the target is used fully",
              [&] { return mostInWindow(target.arrivalsSince(warm_at), kSecond) >= kWarmRate; });
    checkBorneWhileCold(target);
  }
}

}  // namespace
}  // namespace cometstand::platform
