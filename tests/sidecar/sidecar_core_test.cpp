#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

using wire::ForwardOutcome;

// After all sidecars and stores had restarted, targets that kept running got no requests until their next
// heartbeat.
TEST_CASE(
    "a sidecar that starts checks its target's health and sends it requests before the next heartbeat") {
  SidecarFixture sidecar;
  sidecar.configure();
  REQUIRE(sidecar.target.health_checks == std::vector<std::string>{"/health"});
  sidecar.core.onHealth({true, "a", 2}, sidecar.now);
  sidecar.call("/read/1");
  REQUIRE(sidecar.target.orders.size() == 1);
  CHECK(sidecar.target.orders[0].instance == "a");
  // A heartbeat overrides the health check, whatever its sequence number.
  sidecar.core.onHeartbeat(SidecarFixture::makeHeartbeat("a", 1, false), sidecar.now);
  CHECK(sidecar.core.gate().target().condition() == TargetCondition::Leaving);
}

TEST_CASE("a target that fails its health check gets no requests, and a heartbeat overrides a health check") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.core.onHealth({false, "a", 2}, sidecar.now);
  CHECK(sidecar.core.gate().target().condition() == TargetCondition::Unknown);
  sidecar.core.onHeartbeat(SidecarFixture::makeHeartbeat("a", 3, false), sidecar.now);
  sidecar.core.onHealth({true, "a", 2}, sidecar.now);
  CHECK(sidecar.core.gate().target().condition() == TargetCondition::Leaving);
}

TEST_CASE(
    "the active revision never decreases, and a full configuration is requested after an update that does "
    "not apply") {
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
  sidecar.deliver(SidecarFixture::kStore, older);
  CHECK(sidecar.core.routes()->revision() == 5);
  auto patch = older;
  patch.revision = 7;
  patch.base_revision = 6;
  sidecar.deliver(SidecarFixture::kStore, patch);
  CHECK(sidecar.core.routes()->revision() == 5);
  CHECK(subscriptions() == before + 1);
}

TEST_CASE("a sidecar switches from a store that lost contact with its leader to one that has not") {
  SidecarFixture sidecar;
  const runtime::Address other{"10.0.0.8", 7000};
  auto beat = sidecar.announceStores({{other, "zone-b"}});
  REQUIRE(sidecar.links.contains(other));
  beat.replicas.clear();
  sidecar.deliver(other, beat);
  beat.is_current = false;
  sidecar.sent.clear();
  sidecar.deliver(SidecarFixture::kStore, beat);
  const auto subscriptions =
      std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [&](const auto& message) {
        return message.link == sidecar.links.at(other) && message.message->body.AsNodeSubscribe() != nullptr;
      });
  CHECK(subscriptions == 1);
}

