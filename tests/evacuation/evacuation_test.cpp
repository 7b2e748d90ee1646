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

/// Operators' bound on the time from the acknowledgement to the last request.
constexpr Duration kEvacuationTime = seconds(5);

}  // namespace

TEST_CASE("an evacuated zone gets nothing soon after the order, and its callers are served elsewhere") {
  ZoneMesh mesh(1);
  const TimePoint ordered = mesh.network.now();
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(1));
  // The bound is 5 s; without faults it takes the grace in which senders hear of it.
  CHECK(mesh.begunIn(kFirstZone, ordered + milliseconds(700)) == 0);
  const auto answered = mesh.answered;
  mesh.runFor(seconds(2));
  // Six sidecars' callers, one request each 40 ms on average.
  CHECK(mesh.answered - answered > 250);
  CHECK(mesh.refused == 0);
  CHECK(mesh.failed == 0);
}

TEST_CASE("the end of an evacuation brings requests back") {
  ZoneMesh mesh(2);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(6));
  REQUIRE(mesh.orderUntilDone(kFirstZone, false, seconds(1)));
  const TimePoint ended = mesh.network.now();
  mesh.runFor(seconds(2));
  CHECK(mesh.begunIn(kFirstZone, ended) > 50);
}

TEST_CASE("an order is acknowledged alike when it comes again, from any store that leads") {
  ZoneMesh mesh(3);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  for (const auto store : mesh.stores()) {
    if (store == mesh.leader()) continue;
    mesh.answer.reset();
    mesh.orderAt(store, kFirstZone, true);
    CHECK(mesh.answer == EvacuationAnswerKind::NotLeader);
  }
  const auto before = *mesh.leader();
  mesh.network.crash(before);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(4)));
  CHECK(*mesh.leader() != before);
  CHECK(mesh.stateAt(*mesh.leader()).evacuations().lastNumber() == 1);
}

TEST_CASE(
    "an order whose leader dies before it answers is in force or not, and is taken when it comes again") {
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
    mesh.runFor(kEvacuationTime);
    CHECK(mesh.begunIn(kFirstZone, mesh.network.now() - seconds(1)) == 0);
  }
}

TEST_CASE("an acknowledged order outlasts the end of all stores and sidecars") {
  ZoneMesh mesh(20);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  auto all = mesh.stores();
  for (const char* zone : {kFirstZone, kSecondZone}) {
    for (const auto id : mesh.sidecarsIn(zone)) all.push_back(id);
  }
  for (const auto id : all) mesh.network.crash(id);
  mesh.runFor(milliseconds(500));
  const TimePoint back = mesh.network.now();
  for (const auto id : all) mesh.network.start(id);
  mesh.runFor(seconds(8));
  REQUIRE(mesh.leader());
  CHECK(mesh.stateAt(*mesh.leader()).evacuations().isEvacuated(kFirstZone));
  CHECK(mesh.begunIn(kFirstZone, back) == 0);
  CHECK(mesh.begunIn(kSecondZone, back) > 0);
}

TEST_CASE("a sidecar that was cut off during the order and its end follows once it is back") {
  ZoneMesh mesh(30);
  const auto cut_off = mesh.sidecarsIn(kFirstZone).front();
  mesh.network.cut(cut_off);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(7));
  // Its own callers were served by its own target meanwhile.
  CHECK(mesh.sidecarAt(cut_off).evacuations().zones().empty());
  mesh.network.mend(cut_off);
  mesh.runFor(seconds(3));
  CHECK(mesh.begunIn(kFirstZone, mesh.network.now() - milliseconds(500)) == 0);
  mesh.network.cut(cut_off);
  REQUIRE(mesh.orderUntilDone(kFirstZone, false, seconds(1)));
  mesh.runFor(seconds(7));
  CHECK(mesh.sidecarAt(cut_off).evacuations().isEvacuated(kFirstZone));
  mesh.network.mend(cut_off);
  mesh.runFor(seconds(3));
  CHECK_FALSE(mesh.sidecarAt(cut_off).evacuations().isEvacuated(kFirstZone));
}

TEST_CASE("a sidecar that starts in an evacuated zone gets nothing, and serves its callers") {
  ZoneMesh mesh(40);
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(1));
  const TimePoint started = mesh.network.now();
  const auto id = mesh.addSidecar(kFirstZone);
  mesh.runFor(seconds(4));
  CHECK(mesh.begunIn(kFirstZone, started) == 0);
  const auto& answered = mesh.sidecarAt(id).callMetrics().latency.at(0).counts();
  CHECK(std::accumulate(answered.begin(), answered.end(), std::uint64_t{0}) > 20);
}

TEST_CASE(
    "a late copy of an order does not take its end back, and the order itself does when it is sent again") {
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

TEST_CASE("an order that no zone answers to is refused, and nothing changes") {
  ZoneMesh mesh(55);
  mesh.orderAt(*mesh.leader(), "nowhere", true);
  CHECK(mesh.answer == EvacuationAnswerKind::UnknownZone);
  CHECK(mesh.stateAt(*mesh.leader()).evacuations().lastNumber() == 0);
}

TEST_CASE("what waits for a slot when the order comes does not reach the target after the grace") {
  ZoneMesh mesh(56);
  mesh.run_time = seconds(2);
  mesh.runFor(seconds(3));
  const TimePoint ordered = mesh.network.now();
  REQUIRE(mesh.orderUntilDone(kFirstZone, true, seconds(1)));
  mesh.runFor(seconds(6));
  CHECK(mesh.begunIn(kFirstZone, ordered + milliseconds(700)) == 0);
}

TEST_CASE("the gates of an evacuated zone say that they are closed, those of the others do not") {
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

TEST_CASE("of two operators' opposite orders at once one is last, alike at all stores") {
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

TEST_CASE("with all zones evacuated requests are refused at once, as not run") {
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
