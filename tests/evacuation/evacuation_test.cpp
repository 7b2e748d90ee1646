#include <catch2/catch.hpp>
#include <numeric>

#include "zone_mesh.h"

using namespace cometstand::evacuation::test;
using cometstand::Duration;
using cometstand::TimePoint;
using cometstand::store::EvacuationAnswerKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Required upper bound of the time from the acknowledgement of an order to the last request in the zone.
constexpr Duration kMaxEvacuationTime = seconds(5);

}  // namespace

TEST_CASE("an evacuated zone soon gets no requests, and its callers are served in another zone") {
  ZoneMesh mesh(1);
  const TimePoint ordered = mesh.network.now();
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(1));
  // The required bound is 5 s. Without faults, requests stop after the grace period in which senders receive
  // the update.
  CHECK(mesh.runsStartedIn(kFirstZone, ordered + milliseconds(700)) == 0);
  const auto answered = mesh.answered;
  mesh.runFor(seconds(2));
  // The callers of each of the six sidecars send a request every 40 ms on average.
  CHECK(mesh.answered - answered > 250);
  CHECK(mesh.refused == 0);
  CHECK(mesh.failed == 0);
}

TEST_CASE("a zone gets requests again after the end of its evacuation") {
  ZoneMesh mesh(2);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(6));
  REQUIRE(mesh.orderUntilDone(kFirstZone, false, seconds(1)));
  const TimePoint ended = mesh.network.now();
  mesh.runFor(seconds(2));
  CHECK(mesh.runsStartedIn(kFirstZone, ended) > 50);
}

TEST_CASE("a repeated order is acknowledged in the same way by any leader") {
  ZoneMesh mesh(3);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  for (const auto store : mesh.stores()) {
    if (store == mesh.leader()) continue;
    mesh.answer.reset();
    mesh.orderAt(store, kFirstZone, true);
    CHECK(mesh.answer == EvacuationAnswerKind::NotLeader);
  }
  const auto previous_leader = *mesh.leader();
  mesh.network.crash(previous_leader);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(4)));
  CHECK(*mesh.leader() != previous_leader);
  CHECK(mesh.stateAt(*mesh.leader()).evacuations().lastNumber() == 1);
}

TEST_CASE(
    "an order whose leader crashes before it replies is applied or not, and is accepted when "
    "repeated") {
  for (const int delay_ms : {0, 1, 2, 3, 4, 6}) {
    CAPTURE(delay_ms);
    ZoneMesh mesh(10 + static_cast<std::uint64_t>(delay_ms));
    const auto first = *mesh.leader();
    mesh.orderAt(first, kFirstZone, true);
    mesh.runFor(milliseconds(delay_ms));
    const bool was_acknowledged = mesh.answer == EvacuationAnswerKind::Done;
    mesh.network.crash(first);
    mesh.runFor(seconds(3));
    REQUIRE(mesh.leader());
    const bool is_kept = mesh.stateAt(*mesh.leader()).evacuations().isEvacuated(kFirstZone);
    if (was_acknowledged) CHECK(is_kept);
    REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(4)));
    mesh.runFor(kMaxEvacuationTime);
    CHECK(mesh.runsStartedIn(kFirstZone, mesh.network.now() - seconds(1)) == 0);
  }
}

TEST_CASE("an acknowledged order survives a restart of all stores and sidecars") {
  ZoneMesh mesh(20);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  auto all = mesh.stores();
  for (const char* zone : {kFirstZone, kSecondZone}) {
    for (const auto id : mesh.sidecarsIn(zone)) all.push_back(id);
  }
  for (const auto id : all) mesh.network.crash(id);
  mesh.runFor(milliseconds(500));
  const TimePoint restarted = mesh.network.now();
  for (const auto id : all) mesh.network.start(id);
  mesh.runFor(seconds(8));
  REQUIRE(mesh.leader());
  CHECK(mesh.stateAt(*mesh.leader()).evacuations().isEvacuated(kFirstZone));
  CHECK(mesh.runsStartedIn(kFirstZone, restarted) == 0);
  CHECK(mesh.runsStartedIn(kSecondZone, restarted) > 0);
}

