// Tests of what the store sends to relays: configuration, heartbeats, and replies to claims.
#include <catch2/catch.hpp>

#include "store_fixture.h"

namespace cometstand::store::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Message>
const Message* lastOf(const std::vector<wire::EnvelopeT>& received,
                      const Message* (wire::BodyUnion::*as)() const) {
  for (auto message = received.rbegin(); message != received.rend(); ++message) {
    if (const auto* found = (message->body.*as)()) return found;
  }
  return nullptr;
}

wire::ClaimRequestT claimRequest(const std::string& attempt, std::uint64_t digest = 1) {
  wire::ClaimRequestT request;
  request.tenant = "wspolnota";
  request.key = "invoice-1";
  request.request_digest = std::make_shared<wire::Digest>(digest, 0);
  request.attempt = attempt;
  return request;
}

wire::ClaimFinishT claimFinish(const std::string& attempt, wire::ClaimEnd end) {
  wire::ClaimFinishT finish;
  finish.tenant = "wspolnota";
  finish.key = "invoice-1";
  finish.attempt = attempt;
  finish.end = end;
  if (end == wire::ClaimEnd::Completed) {
    finish.answer = std::make_shared<wire::RecordedAnswerT>();
    finish.answer->status = 201;
    finish.answer->body = {'o', 'k'};
  }
  return finish;
}

TEST_CASE("a relay receives a snapshot, then deltas, heartbeats and freshness replies") {
  ThreeReplicaCluster trio;
  for (std::size_t i = 0; i < 3; ++i) trio.network.options(i).beat_interval = milliseconds(50);
  trio.begin();
  const auto leader = trio.waitForLeader();
  REQUIRE(trio.run(leader, "change { put tenant wspolnota }").version == 1);
  const auto refused = trio.follow((leader + 1) % 3, "relay-1", "krk-a");
  const auto* refusal = trio.network.received(refused).front().body.AsRefusal();
  REQUIRE(refusal != nullptr);
  REQUIRE(refusal->alternatives.at(0)->port == trio.network.options(leader).self.port);

  const auto relay = trio.follow(leader, "relay-1", "krk-a");
  auto& received = trio.network.received(relay);
  REQUIRE(received.front().body.AsConfigurationSnapshot()->version == 1);
  CHECK(received.front().body.AsConfigurationSnapshot()->history_from == 0);
  REQUIRE(trio.run(leader, "change { put tenant fundacja }").version == 2);
  REQUIRE(trio.network.runUntil(
      [&] { return lastOf(received, &wire::BodyUnion::AsConfigurationDelta) != nullptr; }));
  const auto* delta = lastOf(received, &wire::BodyUnion::AsConfigurationDelta);
  REQUIRE(delta->from_version == 1);
  REQUIRE(delta->to_version == 2);
  REQUIRE(delta->changes.size() == 1);
  REQUIRE(trio.network.runUntil([&] {
    const auto* beat = lastOf(received, &wire::BodyUnion::AsQuorumBeat);
    return beat != nullptr && beat->version == 2 && beat->round > 0;
  }));

  trio.network.send(relay, runtime::makeEnvelope(wire::FreshnessRequestT(), 77));
  REQUIRE(trio.network.runUntil([&] { return received.back().request_id == 77; }));
  REQUIRE(received.back().body.AsQuorumBeat()->version == 2);

  // Without a quorum, a leader must not send heartbeats, even while a partition keeps it from learning that
  // it was replaced.
  trio.network.cut(leader);
  trio.network.runFor(milliseconds(3));
  received.clear();
  trio.network.send(relay, runtime::makeEnvelope(wire::FreshnessRequestT(), 78));
  trio.network.runFor(seconds(2));
  REQUIRE(lastOf(received, &wire::BodyUnion::AsQuorumBeat) == nullptr);
  REQUIRE(lastOf(received, &wire::BodyUnion::AsRefusal) != nullptr);
  REQUIRE(lastOf(received, &wire::BodyUnion::AsGoodbye) != nullptr);
}

