#include "rehearsal/sweep/sweep.h"

#include <catch2/catch.hpp>

#include "base/event_log.h"

using namespace cometstand;

namespace {

sweep::Point smallPoint(Duration batch_window) {
  setLogLevel(LogLevel::Error);
  sweep::Point point;
  point.deployment = simulator::deploymentNamed("astana");
  point.deployment.batch_window = batch_window;
  point.proxies = 12;
  point.changes_per_second = 8;
  point.measured_time = std::chrono::seconds(20);
  return point;
}

}  // namespace

TEST_CASE("a longer batching window trades convergence time for bytes") {
  const auto quick = sweep::runPoint(smallPoint(Duration::zero()));
  const auto batched = sweep::runPoint(smallPoint(std::chrono::seconds(2)));

  CHECK(quick.violations == 0);
  CHECK(batched.violations == 0);
  REQUIRE(quick.to_last_proxy.samples > 50);
  CHECK(batched.to_last_proxy.p99 > 2 * quick.to_last_proxy.p99);
  CHECK(batched.proxy_bytes_per_second < quick.proxy_bytes_per_second);
}

TEST_CASE("a point gives the same result again") {
  const auto point = smallPoint(std::chrono::milliseconds(50));
  CHECK(sweep::toJsonLine(point, sweep::runPoint(point)) == sweep::toJsonLine(point, sweep::runPoint(point)));
}
