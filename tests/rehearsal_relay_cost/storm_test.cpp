#include "rehearsal/relay_cost/storm.h"

#include <catch2/catch.hpp>

#include "rehearsal/relay_cost/relay_bench.h"

namespace cometstand::rehearsal {
namespace {

StormOptions smallStorm(StormKind kind) {
  StormOptions options;
  options.kind = kind;
  options.size.proxies = 60;
  options.size.services = 40;
  options.size.tenants = 10;
  options.changes = 10;
  return options;
}

TEST_CASE("after a relay's restart each proxy gets what it missed, as a delta") {
  const auto report = Storm(smallStorm(StormKind::RelayRestartWithChanges)).run();
  CHECK(report.hellos == 60);
  CHECK(report.deltas >= 60);
  CHECK(report.snapshots == 0);
}

TEST_CASE("proxies that restart with their disks get nothing that they hold already") {
  const auto report = Storm(smallStorm(StormKind::ProxiesRestart)).run();
  CHECK(report.snapshots == 0);
  CHECK(report.deltas == 0);
  CHECK(report.refusals == 0);
}

TEST_CASE("proxies that restart without disks get one snapshot each") {
  const auto report = Storm(smallStorm(StormKind::ProxiesWithoutDisks)).run();
  CHECK(report.snapshots == 60);
}

TEST_CASE("a change costs messages by the proxies that hold it alone") {
  MeshSize size;
  size.proxies = 100;
  size.services = 40;
  size.tenants = 10;
  RelayBench bench(size, {20});
  bench.follow();
  bench.joinAll();
  CHECK(bench.change(MeshConfiguration::heldTenant(20)).messages == 20);
  // The first round also brings the connection shares and a report to the store.
  bench.beatRound();
  CHECK(bench.beatRound().messages == 100);
}

}  // namespace
}  // namespace cometstand::rehearsal
