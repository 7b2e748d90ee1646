// Limits of tenants after all stores have died and come back.
//
// What users saw: when all stores had died at once, or leaders had changed twice in a short time, every
// request of every tenant with a limit was refused for 2.6 s, though stores and targets were there and the
// limits were far from used up.
//
// Order of events: a store that had just started became the leader. Tokens of earlier leaderships may be in
// use for some seconds, and it could not know of how many, as what it had heard of leaders was gone with its
// process. So it gave none until all that may have been given was void.
//
// Cause: whose tokens may be in use was known by what a replica had seen, not by the replicated state.
//
// Evidence: after a loss of all stores the log line quota_began said at_once=false, and with a new leader's
// share of tokens set to nothing the first case below fails at each of its seeds.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "quota_mesh.h"

namespace cometstand::quota::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kAskedPerSecond = 60;
/// Far below the limit, so that nothing need be refused.
const std::vector<TenantLoad> kTenants{{"below", 100, 40, kAskedPerSecond}};
/// For sidecars to find the new leader and to ask it again.
constexpr Duration kFindTime = milliseconds(700);
constexpr Duration kMeasured = seconds(1);

void killAllStores(QuotaMesh& mesh, Duration down) {
  for (const auto store : mesh.stores()) mesh.network.crash(store);
  mesh.runFor(down);
  for (const auto store : mesh.stores()) mesh.network.start(store);
}

void awaitLeader(QuotaMesh& mesh) {
  constexpr Duration kStep = milliseconds(20);
  constexpr Duration kPatience = seconds(5);
  for (Duration waited{}; !mesh.leader() && waited < kPatience; waited += kStep) mesh.runFor(kStep);
  REQUIRE(mesh.leader());
}

/// @return the share of the requests of the next kMeasured that are refused for the limit.
double refusedShare(QuotaMesh& mesh) {
  const auto before = mesh.account("below").over_quota;
  mesh.runFor(kMeasured);
  return static_cast<double>(mesh.account("below").over_quota - before) / kAskedPerSecond;
}

}  // namespace

TEST_CASE("tenants below their limits are served soon after all stores have died", "[quota]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 11));
  INFO("seed " << seed);
  QuotaMesh mesh(seed, kTenants);
  mesh.beginCalls();
  mesh.runFor(seconds(6));
  killAllStores(mesh, milliseconds(400));
  awaitLeader(mesh);
  mesh.runFor(kFindTime);
  CHECK(refusedShare(mesh) <= 0.5);
  mesh.runFor(seconds(2));
  CHECK(refusedShare(mesh) == 0);
  CHECK(mesh.mostBeyond("below") <= 0);
  CHECK(mesh.account("below").refused_though_run == 0);
}

TEST_CASE("no window sees more than a limit's bound while all stores die again and again", "[quota]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 11));
  INFO("seed " << seed);
  QuotaMesh mesh(seed, {{"large", 200, 40, 400}, {"small", 6, 3, 30}, {"bursty", 20, 200, 300}});
  mesh.beginCalls();
  mesh.runFor(seconds(3));
  RandomSource random(seed);
  for (int round = 0; round < 6; ++round) {
    killAllStores(mesh, random.uniform(Duration(milliseconds(50)), Duration(milliseconds(500))));
    mesh.runFor(random.uniform(Duration(milliseconds(300)), Duration(milliseconds(2'500))));
  }
  mesh.runFor(seconds(6));
  for (const auto* tenant : {"large", "small", "bursty"}) {
    INFO("tenant " << tenant << ": " << mesh.account(tenant).ran.size() << " ran");
    CHECK(mesh.mostBeyond(tenant) <= 0);
    CHECK(mesh.account(tenant).refused_though_run == 0);
  }
}

}  // namespace cometstand::quota::test
