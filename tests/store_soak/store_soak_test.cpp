// Series of planned and unplanned replacements, restarts and lost disks of stores, drawn by seed, beside
// callers that keep their connections. All programs are real processes.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "platform/names.h"
#include "platform_processes/environment_number.h"
#include "platform_processes/platform_mesh.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

using rehearsal::pauseFor;
using rehearsal::waitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kOk = 200;
constexpr std::uint64_t kSeedsInCi = 2;
/// Set them for a longer run by hand: the number of seeds, and the first one.
constexpr const char* kSeedsVariable = "COMETSTAND_SOAK_SEEDS";
constexpr const char* kFirstSeedVariable = "COMETSTAND_SOAK_FIRST_SEED";
constexpr int kFaults = 6;
/// Addresses of a mesh, of which the sidecars take two.
constexpr std::size_t kMaxStores = 12;
/// A store that starts is one of the tolerated losses for this long.
constexpr Duration kCatchUpTime = seconds(4);
constexpr Duration kGraceTime = seconds(6);
constexpr Duration kMaxPause = milliseconds(1'500);
/// Time within which the configuration can be read and changed again after any of the faults.
constexpr Duration kRecoveryTime = seconds(15);

enum class Fault {
  PlannedReplacement,
  UnplannedReplacement,
  PlannedRestart,
  Killed,
  DiskLost,
  AllStoresKilled,
  AllStoresStopped,
};

/// Injects the faults of one seed. After each of them only so much is lost that the next one is tolerated.
class StoreFaults {
 public:
  StoreFaults(PlatformMesh& mesh, std::uint64_t seed) : mesh_(mesh), random_(seed) {}

  void injectNext() {
    const auto last = static_cast<std::uint64_t>(Fault::AllStoresStopped);
    auto fault = static_cast<Fault>(random_.uniform(std::uint64_t{0}, last));
    const bool has_address = mesh_.storeCount() < kMaxStores;
    if (!has_address && fault <= Fault::UnplannedReplacement) fault = Fault::PlannedRestart;
    UNSCOPED_INFO("fault " << static_cast<int>(fault) << ", version " << version_);
    inject(fault);
    reloadOne();
  }

  /// Puts the next version and requires its acknowledgement.
  void change() {
    const auto base = fmt::format("r{}", version_);
    const auto text = oneRouteConfiguration(++version_);
    REQUIRE(mesh_.order({"POST", "", kConfigPutPath, text, {{kBaseVersion, base}}}) == kOk);
  }

  void checkReadBack() {
    const auto expected = fmt::format("\"r{}\"", version_);
    const auto until = SteadyClock::now() + kRecoveryTime;
    const auto text = mesh_.readConfiguration();
    CHECK(SteadyClock::now() <= until);
    CHECK(text.find(expected) != std::string::npos);
  }

 private:
  Duration pause() { return random_.uniform(Duration::zero(), kMaxPause); }

  std::vector<std::size_t> running() const {
    std::vector<std::size_t> stores;
    for (std::size_t store = 0; store < mesh_.storeCount(); ++store) {
      if (mesh_.runsStore(store)) stores.push_back(store);
    }
    return stores;
  }

  /// @return the leader in half of the cases, else any running store.
  std::size_t pick() {
    if (random_.uniform(0, 1) == 0) return mesh_.waitForLeader();
    const auto stores = running();
    return stores.at(random_.uniform(std::uint64_t{0}, stores.size() - 1));
  }

  void stop(std::size_t store) { CHECK(mesh_.stopStore(store, kGraceTime).clean()); }

  void startAgain(std::size_t store) {
    pauseFor(pause());
    mesh_.startStoreAgain(store);
  }

  void inject(Fault fault) {
    const auto store = pick();
    switch (fault) {
      case Fault::PlannedReplacement:
        mesh_.addStore();
        pauseFor(kCatchUpTime);
        stop(store);
        mesh_.removeStore(store);
        // The replaced store no longer counts, so that the next loss may follow at once.
        loseDiskAfterChange();
        break;
      case Fault::UnplannedReplacement:
        mesh_.killStore(store);
        mesh_.removeStore(store);
        pauseFor(pause());
        mesh_.addStore();
        pauseFor(kCatchUpTime);
        loseDiskAfterChange();
        break;
      case Fault::PlannedRestart:
        stop(store);
        startAgain(store);
        break;
      case Fault::Killed:
        mesh_.killStore(store);
        startAgain(store);
        break;
      case Fault::DiskLost:
        loseDisk(store);
        break;
      case Fault::AllStoresKilled:
        restartAll(SIGKILL);
        break;
      case Fault::AllStoresStopped:
        restartAll(SIGTERM);
        break;
    }
    pauseFor(kCatchUpTime);
  }

  void loseDisk(std::size_t store) {
    mesh_.killStore(store);
    mesh_.loseStoreDisk(store);
    startAgain(store);
  }

  /// The store that acknowledged the change loses its disk.
  void loseDiskAfterChange() {
    pauseFor(pause());
    change();
    loseDisk(mesh_.waitForLeader());
  }

  void restartAll(int signal) {
    const auto stores = running();
    for (const auto store : stores) mesh_.signalStore(store, signal);
    for (const auto store : stores) {
      if (signal == SIGKILL) {
        mesh_.killStore(store);
      } else {
        stop(store);
      }
    }
    pauseFor(pause());
    for (const auto store : stores) mesh_.startStoreAgain(store);
  }

  /// SIGHUP is no fault; it must not disturb what else is under way.
  void reloadOne() {
    const auto stores = running();
    mesh_.signalStore(stores.at(random_.uniform(std::uint64_t{0}, stores.size() - 1)), SIGHUP);
  }

  PlatformMesh& mesh_;
  RandomSource random_;
  unsigned version_ = 1;
};

}  // namespace

// Guards against acknowledged configurations that are lost, or stores that serve none any more, after a
// series of faults of which each one alone is tolerated.
TEST_CASE("an acknowledged configuration outlasts drawn series of replacements, restarts and lost disks",
          "[platform][processes][soak]") {
  setLogLevel(LogLevel::Warning);
  const auto first = numberFromEnvironment(kFirstSeedVariable, 1);
  for (std::uint64_t seed = first; seed < first + numberFromEnvironment(kSeedsVariable, kSeedsInCi); ++seed) {
    CAPTURE(seed);
    PlatformMesh mesh;
    mesh.addStore();
    serveOneRoute(mesh);
    const KeptConnections callers(mesh);
    StoreFaults faults(mesh, seed);
    for (int fault = 0; fault < kFaults; ++fault) {
      faults.injectNext();
      faults.checkReadBack();
      faults.change();
      const auto answered = callers.answered();
      waitUntil(
          "callers are answered", [&] { return callers.answered() > answered; }, kRecoveryTime);
    }
  }
}

}  // namespace cometstand::platform
