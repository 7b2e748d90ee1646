// Data folders that are lost.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "rehearsal/fleet/wait_until.h"
#include "rehearsal_fleet/small_fleet.h"

namespace cometstand::rehearsal {
namespace {

/// How long a replica without its disk is given to break the rule that it has no vote: several elections.
constexpr Duration kTimeToBreakTheRule = std::chrono::seconds(3);

TEST_CASE("a proxy that lost its data is served no older version", "[fleet][disk]") {
  SmallFleet fleet("proxy-data");
  fleet.waitInForce(fleet.addRoute("gone"));
  REQUIRE(fleet.allServe("/gone"));
  Member& relay = fleet.relay(kZoneA);
  Member& proxy = fleet.proxy(kZoneA);

  // The frozen relay keeps the old version, and is the first that the proxy asks.
  relay.freeze();
  const auto version = fleet.deleteRoute("gone");
  waitUntil("the proxy moved to the other relay and runs the new version",
            [&] { return !fleet->serves(proxy, "/gone"); });
  proxy.kill();
  proxy.removeData();
  relay.thaw();
  fleet->startMember(proxy);
  waitUntil("the proxy serves again", [&] {
    CHECK_FALSE(fleet->serves(proxy, "/gone"));
    return fleet->serves(proxy, "/cues");
  });
  CHECK_FALSE(fleet->serves(proxy, "/gone"));
  fleet.waitInForce(version);
}

TEST_CASE("a store that lost its data has no vote, and a new replica takes its place", "[fleet][disk]") {
  SmallFleet fleet("store-data");
  fleet.waitInForce(fleet.addRoute("before-loss"));
  auto administrator = fleet->administrator();
  const Member& leader = fleet->waitForLeader();
  Member& lost = &leader == &fleet.store(3) ? fleet.store(2) : fleet.store(3);
  Member& other = &leader == &fleet.store(1) ? fleet.store(2) : fleet.store(1);
  const auto lost_id = fleet->storeId(lost);

  lost.kill();
  lost.removeData();
  fleet->startMember(lost);
  other.kill();
  // Leader and lost replica are two of three: with the lost one's vote a change would be accepted.
  const auto request = administrator.newRequestId();
  const auto refused = administrator.tryOnce(fleet->storeId(leader) - 1, request,
                                             "change { put tenant nobody }", kTimeToBreakTheRule);
  CHECK_FALSE(refused.completed());
  fleet->startMember(other);
  fleet->waitForReplica(other);

  lost.kill();
  Member& added = fleet->addStore(4);
  fleet->startMember(added);
  administrator.mustRun(fmt::format("add replica 4 {} at {} region {}", added.name(), added.port().text(),
                                    fleet->deployment().region));
  const auto replaced = administrator.run(fmt::format("replace replica {} with 4", lost_id), kConditionLimit);
  INFO(replaced.text());
  REQUIRE(replaced.completed());
  // The repair is complete: a second machine may go right after it.
  other.kill();
  const auto version = fleet.addRoute("after-repair");
  fleet.waitInForce(version);
  CHECK(fleet.allServe("/before-loss"));
  CHECK(fleet.allServe("/after-repair"));
}

}  // namespace
}  // namespace cometstand::rehearsal
