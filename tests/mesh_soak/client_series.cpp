#include "mesh_soak/client_series.h"

#include <algorithm>
#include <utility>

#include "mesh_soak/soak_configuration.h"
#include "misbehaving_clients/crowd_play.h"
#include "platform/names.h"

namespace cometstand::platform {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShortestCrowd = milliseconds(300);
constexpr Duration kLongestCrowd = milliseconds(2'500);
constexpr Duration kLongestPause = milliseconds(1'000);
/// Of one crowd. Several mingle, beside all other programs of the test.
constexpr std::size_t kMaxConnections = 300;

}  // namespace

ClientSeries::ClientSeries(PlatformMesh& mesh, Schedule& schedule, std::uint64_t seed)
    : mesh_(mesh), schedule_(schedule), random_(seed), watch_(watched()) {}

void ClientSeries::begin(Duration time) {
  end_ = SteadyClock::now() + time;
  for (std::size_t series = 0; series < kOverlapping; ++series) playNext();
}

void ClientSeries::check() { watch_.follow(watched()); }

void ClientSeries::playNext() {
  if (SteadyClock::now() >= end_) return;
  ++count_;
  const std::vector<ClientKind> kinds{drawKind()};
  const std::vector<ServedAddress> addresses{drawAddress()};
  // The scheduled action is its only owner.
  auto owned = std::make_shared<ClientCrowd>(kinds, addresses);
  schedule_.after(random_.uniform(kShortestCrowd, kLongestCrowd), [this, crowd = std::move(owned)]() mutable {
    crowd.reset();
    schedule_.after(random_.uniform(Duration::zero(), kLongestPause), [this] { playNext(); });
  });
}

ClientKind ClientSeries::drawKind() {
  const auto& kinds = allClientKinds();
  ClientKind kind = kinds.at(random_.uniform(std::uint64_t{0}, kinds.size() - 1));
  kind.connections = std::min(kind.connections, kMaxConnections);
  return kind;
}

ServedAddress ClientSeries::drawAddress() {
  const auto sidecar = random_.uniform(std::uint64_t{0}, mesh_.sidecarCount() - 1);
  const auto store = random_.uniform(std::uint64_t{0}, PlatformMesh::kStores - 1);
  const std::string key = std::string("Authorization: ") + kKeyScheme + " " + kKeptKey + "\r\n";
  const std::vector<ServedAddress> addresses{
      {"outbound", mesh_.callerEndpoint(sidecar), kSoakHost, "/", "POST", key},
      {"outbound without a route", mesh_.callerEndpoint(sidecar), "nowhere.example"},
      {"ready", mesh_.readyEndpoint(sidecar), "ready", kReadinessPath},
      {"control", mesh_.controlEndpoint(sidecar), "control", std::string(kHeartbeatPath) + "i-x"},
      {"a sidecar's links", mesh_.linkEndpoint(sidecar), "link"},
      {"a store's control", mesh_.storeEndpoint(store), "control", kConfigPutPath},
      {"a store's links", mesh_.storeLinkEndpoint(store), "link"},
  };
  return addresses.at(random_.uniform(std::uint64_t{0}, addresses.size() - 1));
}

std::vector<WatchedProcess> ClientSeries::watched() const {
  std::vector<WatchedProcess> all;
  for (const auto& process : mesh_.processes()) {
    const bool is_sidecar = process.name.starts_with("sidecar");
    all.push_back(
        {process.name, process.id, process.host, is_sidecar ? kUsualMachines.sidecar : kUsualMachines.store});
  }
  return all;
}

}  // namespace cometstand::platform
