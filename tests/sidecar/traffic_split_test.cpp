// Routes whose requests are shared among services by weight.
#include <cmath>

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::seconds;
using wire::ForwardOutcome;

/// The route "read" goes to "shop" and "other" alike; the first peer is of "shop", the second of "other".
class SplitFixture : public SidecarFixture {
 public:
  SplitFixture() {
    auto configuration = makeConfiguration();
    auto share = std::make_shared<wire::TrafficShareT>();
    share->service = "other";
    share->weight = 1;
    configuration.routes.front()->shares.push_back(share);
    configure(1, configuration);
    addPeer(kPeer);
    addPeer(kOtherPeer, wire::EndpointState::Live, "other");
  }
};

}  // namespace

TEST_CASE_METHOD(SplitFixture, "what one part of a split cannot take is refused, not moved to another part",
                 "[sidecar]") {
  constexpr int kCalls = 100;
  int moved = 0;
  int refused = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto id = call("/read/1", seconds(1));
    const auto to_full_part = forwardsTo(kPeer);
    for (const auto number : to_full_part) reply(kPeer, number, ForwardOutcome::NotRun);
    const auto to_other_part = forwardsTo(kOtherPeer);
    if (!to_full_part.empty() && !to_other_part.empty()) ++moved;
    for (const auto number : to_other_part) reply(kOtherPeer, number, ForwardOutcome::Answered);
    REQUIRE(callers.answers.contains(id));
    if (callers.answers.at(id).outcome == CallOutcome::NotRun) ++refused;
  }
  CHECK(moved == 0);
  CHECK(refused > kCalls / 3);
  CHECK(refused < kCalls * 2 / 3);
}

TEST_CASE("many senders with a few requests each keep to the weights of a split together", "[sidecar]") {
  const auto weight = GENERATE(10U, 25U, 50U, 90U);
  wire::MeshRouteT route;
  for (const auto& [service, share_weight] : {std::pair{"shop", weight}, std::pair{"other", 100 - weight}}) {
    auto share = std::make_shared<wire::TrafficShareT>();
    share->service = service;
    share->weight = share_weight;
    route.shares.push_back(std::move(share));
  }
  constexpr unsigned kSenders = 100;
  constexpr unsigned kRequestsEach = 3;
  constexpr double kAllowed = 0.1;
  constexpr std::uint64_t kFleets = 50;
  for (std::uint64_t fleet = 0; fleet < kFleets; ++fleet) {
    unsigned drawn = 0;
    for (std::uint64_t sender = 0; sender < kSenders; ++sender) {
      RandomSource random(fleet * kSenders + sender);
      for (unsigned i = 0; i < kRequestsEach; ++i)
        drawn += mesh::drawService(route, random) == "shop" ? 1 : 0;
    }
    const double share = static_cast<double>(drawn) / (kSenders * kRequestsEach);
    CHECK(std::abs(share - weight / 100.0) <= kAllowed);
  }
}

}  // namespace cometstand::sidecar::test
