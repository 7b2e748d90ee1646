#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

using wire::ForwardOutcome;

// wn-mesh scale-1: after all processes had ended, targets that ran on got nothing until their next heartbeat.
TEST_CASE("a sidecar that starts asks its target, and passes requests to it before its next heartbeat") {
  SidecarFixture sidecar;
  sidecar.configure();
  REQUIRE(sidecar.target.asked == std::vector<std::string>{"/health"});
  sidecar.core.onHealth({true, "a", 2}, sidecar.now);
  sidecar.call("/read/1");
  REQUIRE(sidecar.target.orders.size() == 1);
  CHECK(sidecar.target.orders[0].instance == "a");
  // The heartbeat knows better, whatever its number.
  sidecar.core.onHeartbeat(SidecarFixture::makeBeat("a", 1, false), sidecar.now);
  CHECK(sidecar.core.gate().target().condition() == TargetCondition::Leaving);
}

TEST_CASE(
    "a target that is not well when asked gets nothing, and what was heard counts more than what was asked") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.core.onHealth({false, "a", 2}, sidecar.now);
  CHECK(sidecar.core.gate().target().condition() == TargetCondition::Unheard);
  sidecar.core.onHeartbeat(SidecarFixture::makeBeat("a", 3, false), sidecar.now);
  sidecar.core.onHealth({true, "a", 2}, sidecar.now);
  CHECK(sidecar.core.gate().target().condition() == TargetCondition::Leaving);
}

TEST_CASE("the revision in force never falls, and an update that does not fit is asked for again in whole") {
  SidecarFixture sidecar;
  sidecar.configure(5);
  const auto subscriptions = [&sidecar] {
    return std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [](const auto& message) {
      const auto* request = message.message->body.AsNodeSubscribe();
      return request != nullptr && request->have_revision == 0;
    });
  };
  const auto before = subscriptions();
  wire::MeshUpdateT older;
  older.revision = 4;
  older.configuration = mesh::compress(mesh::encodeConfiguration(SidecarFixture::makeConfiguration()));
  sidecar.say(SidecarFixture::kStore, older);
  CHECK(sidecar.core.routes()->revision() == 5);
  auto patch = older;
  patch.revision = 7;
  patch.base_revision = 6;
  sidecar.say(SidecarFixture::kStore, patch);
  CHECK(sidecar.core.routes()->revision() == 5);
  CHECK(subscriptions() == before + 1);
}

TEST_CASE("a store that no longer hears its leader is left for one that does") {
  SidecarFixture sidecar;
  const runtime::Address other{"10.0.0.8", 7000};
  auto beat = sidecar.tellStores({{other, "zone-b"}});
  REQUIRE(sidecar.links.contains(other));
  beat.replicas.clear();
  sidecar.say(other, beat);
  beat.is_current = false;
  sidecar.sent.clear();
  sidecar.say(SidecarFixture::kStore, beat);
  const auto asked = std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [&](const auto& message) {
    return message.link == sidecar.links.at(other) && message.message->body.AsNodeSubscribe() != nullptr;
  });
  CHECK(asked == 1);
}

