// What a relay sends to its proxies: deltas or snapshots, batches, and only what concerns each.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "config/token.h"
#include "relay/admission.h"
#include "relay/relay_fixture.h"

namespace cometstand::relay::test {
namespace {

using config::test::drop;
using wire::ObjectKind;

TEST_CASE("a change goes to the proxies of its tenant only, as a delta they can check") {
  RelayFixture relay;
  relay.follow();
  const LinkId napisy = relay.serve("proxy-1");
  const LinkId protokoly = relay.serve("proxy-4");
  relay.driver.advance(seconds(1));
  relay.driver.take<wire::ViewBeatT>(protokoly);

  relay.changeSecret("napisy", 11);
  const auto delta = relay.driver.takeOne<wire::ViewDeltaT>(napisy);
  CHECK(delta.from_version == 10);
  CHECK(delta.to_version == 11);
  CHECK(delta.changes.size() == 1);
  CHECK(relay.driver.take<wire::ViewDeltaT>(protokoly).empty());
  CHECK(relay.driver.take<wire::ViewSnapshotT>(protokoly).empty());

  relay.driver.advance(seconds(1));
  const auto beats = relay.driver.take<wire::ViewBeatT>(protokoly);
  REQUIRE_FALSE(beats.empty());
  CHECK(beats.back().as_of == 11);
  CHECK(beats.back().view_version == 10);
}

TEST_CASE("proxies that a change leaves alone hear of its version within the window, the others not twice") {
  RelayFixture relay;
  relay.follow();
  const LinkId napisy = relay.serve("proxy-1");
  const LinkId protokoly = relay.serve("proxy-4");
  relay.driver.advance(milliseconds(1500));
  relay.driver.take<wire::ViewBeatT>(napisy);
  relay.driver.take<wire::ViewBeatT>(protokoly);

  relay.changeSecret("napisy", 11);
  relay.driver.advance(milliseconds(1));
  CHECK(relay.driver.takeOne<wire::ViewBeatT>(protokoly).as_of == 11);
  CHECK(relay.driver.take<wire::ViewBeatT>(napisy).empty());

  relay.changeSecret("napisy", 12);
  relay.changeSecret("napisy", 13);
  CHECK(relay.driver.take<wire::ViewBeatT>(protokoly).empty());
  relay.driver.advance(milliseconds(100));
  CHECK(relay.driver.takeOne<wire::ViewBeatT>(protokoly).as_of == 13);
}

TEST_CASE("no view holds the secret of a tenant that its node does not name") {
  RelayFixture relay;
  relay.follow();
  const LinkId link = relay.join("proxy-1");
  relay.answerFreshness(10);
  for (const auto& change : relay.driver.takeOne<wire::ViewSnapshotT>(link).changes) {
    CHECK((change->key->kind == ObjectKind::Node || change->key->tenant == "napisy"));
  }
}

TEST_CASE("the first change of a quiet period goes at once, those in the window together, each object once") {
  RelayFixture relay;
  relay.follow();
  const LinkId link = relay.serve("proxy-1");
  relay.driver.advance(seconds(1));
  relay.changeSecret("napisy", 11);
  CHECK(relay.driver.take<wire::ViewDeltaT>(link).size() == 1);

  relay.driver.advance(milliseconds(10));
  relay.changeSecret("napisy", 12);
  relay.changeSecret("napisy", 13, "other");
  relay.changeSecret("napisy", 14);
  CHECK(relay.driver.take<wire::ViewDeltaT>(link).empty());
  relay.driver.advance(milliseconds(50));
  const auto batch = relay.driver.takeOne<wire::ViewDeltaT>(link);
  CHECK(batch.from_version == 11);
  CHECK(batch.to_version == 14);
  CHECK(batch.changes.size() == 2);
}

TEST_CASE("a returning proxy gets nothing if it is current, a delta if the history reaches it") {
  RelayFixture relay;
  relay.follow();
  const LinkId first = relay.join("proxy-1");
  relay.answerFreshness(10);
  const auto view = relay.driver.takeOne<wire::ViewSnapshotT>(first);
  const auto digest = view::DigestSum::fromWire(view.digest.get());

  const LinkId current = relay.join("proxy-1", 10, digest);
  CHECK(relay.driver.closed(first));
  CHECK(relay.driver.take<wire::ViewSnapshotT>(current).empty());
  CHECK(relay.driver.take<wire::ViewBeatT>(current).size() == 1);

  relay.driver.lose(current);
  relay.changeSecret("napisy", 11);
  const LinkId behind = relay.join("proxy-1", 10, digest);
  CHECK(relay.driver.takeOne<wire::ViewDeltaT>(behind).changes.size() == 1);
}

TEST_CASE("a proxy that returns while a batch waits is told the version that its view equals") {
  RelayFixture relay;
  relay.follow();
  const LinkId first = relay.join("proxy-1");
  relay.answerFreshness(10);
  const auto digest =
      view::DigestSum::fromWire(relay.driver.takeOne<wire::ViewSnapshotT>(first).digest.get());
  relay.acknowledge(first, 10);
  const LinkId other = relay.serve("proxy-2");

  // The first change goes at once; the second one, which undoes it, waits for its batch.
  relay.driver.advance(seconds(1));
  relay.changeSecret("napisy", 11, "short-lived");
  CHECK(relay.driver.take<wire::ViewDeltaT>(other).size() == 1);
  relay.receiveDelta({changeAt(12, drop(ObjectKind::Secret, "napisy", "short-lived"))}, 12);

  // Its view lacks the secret, so it is not the view as of 11.
  const LinkId returned = relay.join("proxy-1", 10, digest);
  CHECK(relay.driver.takeOne<wire::ViewBeatT>(returned).as_of == 12);
}

TEST_CASE(
    "a snapshot goes where it is smaller, where the history does not reach, or where it was asked for") {
  auto options = relayOptions();
  options.max_tombstones = 3;
  RelayFixture relay(options);
  relay.follow();
  const LinkId link = relay.join("proxy-1");
  relay.answerFreshness(10);
  const auto view = relay.driver.takeOne<wire::ViewSnapshotT>(link);
  const auto digest = view::DigestSum::fromWire(view.digest.get());

  SECTION("asked for") {
    relay.changeSecret("napisy", 11);
    relay.driver.take<wire::ViewDeltaT>(link);
    wire::ViewReportT report;
    report.result = wire::ViewResult::SnapshotNeeded;
    report.view_version = 10;
    relay.driver.receive(link, report);
    CHECK(relay.driver.takeOne<wire::ViewSnapshotT>(link).version == 11);
  }
  SECTION("tombstones are pruned past its version") {
    relay.driver.lose(link);
    for (std::uint64_t version = 11; version < 15; ++version) {
      const auto name = "gone-" + std::to_string(version);
      relay.receiveDelta({changeAt(version, drop(ObjectKind::Secret, "napisy", name))}, version);
    }
    relay.changeSecret("napisy", 15);
    const LinkId behind = relay.join("proxy-1", 10, digest);
    CHECK(relay.driver.takeOne<wire::ViewSnapshotT>(behind).version == 15);
  }
  SECTION("smaller") {
    relay.driver.lose(link);
    std::vector<ChangePointer> drops;
    for (const char* name : {"cues"}) drops.push_back(changeAt(11, drop(ObjectKind::Route, "napisy", name)));
    drops.push_back(changeAt(11, drop(ObjectKind::Secret, "napisy", "token")));
    drops.push_back(changeAt(11, drop(ObjectKind::Service, "napisy", "editor-desk")));
    relay.receiveDelta(drops, 11);
    const LinkId behind = relay.join("proxy-1", 10, digest);
    CHECK(relay.driver.takeOne<wire::ViewSnapshotT>(behind).version == 11);
  }
  SECTION("its node names other tenants now, one of which changed as well") {
    relay.receiveDelta({changeAt(11, config::test::putSecret("protokoly", "token", "x")),
                        changeAt(12, config::test::putNode("proxy-1", {"protokoly"}))},
                       12);
    const auto sent = relay.driver.takeOne<wire::ViewSnapshotT>(link);
    CHECK(sent.version == 12);
    CHECK(std::none_of(sent.changes.begin(), sent.changes.end(),
                       [](const auto& change) { return change->key->tenant == "napisy"; }));
  }
}

TEST_CASE("a relay that starts anew gives deltas as far as the snapshot's history reaches") {
  RelayFixture relay;
  relay.driver.open(*relay.store);
  auto changes = RelayFixture::configuration();
  changes.push_back(changeAt(8, drop(ObjectKind::Secret, "napisy", "old")));
  auto snapshot = RelayFixture::snapshot(10, changes);
  snapshot.history_from = 6;
  relay.driver.receive(*relay.store, snapshot);
  relay.beat(10);

  const LinkId known = relay.join("proxy-1", 6);
  const auto delta = relay.driver.takeOne<wire::ViewDeltaT>(known);
  REQUIRE(delta.changes.size() == 1);
  CHECK(delta.changes[0]->object == nullptr);
  CHECK(delta.from_version == 6);
  const LinkId unknown = relay.join("proxy-2", 5);
  CHECK(relay.driver.takeOne<wire::ViewSnapshotT>(unknown).changes.size() == 5);
}

TEST_CASE("a proxy without a disk is served only by a quorum beat that began after it joined") {
  RelayFixture relay;
  relay.follow();
  relay.join("proxy-2");
  const auto asked_before = relay.driver.take<wire::FreshnessRequestT>(*relay.store).size();
  const auto first_id = relay.driver.lastRequestId();
  REQUIRE(asked_before == 1);

  const LinkId link = relay.join("proxy-1");
  relay.beat(10);
  wire::QuorumBeatT answer;
  answer.version = 10;
  relay.driver.receive(*relay.store, answer, first_id);
  CHECK(relay.driver.take<wire::ViewSnapshotT>(link).empty());

  relay.answerFreshness(12);
  CHECK(relay.driver.take<wire::ViewSnapshotT>(link).empty());
  relay.changeSecret("napisy", 12);
  CHECK(relay.driver.takeOne<wire::ViewSnapshotT>(link).version == 12);
}

TEST_CASE("a proxy that is ahead of the relay waits, and is sent elsewhere if the relay does not get there") {
  RelayFixture relay;
  relay.follow();
  const LinkId link = relay.join("proxy-1", 12);
  CHECK(relay.driver.messages().empty() == false);
  CHECK(relay.driver.take<wire::ViewBeatT>(link).empty());
  relay.advanceWithBeats(6);
  CHECK(relay.driver.take<wire::ViewBeatT>(link).empty());
  CHECK(relay.driver.takeOne<wire::RefusalT>(link).error->retry_after_ms > 0);
  CHECK(relay.driver.closed(link));
}

TEST_CASE("a wrong token and an unknown node are refused") {
  RelayFixture relay;
  relay.follow();
  wire::NodeSpecT spec;
  spec.tenants = {"napisy"};
  spec.token_hash.assign(32, 1);
  relay.receiveDelta({changeAt(11, config::test::put(ObjectKind::Node, "", "guarded", spec))}, 11);
  const LinkId guarded = relay.join("guarded");
  const LinkId unknown = relay.join("nobody");
  relay.answerFreshness(11);
  relay.answerFreshness(11);
  const auto kind_of = [&](LinkId link) {
    return static_cast<ErrorKind>(relay.driver.takeOne<wire::RefusalT>(link).error->kind);
  };
  CHECK(kind_of(guarded) == ErrorKind::Unauthenticated);
  CHECK(kind_of(unknown) == ErrorKind::NotFound);
}

TEST_CASE("only the token that a node was created with is its token") {
  wire::NodeSpecT node;
  CHECK(verifyNodeToken(node, ""));
  node.salt.assign(16, 3);
  node.token_hash = config::hashToken(node.salt, "right");
  CHECK(verifyNodeToken(node, "right"));
  CHECK_FALSE(verifyNodeToken(node, "wrong"));
  CHECK_FALSE(verifyNodeToken(node, ""));
}

TEST_CASE("a deleted node's proxy is refused at once") {
  RelayFixture relay;
  relay.follow();
  const LinkId link = relay.serve("proxy-1");
  relay.receiveDelta({changeAt(11, drop(ObjectKind::Node, "", "proxy-1"))}, 11);
  CHECK(relay.driver.take<wire::RefusalT>(link).size() == 1);
  CHECK(relay.driver.closed(link));
  CHECK(relay.core.proxyCount() == 0);
}

TEST_CASE("joins are admitted by a token bucket; the others are told to come back, spread out") {
  JoinLimiter limiter(100, 50);
  RandomSource random(3);
  const TimePoint now{seconds(100)};
  std::vector<Duration> waits;
  for (int i = 0; i < 250; ++i) {
    if (const auto wait = limiter.admit(now, random)) waits.push_back(*wait);
  }
  REQUIRE(waits.size() == 200);
  const auto within = [&](Duration low, Duration high) {
    return std::count_if(waits.begin(), waits.end(),
                         [&](Duration wait) { return wait >= low && wait < high; });
  };
  CHECK(within(Duration::zero(), milliseconds(1)) == 0);
  CHECK(within(Duration::zero(), milliseconds(500)) < 60);
  CHECK(within(milliseconds(500), milliseconds(1000)) < 90);
  CHECK(within(milliseconds(1000), seconds(10)) > 50);
  // Nobody is told to wait longer than the bucket needs to admit all.
  CHECK(within(milliseconds(2010) + Duration(1), seconds(1000)) == 0);
  CHECK(limiter.admit(now + seconds(1), random) == std::nullopt);
}

TEST_CASE("a refused join closes the link and names when to come back") {
  auto options = relayOptions();
  options.join_burst = 1;
  options.join_rate = 1;
  RelayFixture relay(options);
  relay.follow();
  relay.join("proxy-1");
  const LinkId refused = relay.join("proxy-2");
  const auto refusal = relay.driver.takeOne<wire::RefusalT>(refused);
  CHECK(static_cast<ErrorKind>(refusal.error->kind) == ErrorKind::Overloaded);
  CHECK(refusal.error->retry_after_ms >= 1000);
  CHECK(relay.driver.closed(refused));
}

}  // namespace
}  // namespace cometstand::relay::test
