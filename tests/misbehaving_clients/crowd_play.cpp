#include "misbehaving_clients/crowd_play.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

#include "misbehaving_clients/client_crowd.h"
#include "misbehaving_clients/memory_watch.h"
#include "platform/names.h"
#include "platform_processes/environment_number.h"
#include "rehearsal/fleet/http_client.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

constexpr std::uint64_t kDefaultMilliseconds = 1'500;
/// Time for what the clients left to be given back, and then for ordinary requests in calm.
constexpr Duration kRecoveryTime = std::chrono::milliseconds(1'000);
constexpr Duration kCalmTime = std::chrono::milliseconds(1'000);
constexpr Duration kReadinessInterval = std::chrono::milliseconds(100);
/// The platform asks once a second, and takes a node out after two questions without an answer.
constexpr Duration kReadinessTime = std::chrono::seconds(1);
constexpr unsigned kMaxMisses = 1;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
/// Ordinary requests are still served: nearly all where no client misbehaves, most of them beside the
/// clients.
constexpr double kLeastElsewhere = 0.95;
constexpr double kLeastPressed = 0.5;
constexpr std::size_t kMebibyte = 1024 * 1024;

std::string nameOf(const CrowdPlan& plan) {
  if (plan.kinds.size() == 1 && plan.addresses.size() == 1)
    return fmt::format("{} at {}", plan.kinds.front().name, plan.addresses.front().name);
  return fmt::format("{} kinds at {} addresses", plan.kinds.size(), plan.addresses.size());
}

bool isPressed(const CrowdPlan& plan, std::size_t sidecar) {
  return std::find(plan.pressed_sidecars.begin(), plan.pressed_sidecars.end(), sidecar) !=
         plan.pressed_sidecars.end();
}

}  // namespace

bool CrowdPlay::askReadiness(Duration time) {
  const TimePoint end = SteadyClock::now() + time;
  // Without a configuration no sidecar is ready; it says so in time.
  const unsigned expected = callers_ != nullptr ? kOk : kUnavailable;
  std::vector<unsigned> misses(mesh_.sidecarCount());
  bool is_timely = true;
  while (SteadyClock::now() < end) {
    for (std::size_t sidecar = 0; sidecar < mesh_.sidecarCount(); ++sidecar) {
      const TimePoint asked_at = SteadyClock::now();
      const auto answer =
          rehearsal::askOverHttp(mesh_.readyEndpoint(sidecar), {"GET", "", kReadinessPath, "", {}});
      const bool is_answered =
          answer.has_value() && answer->status == expected && SteadyClock::now() - asked_at < kReadinessTime;
      misses.at(sidecar) = is_answered ? 0 : misses.at(sidecar) + 1;
      if (misses.at(sidecar) <= kMaxMisses) continue;
      is_timely = false;
      fmt::print("sidecar {}: {} questions missed, the last one answered {} after {} ms\n", sidecar + 1,
                 misses.at(sidecar), answer.has_value() ? answer->status : 0,
                 ceilMilliseconds(SteadyClock::now() - asked_at));
    }
    rehearsal::pauseFor(kReadinessInterval);
  }
  return is_timely;
}

void CrowdPlay::countAnew() {
  if (callers_ != nullptr) callers_->reset();
}

std::string CrowdPlay::sharesText() const {
  std::string text;
  if (callers_ == nullptr) return " nobody";
  for (std::size_t sidecar = 0; sidecar < mesh_.sidecarCount(); ++sidecar)
    text += fmt::format(" {:.2f}", callers_->countOf(sidecar).share());
  return text;
}

void CrowdPlay::checkShares(const CrowdPlan& plan, const char* phase, double least_pressed) {
  if (callers_ == nullptr) return;
  for (std::size_t sidecar = 0; sidecar < mesh_.sidecarCount(); ++sidecar) {
    const auto count = callers_->countOf(sidecar);
    const double least = isPressed(plan, sidecar) ? least_pressed : kLeastElsewhere;
    INFO(fmt::format("{}, {}: sidecar {} served {} of {}", nameOf(plan), phase, sidecar + 1, count.served,
                     count.ended));
    CHECK(count.ended > 0);
    CHECK(count.share() >= least);
  }
}

void CrowdPlay::run(const CrowdPlan& plan) {
  std::vector<WatchedProcess> processes;
  for (const auto& process : mesh_.processes()) {
    const bool is_sidecar = process.name.starts_with("sidecar");
    processes.push_back(
        {process.name, process.id, process.host, is_sidecar ? machines_.sidecar : machines_.store});
  }
  MemoryWatch watch(processes);
  const Duration time = plan.time > Duration::zero()
                            ? plan.time
                            : std::chrono::milliseconds(numberFromEnvironment(
                                  "COMETSTAND_CLIENT_MILLISECONDS", kDefaultMilliseconds));
  countAnew();
  bool is_timely = true;
  std::size_t connected = 0;
  {
    const ClientCrowd crowd(plan.kinds, plan.addresses);
    is_timely = askReadiness(time);
    connected = crowd.connected();
  }
  std::string memory;
  for (const auto& process : processes) {
    const auto peak = watch.peakOf(process.name);
    memory += fmt::format(" {} {}/{}", process.name, peak.resident / kMebibyte, peak.with_queues / kMebibyte);
  }
  fmt::print("{}: {} connections; MiB:{}; served:{}\n", nameOf(plan), connected, memory, sharesText());
  std::fflush(stdout);
  INFO(nameOf(plan));
  for (const auto& line : watch.exceeded()) FAIL_CHECK(line);
  CHECK(is_timely);
  checkShares(plan, "beside them", kLeastPressed);
  restartEnded();
  rehearsal::pauseFor(kRecoveryTime);
  countAnew();
  rehearsal::pauseFor(kCalmTime);
  checkShares(plan, "in calm", kLeastElsewhere);
}

void CrowdPlay::restartEnded() {
  for (std::size_t sidecar = 0; sidecar < mesh_.sidecarCount(); ++sidecar) {
    const bool runs = mesh_.runsSidecar(sidecar);
    INFO("sidecar " << sidecar + 1);
    CHECK(runs);
    if (!runs) mesh_.restartSidecar(sidecar);
  }
  for (std::size_t store = 0; store < PlatformMesh::kStores; ++store) {
    const bool runs = mesh_.isStoreAlive(store);
    INFO("store " << store + 1);
    CHECK(runs);
    if (!runs) mesh_.startStoreAgain(store);
  }
}

}  // namespace cometstand::platform