TEST_CASE("a store that sent nothing while another was the source gets time to respond once it is chosen") {
  SidecarFixture sidecar;
  const runtime::Address other{"10.0.0.8", 7000};
  auto beat = sidecar.announceStores({{other, "zone-b"}});
  beat.replicas.clear();
  sidecar.deliver(other, beat);
  for (int i = 0; i < 50; ++i) {
    sidecar.advance(milliseconds(200));
    sidecar.deliver(SidecarFixture::kStore, beat);
  }
  beat.is_current = false;
  sidecar.deliver(SidecarFixture::kStore, beat);
  sidecar.sent.clear();
  sidecar.advance(milliseconds(1'000));
  const auto link = sidecar.links.at(other);
  beat.is_current = true;
  sidecar.deliver(other, beat);
  CHECK(sidecar.links.at(other) == link);
}

// The only store of a zone froze for 2.5 s, and its sidecars switched to no other store, because the
// revisions that the others had last reported were seconds old and below the active one.
TEST_CASE("a silent source is replaced by a store whose last heartbeat has a revision below the active one") {
  SidecarFixture sidecar;
  const runtime::Address other{"10.0.0.8", 7000};
  auto beat = sidecar.announceStores({{SidecarFixture::kStore, "zone-a"}, {other, "zone-b"}});
  beat.replicas.clear();
  sidecar.deliver(other, beat);
  sidecar.configure(5);
  sidecar.sent.clear();
  sidecar.advance(std::chrono::seconds(3));
  const auto subscribed_to = [&sidecar](const runtime::Address& store) {
    return std::any_of(sidecar.sent.begin(), sidecar.sent.end(), [&](const auto& message) {
      const auto* request = message.message->body.AsNodeSubscribe();
      return message.link == sidecar.links.at(store) && request != nullptr && request->wants_updates;
    });
  };
  SECTION("if the other store sends nothing newer") {}
  SECTION("but not if the other store now reports a lower revision") {
    beat.revision = 4;
    sidecar.deliver(other, beat);
    sidecar.sent.clear();
    sidecar.deliver(other, beat);
    sidecar.advance(milliseconds(300));
    CHECK_FALSE(subscribed_to(other));
    return;
  }
  CHECK(subscribed_to(other));
}

// After a network partition had ended, sidecars received the configuration and the endpoints twice: first
// from a store of another zone and a moment later from a store of their own zone.
TEST_CASE("after a partition a sidecar waits for a store of its own zone before it chooses another") {
  SidecarFixture sidecar;
  const runtime::Address own_zone_store{"10.0.0.8", 7000};
  auto beat = sidecar.announceStores({{SidecarFixture::kStore, "zone-b"}, {own_zone_store, "zone-a"}});
  sidecar.configure();
  const auto subscriptions_to = [&sidecar](const runtime::Address& store) {
    return std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [&](const auto& message) {
      const auto* request = message.message->body.AsNodeSubscribe();
      return message.link == sidecar.links.at(store) && request != nullptr && request->wants_updates;
    });
  };
  for (const auto& store : {SidecarFixture::kStore, own_zone_store}) {
    sidecar.core.onLinkClosed(sidecar.links.at(store), sidecar.now);
    sidecar.step();
  }
  sidecar.advance(milliseconds(200));
  sidecar.sent.clear();
  beat.replicas.clear();
  beat.revision = 1;
  sidecar.deliver(SidecarFixture::kStore, beat);
  CHECK(subscriptions_to(SidecarFixture::kStore) == 0);
  SECTION("chooses the own zone's store when it connects") {
    sidecar.deliver(own_zone_store, beat);
    CHECK(subscriptions_to(own_zone_store) == 1);
  }
  SECTION("chooses the other store if the own zone's does not connect") {
    sidecar.advance(milliseconds(600));
    CHECK(subscriptions_to(SidecarFixture::kStore) == 1);
  }
}

TEST_CASE("a planned stop ends before its time limit even with a request that is never answered") {
  auto options = SidecarFixture::makeOptions();
  options.stop_time_limit = std::chrono::seconds(3);
  SidecarFixture sidecar(options);
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.call("/read/1", std::chrono::seconds(60));
  sidecar.core.beginStop(sidecar.now);
  sidecar.step();
  sidecar.advance(options.stop_time_limit - SidecarOptions::kStopReserve + milliseconds(60));
  CHECK(sidecar.core.stopped());
}

// With four machines stopping in turn every 1.2 s, a tenth of all slots stayed empty, because the targets got
// no more requests while the sidecars served their callers for two more seconds.
TEST_CASE("in a planned stop the target gets requests until they would outlast the stop") {
  const auto options = SidecarFixture::makeOptions();
  SidecarFixture sidecar(options);
  sidecar.configure();
  sidecar.core.onHeartbeat(SidecarFixture::makeHeartbeat("t1", 1), sidecar.now);
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
  sidecar.advance(options.stop_minimum - milliseconds(800));
  CHECK(withdrawals() == 0);
  sidecar.call("/read/2");
  CHECK(runs() == 2);
  finish();
  // The gate closes two usual run times before the end of the stop, after the withdrawal was published.
  sidecar.advance(milliseconds(500));
  CHECK(withdrawals() > 0);
  sidecar.call("/read/3");
  CHECK(runs() == 2);
  sidecar.advance(milliseconds(400));
  CHECK(sidecar.core.stopped());
}

TEST_CASE("a sidecar connects to seeds that are added to its settings later") {
  SidecarFixture sidecar;
  const runtime::Address later_seed{"10.0.0.77", 7000};
  sidecar.core.setSeeds({later_seed}, sidecar.now);
  sidecar.advance(milliseconds(10));
  CHECK(sidecar.links.contains(later_seed));
}

}  // namespace cometstand::sidecar::test