TEST_CASE("only one relay per zone is a reader; a reader that no longer responds is replaced") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  const auto first = trio.follow(leader, "relay-1", "krk-a");
  const auto second = trio.follow(leader, "relay-2", "krk-a");
  REQUIRE(trio.network.received(second).front().body.AsRefusal()->alternatives.at(0)->port == 9);
  const auto& received = trio.network.received(first);
  REQUIRE(
      trio.network.runUntil([&] { return lastOf(received, &wire::BodyUnion::AsStatusRequest) != nullptr; }));
  SECTION("a reader that replies to the status request is kept") {
    trio.network.send(first, runtime::makeEnvelope(wire::StatusReplyT()));
    trio.network.runFor(seconds(5));
    REQUIRE(trio.network.isConnected(first));
  }
  SECTION("a reader that does not reply is dropped and another relay is admitted") {
    REQUIRE(trio.network.runUntil([&] { return !trio.network.isConnected(first); }));
    const auto third = trio.follow(leader, "relay-2", "krk-a");
    REQUIRE(trio.network.received(third).front().body.AsQuorumBeat() != nullptr);
  }
}

TEST_CASE("relays that connect at once are admitted at a limited rate, up to the reader limit") {
  ThreeReplicaCluster trio;
  for (std::size_t i = 0; i < 3; ++i) {
    trio.network.options(i).reader_join_burst = 4;
    trio.network.options(i).reader_join_rate = 1;
    trio.network.options(i).max_readers = 6;
  }
  trio.begin();
  const auto leader = trio.waitForLeader();
  for (int i = 0; i < 10; ++i) {
    const auto relay = trio.follow(leader, "relay-" + std::to_string(i), "zone-" + std::to_string(i));
    const auto* refusal = trio.network.received(relay).front().body.AsRefusal();
    REQUIRE((refusal == nullptr) == (i < 4));
    if (refusal != nullptr) REQUIRE(refusal->error->retry_after_ms > 0);
  }
  trio.network.runFor(seconds(10));
  for (int i = 4; i < 8; ++i) {
    const auto relay = trio.follow(leader, "relay-" + std::to_string(i), "zone-" + std::to_string(i));
    REQUIRE((trio.network.received(relay).front().body.AsRefusal() == nullptr) == (i < 6));
  }
  REQUIRE(trio.network.core(leader).metrics().readers == 6);
}

TEST_CASE("the wait command completes after as many proxies as there are nodes report the version") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  REQUIRE(trio.run(leader,
                   "change { put tenant wspolnota; put node n1 zone krk-a tenants (wspolnota); "
                   "put node n2 zone krk-a tenants (wspolnota) }")
              .version == 1);
  const auto relay = trio.follow(leader, "relay-1", "krk-a");
  const auto wait = trio.send(
      (leader + 1) % 3, ThreeReplicaCluster::command("wait version 1 in force timeout 30s", trio.nextId()));
  const auto report = [&](std::uint32_t proxies, std::uint64_t version) {
    wire::InForceReportT message;
    message.proxies = proxies;
    message.in_force_version = version;
    trio.network.send(relay, runtime::makeEnvelope(std::move(message)));
    trio.network.runFor(milliseconds(500));
  };
  report(1, 1);
  REQUIRE(trio.network.received(wait).empty());
  report(2, 0);
  REQUIRE(trio.network.received(wait).empty());
  report(2, 1);
  REQUIRE(trio.answer(wait).outcome == wire::Outcome::Completed);
  const auto late = trio.run(leader, "wait version 2 in force timeout 1s");
  REQUIRE(late.outcome == wire::Outcome::NotRun);
  REQUIRE(kindOf(late) == ErrorKind::Timeout);
}