TEST_CASE("a store that was silent while another was the source has a while to answer once it is chosen") {
  SidecarFixture sidecar;
  const runtime::Address other{"10.0.0.8", 7000};
  auto beat = sidecar.tellStores({{other, "zone-b"}});
  beat.replicas.clear();
  sidecar.say(other, beat);
  for (int i = 0; i < 50; ++i) {
    sidecar.pass(milliseconds(200));
    sidecar.say(SidecarFixture::kStore, beat);
  }
  beat.is_current = false;
  sidecar.say(SidecarFixture::kStore, beat);
  sidecar.sent.clear();
  sidecar.pass(milliseconds(1'000));
  const auto link = sidecar.links.at(other);
  beat.is_current = true;
  sidecar.say(other, beat);
  CHECK(sidecar.links.at(other) == link);
}

// steppe-record, trouble-1, 5.04 to 7.56 s (score e68ce570, CONFIG): the only store of a zone was frozen, and
// its sidecars took no other one, since what they had heard of the others' revisions was seconds old.
TEST_CASE("a silent source is left for a store whose last word is older than the revision in force") {
  SidecarFixture sidecar;
  const runtime::Address other{"10.0.0.8", 7000};
  auto beat = sidecar.tellStores({{SidecarFixture::kStore, "zone-a"}, {other, "zone-b"}});
  beat.replicas.clear();
  sidecar.say(other, beat);
  sidecar.configure(5);
  sidecar.sent.clear();
  sidecar.pass(std::chrono::seconds(3));
  const auto subscribed_to = [&sidecar](const runtime::Address& store) {
    return std::any_of(sidecar.sent.begin(), sidecar.sent.end(), [&](const auto& message) {
      const auto* request = message.message->body.AsNodeSubscribe();
      return message.link == sidecar.links.at(store) && request != nullptr && request->wants_updates;
    });
  };
  SECTION("while it says nothing else") {}
  SECTION("but not for one that says so now") {
    beat.revision = 4;
    sidecar.say(other, beat);
    sidecar.sent.clear();
    sidecar.say(other, beat);
    sidecar.pass(milliseconds(300));
    CHECK_FALSE(subscribed_to(other));
    return;
  }
  CHECK(subscribed_to(other));
}

// steppe-record-large, trouble-1, 11.6 s: machines that had been cut off took configuration and endpoints
// from a store of another zone first, and from their own zone's a moment later.
TEST_CASE("after a cut a sidecar waits a while for a store of its own zone") {
  SidecarFixture sidecar;
  const runtime::Address near{"10.0.0.8", 7000};
  auto beat = sidecar.tellStores({{SidecarFixture::kStore, "zone-b"}, {near, "zone-a"}});
  sidecar.configure();
  const auto subscriptions_to = [&sidecar](const runtime::Address& store) {
    return std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [&](const auto& message) {
      const auto* request = message.message->body.AsNodeSubscribe();
      return message.link == sidecar.links.at(store) && request != nullptr && request->wants_updates;
    });
  };
  for (const auto& store : {SidecarFixture::kStore, near}) {
    sidecar.core.onLinkClosed(sidecar.links.at(store), sidecar.now);
    sidecar.step();
  }
  sidecar.pass(milliseconds(200));
  sidecar.sent.clear();
  beat.replicas.clear();
  beat.revision = 1;
  sidecar.say(SidecarFixture::kStore, beat);
  CHECK(subscriptions_to(SidecarFixture::kStore) == 0);
  SECTION("which is taken when it comes") {
    sidecar.say(near, beat);
    CHECK(subscriptions_to(near) == 1);
  }
  SECTION("and takes another if it does not come") {
    sidecar.pass(milliseconds(600));
    CHECK(subscriptions_to(SidecarFixture::kStore) == 1);
  }
}

TEST_CASE("a planned stop ends before its time limit, also with a request that is never answered") {
  auto options = SidecarFixture::makeOptions();
  options.stop_time_limit = std::chrono::seconds(3);
  SidecarFixture sidecar(options);
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.call("/read/1", std::chrono::seconds(60));
  sidecar.core.beginStop(sidecar.now);
  sidecar.step();
  sidecar.pass(options.stop_time_limit - SidecarOptions::kStopReserve + milliseconds(60));
  CHECK(sidecar.core.stopped());
}

// The shifted deployment, trouble-1: four machines in turn stopped each 1.2 s, and a tenth of all slots stood
// empty while each served its callers for two seconds more.
TEST_CASE("in a planned stop the target goes on until what it gets would outlast the stop") {
  const auto options = SidecarFixture::makeOptions();
  SidecarFixture sidecar(options);
  sidecar.configure();
  sidecar.core.onHeartbeat(SidecarFixture::makeBeat("t1", 1), sidecar.now);
  sidecar.step();
  const auto runs = [&sidecar] { return sidecar.target.orders.size(); };
  const auto finish = [&sidecar] {
    RunResult result;
    result.reply.outcome = wire::ForwardOutcome::Answered;
    result.reply.status = 200;
    sidecar.core.onRunResult(sidecar.target.orders.back().id, result, sidecar.now);
    sidecar.step();
  };
  const auto withdrawals = [&sidecar] {
    return std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [](const auto& message) {
      const auto* update = message.message->body.AsEndpointUpdate();
      return update != nullptr && !update->records.empty() &&
             update->records.front()->state == wire::EndpointState::Leaving;
    });
  };
  sidecar.call("/read/1");
  sidecar.now += milliseconds(200);
  finish();
  sidecar.core.beginStop(sidecar.now);
  sidecar.step();
  CHECK_FALSE(sidecar.core.ready());
  sidecar.pass(options.stop_minimum - milliseconds(800));
  CHECK(withdrawals() == 0);
  sidecar.call("/read/2");
  CHECK(runs() == 2);
  finish();
  // Two usual runs before the end of the stop the gate is closed, and everybody was told before.
  sidecar.pass(milliseconds(500));
  CHECK(withdrawals() > 0);
  sidecar.call("/read/3");
  CHECK(runs() == 2);
  sidecar.pass(milliseconds(400));
  CHECK(sidecar.core.stopped());
}

TEST_CASE("a sidecar tries the stores that its settings name later") {
  SidecarFixture sidecar;
  const runtime::Address later{"10.0.0.77", 7000};
  sidecar.core.setSeeds({later}, sidecar.now);
  sidecar.pass(milliseconds(10));
  CHECK(sidecar.links.contains(later));
}

}  // namespace cometstand::sidecar::test
