// Series of faults of sidecars, targets and stores that overlap, drawn by seed, beside callers that use their
// connections until the process is gone and an operator who changes the configuration. All programs are real
// processes. Crowds of misbehaving clients come and go meanwhile, and targets send broken responses.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <sstream>

#include "base/event_log.h"
#include "mesh_soak/client_series.h"
#include "mesh_soak/sidecar_faults.h"
#include "mesh_soak/soak_callers.h"
#include "mesh_soak/soak_configuration.h"
#include "mesh_soak/soak_operator.h"
#include "mesh_soak/store_faults.h"
#include "mesh_soak/target_faults.h"
#include "platform/names.h"
#include "platform_processes/environment_number.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

using rehearsal::pauseFor;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kOk = 200;
constexpr std::uint64_t kSeedsInCi = 2;
constexpr std::size_t kSidecarsInCi = 6;
/// Set them for a longer run by hand: the number of seeds, the first one, the sidecars, and by how much
/// longer callers pause.
constexpr const char* kSeedsVariable = "COMETSTAND_SOAK_SEEDS";
constexpr const char* kFirstSeedVariable = "COMETSTAND_SOAK_FIRST_SEED";
constexpr const char* kSidecarsVariable = "COMETSTAND_SOAK_SIDECARS";
constexpr const char* kPauseFactorVariable = "COMETSTAND_SOAK_PAUSE_FACTOR";
constexpr Duration kWorkTime = milliseconds(120);
/// In this time faults begin.
constexpr Duration kFaultTime = seconds(12);
constexpr Duration kStep = milliseconds(10);
/// Time within which callers are served again after the last fault.
constexpr Duration kRecoveryTime = seconds(15);
/// Further stores beside those that vote, for losses that follow each other.
constexpr std::size_t kSpareStores = 1;

void putFirstConfiguration(PlatformMesh& mesh) {
  const auto text = soakConfiguration(1, 0, kSmallTenants);
  REQUIRE(mesh.order({"POST", "", kConfigPutPath, text, {{kBaseVersion, "0"}}}) == kOk);
  for (std::size_t sidecar = 0; sidecar < mesh.sidecarCount(); ++sidecar) mesh.waitForReadiness(sidecar);
}

/// Fails the test with each of the lines.
void checkNone(const std::vector<std::string>& lines) {
  for (const auto& line : lines) FAIL_CHECK(line);
}

/// Fails the test with each sidecar whose callers are not served again within kRecoveryTime.
void checkAllServed(PlatformMesh& mesh, const SoakCallers& callers) {
  std::map<std::size_t, std::size_t> served;
  for (std::size_t sidecar = 0; sidecar < mesh.sidecarCount(); ++sidecar)
    served.emplace(sidecar, callers.served(sidecar));
  const auto until = SteadyClock::now() + kRecoveryTime;
  while (!served.empty() && SteadyClock::now() < until) {
    std::erase_if(served, [&](const auto& item) { return callers.served(item.first) > item.second; });
    pauseFor(kStep);
  }
  for (const auto& [sidecar, count] : served)
    FAIL_CHECK(fmt::format("callers of sidecar-{} are not served", sidecar + 1));
}

/// @return requests that ran and got no answer although the process that had taken them was not killed.
std::vector<std::string> findCutRequests(PlatformMesh& mesh, const SoakCallers& callers,
                                         const SidecarFaults& faults) {
  std::vector<std::string> cut;
  for (const auto& request : callers.unanswered()) {
    if (faults.wasKilled(request.sidecar, request.sent_at, request.ended_at)) continue;
    for (std::size_t target = 0; target < mesh.sidecarCount(); ++target) {
      if (mesh.target(target).hasRun(request.id))
        cut.push_back(fmt::format("{} of sidecar-{}", request.id, request.sidecar + 1));
    }
  }
  return cut;
}

/// What programs wrote that are no events: the reasons of their ends.
std::vector<std::string> findLastWords(const PlatformMesh& mesh) {
  std::vector<std::string> lines;
  std::istringstream logs(mesh.logs());
  for (std::string line; std::getline(logs, line);) {
    if (line.starts_with("cometstand-")) lines.push_back(line);
  }
  return lines;
}

}  // namespace

// Guards against processes that end by themselves, requests that are cut and callers that are served no more,
// after faults that overlap.
TEST_CASE("nothing that runs is cut, and no process ends by itself, in drawn series of faults that overlap",
          "[platform][processes][soak]") {
  setLogLevel(LogLevel::Warning);
  const auto first = numberFromEnvironment(kFirstSeedVariable, 1);
  const auto sidecars = numberFromEnvironment(kSidecarsVariable, kSidecarsInCi);
  const auto pause_factor = static_cast<unsigned>(numberFromEnvironment(kPauseFactorVariable, 1));
  for (std::uint64_t seed = first; seed < first + numberFromEnvironment(kSeedsVariable, kSeedsInCi); ++seed) {
    CAPTURE(seed, sidecars);
    PlatformMesh mesh(sidecars, kWorkTime, PlatformMesh::kSidecarMemoryMb, TargetAnswers::Test);
    FaultyTargets targets(mesh);
    for (std::size_t store = 0; store < kSpareStores; ++store) mesh.addStore();
    putFirstConfiguration(mesh);
    SoakCallers callers(mesh, seed, pause_factor);
    checkAllServed(mesh, callers);

    SoakOperator configurations(mesh, seed, 1);
    Schedule schedule;
    SidecarFaults sidecar_faults(mesh, schedule, seed);
    StoreFaults store_faults(mesh, schedule, seed);
    ClientSeries misbehaving(mesh, schedule, seed);
    TargetFaults target_faults(targets, schedule, sidecars, seed);
    sidecar_faults.begin(kFaultTime);
    target_faults.begin(kFaultTime);
    misbehaving.begin(kFaultTime);
    store_faults.begin(kFaultTime);
    while (!schedule.empty()) {
      schedule.runDue();
      sidecar_faults.check();
      store_faults.check();
      misbehaving.check();
      pauseFor(kStep);
    }
    checkAllServed(mesh, callers);
    configurations.stop();
    checkAllServed(mesh, callers);
    sidecar_faults.check();
    store_faults.check();
    checkNone(sidecar_faults.failures());
    checkNone(store_faults.failures());
    checkNone(misbehaving.failures());
    checkNone(findLastWords(mesh));
    checkNone(callers.wrongResponses());
    checkNone(findCutRequests(mesh, callers, sidecar_faults));
    CHECK(configurations.refusal() == 0);
    CHECK(mesh.readConfiguration().find(fmt::format("\"r{}\"", configurations.version())) !=
          std::string::npos);
    WARN(fmt::format(
        "seed {}: {} planned stops, {} kills, {} faults of stores, version {}, {} late or left, {} crowds, "
        "{} targets in trouble",
        seed, sidecar_faults.plannedStops(), sidecar_faults.kills(), store_faults.count(),
        configurations.version(), callers.lateAndLeft(), misbehaving.count(), target_faults.count()));
  }
}

}  // namespace cometstand::platform
