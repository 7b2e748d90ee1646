#include "mesh_soak/store_faults.h"

#include <fmt/format.h>

#include <csignal>

#include "mesh_soak/soak_operator.h"

namespace cometstand::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of a planned stop, and what a busy machine may add until the test sees its end.
constexpr Duration kStopLimit = seconds(10);
constexpr Duration kNoticeTime = seconds(4);
/// A store that starts is one of the tolerated losses for this long.
constexpr Duration kCatchUpTime = seconds(4);
constexpr Duration kMaxDownTime = milliseconds(1'500);
constexpr Duration kMaxSuspension = milliseconds(900);
constexpr Duration kMaxPause = milliseconds(500);
constexpr Duration kMaxReloadPause = milliseconds(1'000);

}  // namespace

void StoreFaults::begin(Duration time) {
  end_ = SteadyClock::now() + time;
  schedule_.after(random_.uniform(Duration::zero(), kMaxPause), [this] { injectNext(); });
  reloadOne();
}

/// No fault; it must not disturb what else is under way.
void StoreFaults::reloadOne() {
  if (SteadyClock::now() >= end_) return;
  const auto stores = running();
  mesh_.signalStore(stores.at(random_.uniform(std::uint64_t{0}, stores.size() - 1)), SIGHUP);
  schedule_.after(random_.uniform(Duration::zero(), kMaxReloadPause), [this] { reloadOne(); });
}

void StoreFaults::check() {
  for (const auto store : running()) {
    if (mesh_.isStoreAlive(store)) continue;
    const auto end = mesh_.waitForStoreEnd(store, kNoticeTime);
    // Before main() no program can keep the signal from ending it, and nothing runs there yet.
    const bool had_not_begun = end.signal == SIGHUP;
    if (!had_not_begun) {
      failures_.push_back(fmt::format("store-{} ended by itself, status {}, signal {}", store + 1,
                                      end.exit_code, end.signal));
    }
    mesh_.killStore(store);
    startAgain(store);
  }
}

std::vector<std::size_t> StoreFaults::running() const {
  std::vector<std::size_t> stores;
  for (std::size_t store = 0; store < mesh_.storeCount(); ++store) {
    if (mesh_.runsStore(store)) stores.push_back(store);
  }
  return stores;
}

void StoreFaults::injectNext() {
  if (SteadyClock::now() >= end_) return;
  const auto stores = running();
  const auto store = stores.at(random_.uniform(std::uint64_t{0}, stores.size() - 1));
  const auto last = static_cast<std::uint64_t>(Fault::AllKilled);
  auto fault = static_cast<Fault>(random_.uniform(std::uint64_t{0}, last));
  if (fault == Fault::Replaced && mesh_.storeCount() >= kMaxSoakStores) fault = Fault::Stopped;
  ++count_;
  inject(fault, store);
}

void StoreFaults::inject(Fault fault, std::size_t store) {
  switch (fault) {
    case Fault::Killed:
      mesh_.killStore(store);
      startAgain(store);
      return;
    case Fault::Stopped:
      stop(store, [this, store] { startAgain(store); });
      return;
    case Fault::DiskLost:
      mesh_.killStore(store);
      mesh_.loseStoreDisk(store);
      startAgain(store);
      return;
    case Fault::Suspended:
      mesh_.signalStore(store, SIGSTOP);
      schedule_.after(random_.uniform(Duration::zero(), kMaxSuspension), [this, store] {
        mesh_.signalStore(store, SIGCONT);
        injectNext();
      });
      return;
    case Fault::Replaced:
      replace(store);
      return;
    case Fault::AllKilled:
      for (const auto each : running()) mesh_.signalStore(each, SIGKILL);
      for (const auto each : running()) {
        mesh_.killStore(each);
        mesh_.startStoreAgain(each);
      }
      schedule_.after(kCatchUpTime, [this] { injectNext(); });
      return;
  }
}

/// The next fault follows once the store has caught up.
void StoreFaults::startAgain(std::size_t store) {
  schedule_.after(random_.uniform(Duration::zero(), kMaxDownTime), [this, store] {
    mesh_.startStoreAgain(store);
    schedule_.after(kCatchUpTime, [this] { injectNext(); });
  });
}

void StoreFaults::stop(std::size_t store, const std::function<void()>& then) {
  // Blocks: the sidecars' series go on afterwards with what became due meanwhile.
  if (!mesh_.stopStore(store, kStopLimit).clean())
    failures_.push_back(fmt::format("store-{} did not end cleanly in a planned stop", store + 1));
  then();
}

void StoreFaults::replace(std::size_t store) {
  mesh_.addStore();
  schedule_.after(kCatchUpTime, [this, store] {
    stop(store, [this, store] {
      mesh_.removeStore(store);
      injectNext();
    });
  });
}

}  // namespace cometstand::platform
