#include "mesh_soak/soak_operator.h"

#include <fmt/format.h>

#include <array>

#include "mesh_soak/soak_configuration.h"
#include "platform/names.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kPreconditionFailed = 412;
constexpr Duration kMinPause = std::chrono::milliseconds(50);
constexpr Duration kMaxPause = std::chrono::milliseconds(600);
/// Small and large configurations; the large ones keep the leader busy.
constexpr std::array<std::size_t, 4> kAddedRoutes{0, 0, 300, 1'400};
/// After all stores have refused or not answered.
constexpr Duration kRepeatPause = std::chrono::milliseconds(100);

}  // namespace

SoakOperator::SoakOperator(const PlatformMesh& mesh, std::uint64_t seed, unsigned version)
    : mesh_(mesh), random_(seed), version_(version), thread_([this] {
        while (!stopping_ && refusal_ == 0) putNext();
      }) {}

void SoakOperator::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void SoakOperator::putNext() {
  const auto routes = kAddedRoutes.at(random_.uniform(std::uint64_t{0}, kAddedRoutes.size() - 1));
  const auto removed = random_.uniform(std::uint64_t{0}, kSmallTenants);
  const auto text = soakConfiguration(version_ + 1, routes, removed);
  unsigned status = putOnce(text);
  // An order without a clear answer may be in force: it goes on even while the operator stops.
  while (status != kOk && status != kBadRequest && status != kPreconditionFailed) {
    rehearsal::pauseFor(kRepeatPause);
    status = putOnce(text);
  }
  if (status == kOk) {
    ++version_;
  } else {
    refusal_ = status;
  }
  rehearsal::pauseFor(random_.uniform(kMinPause, kMaxPause));
}

/// Asks all addresses that a store may have, as stores come and go meanwhile.
unsigned SoakOperator::putOnce(const std::string& text) const {
  const rehearsal::HttpQuestion question{
      "POST", "", kConfigPutPath, text, {{kBaseVersion, fmt::format("r{}", version_.load())}}};
  for (std::size_t store = 0; store < kMaxSoakStores; ++store) {
    const auto status = mesh_.askStore(store, question).status;
    if (status == kOk || status == kBadRequest || status == kPreconditionFailed) return status;
  }
  return 0;
}

}  // namespace cometstand::platform