TEST_CASE("a claim is granted to one attempt and ends as released, completed or unknown") {
  ThreeReplicaCluster trio;
  for (std::size_t i = 0; i < 3; ++i) trio.network.options(i).claim_time_limit = seconds(20);
  trio.begin();
  auto leader = trio.waitForLeader();
  REQUIRE(trio.run(leader, "change { put tenant wspolnota }").version == 1);
  auto relay = trio.follow(leader, "relay-1", "krk-a");
  const auto state = [&](const std::string& attempt, std::uint64_t digest = 1) {
    const auto reply = trio.claim(relay, claimRequest(attempt, digest));
    REQUIRE(reply.outcome == wire::Outcome::Completed);
    return reply.state;
  };
  REQUIRE(state("a") == wire::ClaimState::Granted);
  REQUIRE(state("a") == wire::ClaimState::Granted);
  REQUIRE(state("b") == wire::ClaimState::InProgress);
  REQUIRE(state("b", 2) == wire::ClaimState::Mismatch);
  const auto foreign = trio.claim(relay, claimFinish("b", wire::ClaimEnd::Released));
  REQUIRE(foreign.outcome == wire::Outcome::NotRun);

  SECTION("released: the claim is granted to the next attempt") {
    trio.claim(relay, claimFinish("a", wire::ClaimEnd::Released));
    REQUIRE(state("b") == wire::ClaimState::Granted);
  }
  SECTION("completed: the recorded answer is returned again, also by the next leader") {
    trio.claim(relay, claimFinish("a", wire::ClaimEnd::Completed));
    REQUIRE(trio.claim(relay, claimFinish("a", wire::ClaimEnd::Completed)).state ==
            wire::ClaimState::Completed);
    trio.network.crash(leader);
    leader = trio.waitForLeader();
    relay = trio.follow(leader, "relay-1", "krk-a");
    const auto reply = trio.claim(relay, claimRequest("b"));
    REQUIRE(reply.state == wire::ClaimState::Completed);
    REQUIRE(reply.answer->status == 201);
    trio.claim(relay, claimFinish("a", wire::ClaimEnd::Released));
    REQUIRE(state("b") == wire::ClaimState::Completed);
  }
  SECTION("unknown: other attempts get unknown until the holder reports completion") {
    trio.claim(relay, claimFinish("a", wire::ClaimEnd::Unknown));
    REQUIRE(state("b") == wire::ClaimState::Unknown);
    trio.claim(relay, claimFinish("a", wire::ClaimEnd::Completed));
    REQUIRE(state("b") == wire::ClaimState::Completed);
  }
  SECTION("expired: the claim becomes unknown, and a late finish by the holder is accepted") {
    trio.network.runFor(seconds(30));
    REQUIRE(state("b") == wire::ClaimState::Unknown);
    REQUIRE(state("a") == wire::ClaimState::Unknown);
    trio.claim(relay, claimFinish("a", wire::ClaimEnd::Completed));
    REQUIRE(state("b") == wire::ClaimState::Completed);
  }
  SECTION("no quorum: an appended claim is answered unknown, a later claim not run") {
    trio.network.cut(leader);
    REQUIRE(trio.claim(relay, claimRequest("c")).outcome == wire::Outcome::Unknown);
    REQUIRE(trio.claim(relay, claimRequest("d")).outcome == wire::Outcome::NotRun);
  }
}

TEST_CASE("a leader that stops under continuous claims answers no claim as unknown") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  REQUIRE(trio.run(leader, "change { put tenant wspolnota }").version == 1);
  const auto relay = trio.follow(leader, "relay-1", "krk-a");
  std::uint64_t sent = 0;
  const auto send_claim = [&] {
    auto request = claimRequest("a");
    request.key = "invoice-" + std::to_string(++sent);
    trio.network.send(relay, runtime::makeEnvelope(std::move(request), sent));
    trio.network.runFor(milliseconds(1));
  };
  for (int i = 0; i < 20; ++i) send_claim();
  trio.network.beginStop(leader);
  for (int i = 0; i < 500 && !trio.network.core(leader).stopped(); ++i) send_claim();
  REQUIRE(trio.network.core(leader).stopped());
  trio.network.runFor(milliseconds(2));
  std::uint64_t answers = 0;
  for (const auto& message : trio.network.received(relay)) {
    const auto* reply = message.body.AsClaimReply();
    if (reply == nullptr) continue;
    ++answers;
    REQUIRE(reply->outcome != wire::Outcome::Unknown);
    if (reply->outcome == wire::Outcome::NotRun) REQUIRE(reply->error->retry_after_ms > 0);
  }
  REQUIRE(answers == sent);
}

TEST_CASE("a leader that stops redirects its readers only after the next leader is known") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  const auto relay = trio.follow(leader, "relay-1", "krk-a");
  trio.network.beginStop(leader);
  for (int i = 0; i < 3000 && !trio.network.core(leader).stopped(); ++i) trio.network.runFor(milliseconds(1));
  REQUIRE(trio.network.core(leader).stopped());
  trio.network.runFor(milliseconds(2));
  const auto& received = trio.network.received(relay);
  const auto* goodbye = lastOf(received, &wire::BodyUnion::AsGoodbye);
  REQUIRE(goodbye != nullptr);
  REQUIRE(goodbye->alternatives.size() == 1);
}

}  // namespace
}  // namespace cometstand::store::test
