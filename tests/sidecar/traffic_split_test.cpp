// Tests routes that split their requests among services by weight.
#include <cmath>

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::seconds;
using wire::ForwardOutcome;

/// The route "read" is split equally between "shop" and "other"; kPeer serves "shop" and kOtherPeer "other".
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

TEST_CASE_METHOD(
    SplitFixture,
    "a request that one service of a split refuses is answered as not run, not moved to another service",
    "[sidecar]") {
  constexpr int kCalls = 100;
  int moved = 0;
  int refused = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto id = call("/read/1", seconds(1));
    const auto to_full_service = forwardsTo(kPeer);
    for (const auto number : to_full_service) reply(kPeer, number, ForwardOutcome::NotRun);
    const auto to_other_service = forwardsTo(kOtherPeer);
    if (!to_full_service.empty() && !to_other_service.empty()) ++moved;
    for (const auto number : to_other_service) reply(kOtherPeer, number, ForwardOutcome::Answered);
    REQUIRE(callers.answers.contains(id));
    if (callers.answers.at(id).outcome == CallOutcome::NotRun) ++refused;
  }
  CHECK(moved == 0);
  CHECK(refused > kCalls / 3);
  CHECK(refused < kCalls * 2 / 3);
}

TEST_CASE("the requests of many senders with a few requests each are split together by the weights",
          "[sidecar]") {
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
  constexpr double kTolerance = 0.1;
  constexpr std::uint64_t kSenderGroups = 50;
  for (std::uint64_t sender_group = 0; sender_group < kSenderGroups; ++sender_group) {
    unsigned shop_count = 0;
    for (std::uint64_t sender = 0; sender < kSenders; ++sender) {
      RandomSource random(sender_group * kSenders + sender);
      for (unsigned i = 0; i < kRequestsEach; ++i)
        shop_count += mesh::drawService(route, random) == "shop" ? 1 : 0;
    }
    const double share = static_cast<double>(shop_count) / (kSenders * kRequestsEach);
    CHECK(std::abs(share - weight / 100.0) <= kTolerance);
  }
}

}  // namespace cometstand::sidecar::test
