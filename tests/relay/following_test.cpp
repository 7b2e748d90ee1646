// How a relay follows the store or its zone's reader, and what it reports and passes on.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "relay/relay_fixture.h"

namespace cometstand::relay::test {
namespace {

wire::RefusalT refusalTo(const runtime::Address& address) {
  wire::RefusalT refusal;
  refusal.error = std::make_shared<wire::ErrorInfoT>();
  refusal.alternatives.push_back(std::make_shared<wire::NetworkAddressT>());
  refusal.alternatives[0]->address = address.host;
  refusal.alternatives[0]->port = address.port;
  return refusal;
}

/// @return the answer to a relay that asks to follow, on a new link.
LinkId followThrough(RelayFixture& relay, std::uint64_t have_version) {
  const LinkId link = relay.driver.accept();
  wire::FollowRequestT request;
  request.relay = "relay-a2";
  request.zone = "krk-a";
  request.have_version = have_version;
  relay.driver.receive(link, std::move(request));
  return link;
}

TEST_CASE("a relay names its version to the store and never falls behind it") {
  RelayFixture relay;
  relay.driver.open(*relay.store);
  CHECK(relay.driver.takeOne<wire::FollowRequestT>(*relay.store).have_version == 0);
  relay.driver.receive(*relay.store, RelayFixture::snapshot(10, RelayFixture::configuration()));
  relay.driver.receive(*relay.store, RelayFixture::snapshot(9, {}));
  CHECK(relay.core.version() == 10);
  relay.driver.lose(*relay.store);
  relay.takeConnects();
  relay.driver.open(*relay.store);
  CHECK(relay.driver.takeOne<wire::FollowRequestT>(*relay.store).have_version == 10);
}

TEST_CASE("a gap in the deltas makes the relay ask anew and changes nothing") {
  RelayFixture relay;
  relay.follow();
  wire::ConfigurationDeltaT delta;
  delta.from_version = 12;
  delta.to_version = 13;
  relay.driver.receive(*relay.store, delta);
  CHECK(relay.core.version() == 10);
  CHECK(relay.driver.closed(*relay.store));
  relay.takeConnects();
  CHECK(relay.address == storeAddress());
}

TEST_CASE("a deletion that a snapshot leaves out reaches the proxies") {
  RelayFixture relay;
  relay.follow();
  const LinkId link = relay.serve("proxy-1");
  auto changes = RelayFixture::configuration();
  std::erase_if(changes, [](const auto& change) {
    return change->key->tenant == "napisy" && change->key->kind == wire::ObjectKind::Route;
  });
  relay.driver.receive(*relay.store, RelayFixture::snapshot(20, changes));
  const auto delta = relay.driver.takeOne<wire::ViewDeltaT>(link);
  REQUIRE(delta.changes.size() == 1);
  CHECK(delta.changes[0]->object == nullptr);
}

TEST_CASE("a relay whose beats stop looks for another upstream") {
  RelayFixture relay;
  relay.follow();
  relay.advanceWithBeats(10);
  CHECK(relay.driver.connects().empty());
  SECTION("in silence") { relay.driver.advance(seconds(5)); }
  SECTION("with the beats of a round that passed") {
    const auto last = relay.round;
    for (int i = 0; i < 5; ++i) {
      relay.driver.advance(seconds(1));
      relay.round = last - 1;
      relay.beat(10);
    }
  }
  CHECK(relay.driver.closed(*relay.store));
  CHECK_NOTHROW(relay.takeConnects());
}

TEST_CASE("a refused second reader follows the zone's reader, and takes over when that stops") {
  RelayFixture relay;
  relay.driver.open(*relay.store);
  relay.driver.receive(*relay.store, refusalTo(peerAddress()));
  CHECK(relay.driver.closed(*relay.store));
  relay.takeConnects();
  REQUIRE(relay.address == peerAddress());
  const LinkId reader = *relay.peer_out;
  relay.driver.open(reader);
  CHECK(relay.driver.take<wire::FollowRequestT>(reader).size() == 1);
  relay.driver.receive(reader, RelayFixture::snapshot(10, RelayFixture::configuration()));
  CHECK(relay.core.version() == 10);

  SECTION("it does not serve as a reader itself") {
    const LinkId asker = followThrough(relay, 0);
    const auto refusal = relay.driver.takeOne<wire::RefusalT>(asker);
    REQUIRE(refusal.alternatives.size() == 1);
    CHECK(refusal.alternatives[0]->port == peerAddress().port);
  }
  SECTION("the reader dies") {
    relay.driver.lose(reader);
    relay.takeConnects();
    CHECK(relay.address == storeAddress());
  }
  SECTION("the reader says goodbye and is kept until the store serves") {
    relay.driver.receive(reader, wire::GoodbyeT());
    relay.takeConnects();
    REQUIRE(relay.address == storeAddress());
    relay.driver.open(*relay.store);
    CHECK_FALSE(relay.driver.closed(reader));
    relay.beat(10);
    relay.changeSecret("napisy", 11);
    CHECK(relay.core.version() == 11);
  }
}

TEST_CASE("a follower gets a snapshot first, then deltas and beats") {
  RelayFixture relay;
  relay.follow();
  const LinkId follower = followThrough(relay, 0);
  CHECK(relay.driver.takeOne<wire::ConfigurationSnapshotT>(follower).version == 10);
  relay.changeSecret("napisy", 11);
  const auto delta = relay.driver.takeOne<wire::ConfigurationDeltaT>(follower);
  CHECK(delta.from_version == 10);
  CHECK(delta.to_version == 11);
  relay.beat(11);
  CHECK(relay.driver.takeOne<wire::QuorumBeatT>(follower).version == 11);
  const LinkId late = followThrough(relay, 10);
  CHECK(relay.driver.takeOne<wire::ConfigurationDeltaT>(late).changes.size() == 1);
}

TEST_CASE("a relay that does not hear the store serves no followers") {
  RelayFixture relay;
  const LinkId follower = followThrough(relay, 0);
  CHECK(relay.driver.take<wire::RefusalT>(follower).size() == 1);
  CHECK(relay.driver.closed(follower));
}

TEST_CASE("beats to proxies name the last quorum round that the relay heard, no other") {
  RelayFixture relay;
  relay.follow();
  const LinkId link = relay.serve("proxy-1");
  relay.beat(10);
  relay.driver.advance(seconds(1));
  CHECK(relay.driver.take<wire::ViewBeatT>(link).back().round == relay.round);
  const auto heard = relay.round;
  relay.driver.advance(seconds(4));
  CHECK(relay.driver.take<wire::ViewBeatT>(link).back().round == heard);
}

TEST_CASE("the report names the smallest version in force over proxies and followers") {
  RelayFixture relay;
  relay.follow();
  const LinkId first = relay.serve("proxy-1");
  const LinkId second = relay.serve("proxy-2");
  relay.advanceWithBeats(2);
  relay.driver.take<wire::InForceReportT>(*relay.store);
  relay.changeSecret("napisy", 11);
  relay.acknowledge(first, 11);
  relay.driver.advance(milliseconds(600));
  CHECK(relay.driver.take<wire::InForceReportT>(*relay.store).empty());
  relay.acknowledge(second, 11);
  relay.driver.advance(milliseconds(600));
  const auto report = relay.driver.takeOne<wire::InForceReportT>(*relay.store);
  CHECK(report.in_force_version == 11);
  CHECK(report.proxies == 2);

  const LinkId follower = followThrough(relay, 11);
  wire::InForceReportT behind;
  behind.proxies = 5;
  behind.in_force_version = 7;
  relay.driver.receive(follower, behind);
  relay.driver.advance(milliseconds(600));
  const auto sum = relay.driver.takeOne<wire::InForceReportT>(*relay.store);
  CHECK(sum.in_force_version == 7);
  CHECK(sum.proxies == 7);
}

TEST_CASE("a status request collects proxies here and at followers, and does not wait for the silent") {
  RelayFixture relay;
  relay.follow();
  const LinkId proxy = relay.serve("proxy-1");
  const LinkId answering = followThrough(relay, 10);
  const LinkId silent = followThrough(relay, 10);
  relay.driver.receive(*relay.store, wire::StatusRequestT(), 44);
  CHECK(relay.driver.take<wire::StatusRequestT>(answering).size() == 1);
  const auto id = relay.driver.lastRequestId();
  CHECK(relay.driver.take<wire::StatusRequestT>(silent).size() == 1);
  wire::StatusReplyT reply;
  reply.proxies.push_back(std::make_shared<wire::ProxyStatusT>());
  reply.proxies[0]->node = "proxy-2";
  relay.driver.receive(answering, reply, id);
  CHECK(relay.driver.take<wire::StatusReplyT>(*relay.store).empty());
  relay.driver.advance(seconds(1));
  const auto whole = relay.driver.takeOne<wire::StatusReplyT>(*relay.store);
  CHECK(relay.driver.lastRequestId() == 44);
  REQUIRE(whole.proxies.size() == 2);
  CHECK(whole.proxies[0]->node == "proxy-1");
  CHECK(whole.proxies[0]->view_version == 10);
  CHECK(relay.core.proxyCount() == 1);
  relay.driver.lose(proxy);
  CHECK(relay.core.proxyCount() == 0);
}

TEST_CASE("claims go up under ids of their own and each answer goes down to its asker") {
  RelayFixture relay;
  relay.follow();
  const LinkId first = relay.serve("proxy-1");
  const LinkId second = relay.serve("proxy-2");
  const auto ask = [&](LinkId link, const std::string& tenant) {
    wire::ClaimRequestT request;
    request.tenant = tenant;
    relay.driver.receive(link, std::move(request), 5);
  };
  ask(first, "napisy");
  relay.driver.takeOne<wire::ClaimRequestT>(*relay.store);
  const auto first_id = relay.driver.lastRequestId();
  ask(second, "napisy");
  relay.driver.takeOne<wire::ClaimRequestT>(*relay.store);
  const auto second_id = relay.driver.lastRequestId();
  CHECK(first_id != second_id);

  SECTION("in any order") {
    wire::ClaimReplyT reply;
    reply.state = wire::ClaimState::InProgress;
    relay.driver.receive(*relay.store, reply, second_id);
    CHECK(relay.driver.take<wire::ClaimReplyT>(first).empty());
    CHECK(relay.driver.takeOne<wire::ClaimReplyT>(second).state == wire::ClaimState::InProgress);
    CHECK(relay.driver.lastRequestId() == 5);
    relay.driver.receive(*relay.store, reply, second_id);
    CHECK(relay.driver.take<wire::ClaimReplyT>(second).empty());
  }
  SECTION("as unknown when the upstream is lost") {
    relay.driver.lose(*relay.store);
    CHECK(relay.driver.takeOne<wire::ClaimReplyT>(first).outcome == wire::Outcome::Unknown);
    CHECK(relay.driver.takeOne<wire::ClaimReplyT>(second).outcome == wire::Outcome::Unknown);
    ask(first, "napisy");
    CHECK(relay.driver.takeOne<wire::ClaimReplyT>(first).outcome == wire::Outcome::NotRun);
  }
  SECTION("as unknown when the store is silent") {
    relay.driver.advance(seconds(3));
    CHECK(relay.driver.takeOne<wire::ClaimReplyT>(first).outcome == wire::Outcome::Unknown);
  }
  SECTION("not at all for a tenant that the node does not name") {
    ask(first, "protokoly");
    CHECK(relay.driver.takeOne<wire::ClaimReplyT>(first).outcome == wire::Outcome::NotRun);
    CHECK(relay.driver.take<wire::ClaimRequestT>(*relay.store).empty());
  }
}

TEST_CASE("stop orders reach the named proxy, followers, and the relay itself") {
  RelayFixture relay;
  relay.follow();
  const LinkId proxy = relay.serve("proxy-1");
  const LinkId other = relay.serve("proxy-2");
  const LinkId follower = followThrough(relay, 10);
  wire::StopOrderT order;
  order.kind = wire::StopKind::Proxy;
  order.name = "proxy-1";
  relay.driver.receive(*relay.store, order);
  CHECK(relay.driver.take<wire::StopOrderT>(proxy).size() == 1);
  CHECK(relay.driver.take<wire::StopOrderT>(other).empty());
  CHECK(relay.driver.take<wire::StopOrderT>(follower).size() == 1);
  order.kind = wire::StopKind::Relay;
  order.name = "relay-a1";
  relay.driver.receive(*relay.store, order);
  relay.driver.advance(milliseconds(10));
  CHECK(relay.driver.take<wire::GoodbyeT>(proxy).size() == 1);
}

TEST_CASE("a planned stop hands all proxies and followers over, and ends when they are gone") {
  RelayFixture relay;
  relay.follow();
  relay.joinPeer("relay-a2", "krk-a");
  const std::vector<LinkId> proxies{relay.serve("proxy-1"), relay.serve("proxy-2"), relay.serve("proxy-3")};
  const LinkId follower = followThrough(relay, 10);
  relay.core.beginStop(relay.driver.now());
  relay.driver.collect();
  relay.driver.advance(milliseconds(20));
  for (const LinkId proxy : proxies) CHECK(relay.driver.take<wire::GoodbyeT>(proxy).size() == 1);
  CHECK(relay.driver.take<wire::GoodbyeT>(follower).size() == 1);

  const LinkId late = relay.join("proxy-4");
  CHECK(static_cast<ErrorKind>(relay.driver.takeOne<wire::RefusalT>(late).error->kind) ==
        ErrorKind::Stopping);
  relay.changeSecret("napisy", 11);
  CHECK(relay.driver.take<wire::ViewDeltaT>(proxies[0]).size() == 1);
  CHECK_FALSE(relay.core.stopped());
  SECTION("all left") {
    for (const LinkId proxy : proxies) relay.driver.lose(proxy);
    relay.driver.lose(follower);
  }
  SECTION("the time is up") { relay.driver.advance(seconds(6)); }
  CHECK(relay.core.stopped());
}

}  // namespace
}  // namespace cometstand::relay::test