TEST_CASE("a sidecar that was cut off applies the order and its end once it is reconnected") {
  ZoneMesh mesh(30);
  const auto cut_off = mesh.sidecarsIn(kFirstZone).front();
  mesh.network.partition(cut_off);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(7));
  // While cut off, the sidecar serves its callers with its own target.
  CHECK(mesh.sidecarAt(cut_off).evacuations().zones().empty());
  mesh.network.heal(cut_off);
  mesh.runFor(seconds(3));
  CHECK(mesh.runsStartedIn(kFirstZone, mesh.network.now() - milliseconds(500)) == 0);
  mesh.network.partition(cut_off);
  REQUIRE(mesh.orderUntilDone(kFirstZone, false, seconds(1)));
  mesh.runFor(seconds(7));
  CHECK(mesh.sidecarAt(cut_off).evacuations().isEvacuated(kFirstZone));
  mesh.network.heal(cut_off);
  mesh.runFor(seconds(3));
  CHECK_FALSE(mesh.sidecarAt(cut_off).evacuations().isEvacuated(kFirstZone));
}

TEST_CASE("a sidecar that starts in an evacuated zone gets no requests and serves its callers") {
  ZoneMesh mesh(40);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(1));
  const TimePoint started = mesh.network.now();
  const auto id = mesh.addSidecar(kFirstZone);
  mesh.runFor(seconds(4));
  CHECK(mesh.runsStartedIn(kFirstZone, started) == 0);
  const auto& answered = mesh.sidecarAt(id).callMetrics().latency.at(0).counts();
  CHECK(std::accumulate(answered.begin(), answered.end(), std::uint64_t{0}) > 20);
}

TEST_CASE("a late copy of an order does not undo its end, but the order is applied when it is sent again") {
  ZoneMesh mesh(50);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(6));
  REQUIRE(mesh.orderUntilDone(kFirstZone, false, seconds(1)));
  mesh.answer.reset();
  mesh.orderAt(*mesh.leader(), kFirstZone, true);
  mesh.runFor(milliseconds(500));
  CHECK(mesh.answer == EvacuationAnswerKind::Unknown);
  CHECK_FALSE(mesh.stateAt(*mesh.leader()).evacuations().isEvacuated(kFirstZone));
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  CHECK(mesh.stateAt(*mesh.leader()).evacuations().isEvacuated(kFirstZone));
}

TEST_CASE("an order for an unknown zone is refused and changes nothing") {
  ZoneMesh mesh(55);
  mesh.orderAt(*mesh.leader(), "nowhere", true);
  CHECK(mesh.answer == EvacuationAnswerKind::UnknownZone);
  CHECK(mesh.stateAt(*mesh.leader()).evacuations().lastNumber() == 0);
}

TEST_CASE(
    "requests queued for a slot at the time of the order do not reach the target after the grace period") {
  ZoneMesh mesh(56);
  mesh.run_time = seconds(2);
  mesh.runFor(seconds(3));
  const TimePoint ordered = mesh.network.now();
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(6));
  CHECK(mesh.runsStartedIn(kFirstZone, ordered + milliseconds(700)) == 0);
}

TEST_CASE("the gates of an evacuated zone are closed, and those of other zones are not") {
  ZoneMesh mesh(57);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(1));
  for (const auto id : mesh.sidecarsIn(kFirstZone)) {
    CHECK(mesh.sidecarAt(id).gate().isClosed(mesh.network.now()));
  }
  for (const auto id : mesh.sidecarsIn(kSecondZone)) {
    CHECK_FALSE(mesh.sidecarAt(id).gate().isClosed(mesh.network.now()));
  }
}

TEST_CASE("all stores agree on the last of two concurrent opposite orders") {
  ZoneMesh mesh(60);
  const auto leader = *mesh.leader();
  mesh.orderAt(leader, kFirstZone, true);
  mesh.orderAt(leader, kFirstZone, false);
  mesh.runFor(seconds(1));
  for (const auto store : mesh.stores()) {
    CHECK(mesh.stateAt(store).evacuations().lastNumber() == mesh.stateAt(leader).evacuations().lastNumber());
    CHECK(mesh.stateAt(store).evacuations().isEvacuated(kFirstZone) ==
          mesh.stateAt(leader).evacuations().isEvacuated(kFirstZone));
  }
}

TEST_CASE("requests are refused at once as not run when all zones are evacuated") {
  ZoneMesh mesh(70);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  REQUIRE(mesh.orderUntilDone(kSecondZone, true, seconds(1)));
  mesh.runFor(seconds(1));
  const auto answered = mesh.answered;
  mesh.runFor(seconds(2));
  CHECK(mesh.answered == answered);
  CHECK(mesh.refused > 250);
  CHECK(mesh.failed == 0);
}
