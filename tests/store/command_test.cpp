// Operators' commands to a cluster of three replicas on an in-memory network.
#include <catch2/catch.hpp>

#include "net/frame_codec.h"
#include "store_fixture.h"

namespace cometstand::store::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t otherThan(std::size_t replica) { return (replica + 1) % 3; }

/// Waits until the encoded states of all three replicas are equal byte for byte.
void requireEqualStates(ThreeReplicaCluster& trio) {
  const auto is_equal = [&] {
    for (std::size_t i = 1; i < 3; ++i) {
      if (trio.network.core(i).stateMachine().save() != trio.network.core(0).stateMachine().save())
        return false;
    }
    return true;
  };
  REQUIRE(trio.network.runUntil(is_equal));
}

TEST_CASE("a change is accepted by a quorum and reaches every replica") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  const auto reply = trio.run(otherThan(leader), "change { put tenant wspolnota }");
  REQUIRE(reply.outcome == wire::Outcome::Completed);
  REQUIRE(reply.version == 1);
  requireEqualStates(trio);
  REQUIRE(trio.run(leader, "show tenants").rows.at(0)->cells.at(0) == "wspolnota");
}

TEST_CASE("of two changes with the same expected version only the first is accepted") {
  ThreeReplicaCluster trio;
  trio.begin();
  REQUIRE(trio.run(0, "change { put tenant wspolnota }").version == 1);
  const auto one = trio.send(
      0, ThreeReplicaCluster::command("change if version 1 { put tenant fundacja }", trio.nextId()));
  const auto two =
      trio.send(1, ThreeReplicaCluster::command("change if version 1 { put tenant studio }", trio.nextId()));
  const auto first = trio.answer(one);
  const auto second = trio.answer(two);
  const bool first_accepted = first.outcome == wire::Outcome::Completed;
  const auto& refused = first_accepted ? second : first;
  REQUIRE((first_accepted ? first : second).version == 2);
  REQUIRE(refused.outcome == wire::Outcome::NotRun);
  REQUIRE(kindOf(refused) == ErrorKind::Conflict);
  REQUIRE(refused.error->message.find("current version is 2") != std::string::npos);
  REQUIRE(trio.run(2, "show tenants").rows.size() == 2);
}

TEST_CASE("a retry after a lost reply gets the reply to the first attempt") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto id = trio.nextId();
  const auto request = ThreeReplicaCluster::command("change { put tenant wspolnota }", id);
  const auto lost_client = trio.send(0, request);
  REQUIRE(
      trio.network.runUntil([&] { return trio.network.core(0).stateMachine().catalog().version() == 1; }));
  trio.network.disconnect(lost_client);
  REQUIRE(trio.run(1, "change { put tenant fundacja }").version == 2);
  REQUIRE(trio.answer(trio.send(2, request)).version == 1);

  SECTION("a new leader gives the same reply") {
    trio.network.crash(*trio.network.leader());
    const auto leader = trio.waitForLeader();
    REQUIRE(trio.answer(trio.send(leader, request)).version == 1);
    REQUIRE(trio.network.core(leader).stateMachine().catalog().version() == 2);
  }
  SECTION("another command with the same request identifier is refused") {
    const auto reply =
        trio.answer(trio.send(0, ThreeReplicaCluster::command("change { put tenant studio }", id)));
    REQUIRE(reply.outcome == wire::Outcome::NotRun);
    REQUIRE(kindOf(reply) == ErrorKind::Mismatch);
  }
}

TEST_CASE("a leader that loses its quorum after the append replies unknown, and a retry gets the outcome") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  ThreeReplicaCluster trio(seed);
  trio.begin();
  const auto old_leader = trio.waitForLeader();
  const auto request = ThreeReplicaCluster::command("change { put tenant wspolnota }", trio.nextId());
  const auto client = trio.send(old_leader, request);
  // The delay before the partition varies with the seed, and with it how far the entry is replicated.
  trio.network.runFor(milliseconds(seed));
  trio.network.cut(old_leader);
  const auto reply = trio.answer(client);
  REQUIRE(reply.outcome != wire::Outcome::NotRun);
  if (reply.outcome == wire::Outcome::Unknown) REQUIRE(reply.error->retry_after_ms > 0);
  const auto leader = trio.waitForLeader();
  const auto found = trio.answer(trio.send(leader, request));
  REQUIRE(found.outcome == wire::Outcome::Completed);
  REQUIRE(found.version == 1);
  trio.network.mend(old_leader);
  requireEqualStates(trio);
  REQUIRE(trio.network.core(leader).stateMachine().catalog().version() == 1);
}

TEST_CASE("a leader that was suspended does not reply from its stale state") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto old_leader = trio.waitForLeader();
  REQUIRE(trio.run(old_leader, "change { put tenant wspolnota }").version == 1);
  // The partition also keeps the new leader's messages from the old one after it resumes.
  trio.network.cut(old_leader);
  trio.network.freeze(old_leader);
  REQUIRE(
      trio.network.runUntil([&] { return trio.network.leader() && *trio.network.leader() != old_leader; }));
  REQUIRE(trio.run(*trio.network.leader(), "change { delete tenant wspolnota }").version == 2);
  // These requests are in the old leader's socket buffer when it resumes.
  const auto query = trio.send(old_leader, ThreeReplicaCluster::command("show tenants", trio.nextId()));
  auto wrong = ThreeReplicaCluster::command("show tenants", trio.nextId());
  wrong.token = "wrong";
  const auto refusal = trio.send(old_leader, wrong);
  trio.network.runFor(seconds(1));
  trio.network.thaw(old_leader);
  REQUIRE(kindOf(trio.answer(query)) == ErrorKind::Unavailable);
  REQUIRE(kindOf(trio.answer(refusal)) == ErrorKind::Unavailable);
}

TEST_CASE("a partitioned leader refuses queries") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto old_leader = trio.waitForLeader();
  trio.network.cut(old_leader);
  const auto reply = trio.run(old_leader, "show version");
  REQUIRE(reply.outcome == wire::Outcome::NotRun);
  REQUIRE(kindOf(reply) == ErrorKind::Unavailable);
  REQUIRE(reply.error->retry_after_ms > 0);
}

TEST_CASE("after a restart of all replicas the state is recovered from disk") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto request = ThreeReplicaCluster::command("change { put tenant wspolnota }", trio.nextId());
  REQUIRE(trio.answer(trio.send(0, request)).version == 1);
  for (std::size_t i = 0; i < 3; ++i) trio.network.crash(i);
  trio.begin();
  REQUIRE(trio.answer(trio.send(1, request)).version == 1);
  REQUIRE(trio.run(0, "show version").version == 1);
}

TEST_CASE("a replica that missed compacted log entries catches up by a snapshot") {
  ThreeReplicaCluster trio;
  for (std::size_t i = 0; i < 3; ++i) {
    trio.network.options(i).consensus.snapshot_after_log_bytes = 4096;
    trio.network.options(i).consensus.entries_kept_after_snapshot = 0;
  }
  trio.begin();
  const auto lagging = otherThan(trio.waitForLeader());
  const auto early = ThreeReplicaCluster::command("change { put tenant early }", trio.nextId());
  REQUIRE(trio.answer(trio.send(0, early)).version == 1);
  trio.network.crash(lagging);
  const auto leader = trio.waitForLeader();
  for (int i = 0; i < 40; ++i) {
    const bool deletes = i % 3 == 2;
    const auto name = "t" + std::to_string(deletes ? i - 1 : i);
    REQUIRE(trio.run(leader, "change { " + std::string(deletes ? "delete" : "put") + " tenant " + name + " }")
                .outcome == wire::Outcome::Completed);
  }
  trio.network.start(lagging);
  requireEqualStates(trio);
  StateMachine restored;
  const auto bytes = trio.network.core(leader).stateMachine().save();
  restored.restore(bytes);
  REQUIRE(restored.save() == bytes);
  // The logs no longer hold the change, so the reply has to come from the snapshot.
  for (std::size_t i = 0; i < 3; ++i) trio.network.crash(i);
  trio.begin();
  REQUIRE(trio.answer(trio.send(lagging, early)).version == 1);
}

TEST_CASE("a graceful shutdown of the leader completes accepted commands and transfers leadership") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto old_leader = trio.waitForLeader();
  std::vector<MemoryNetwork::ClientId> clients;
  clients.reserve(20);
  for (int i = 0; i < 20; ++i) {
    clients.push_back(trio.send(
        old_leader,
        ThreeReplicaCluster::command("change { put tenant t" + std::to_string(i) + " }", trio.nextId())));
  }
  // Leaves time for the links to open and the commands to arrive.
  trio.network.runFor(milliseconds(2));
  trio.network.beginStop(old_leader);
  REQUIRE(trio.network.runUntil([&] { return trio.network.core(old_leader).stopped(); }, seconds(2)));
  for (const auto client : clients) REQUIRE(trio.answer(client).outcome == wire::Outcome::Completed);
  trio.network.crash(old_leader);
  REQUIRE(trio.waitForLeader() != old_leader);
}

TEST_CASE("a leader that shuts down does not transfer leadership to a crashed replica") {
  // Time since the crash of the other replica: longer and shorter than the heartbeat interval.
  const auto time_since_crash = GENERATE(milliseconds(200), milliseconds(1));
  ThreeReplicaCluster trio;
  trio.begin();
  const auto old_leader = trio.waitForLeader();
  // Leadership would be transferred to the first of equally suitable voters, so that one crashes.
  const std::size_t crashed = old_leader == 0 ? 1 : 0;
  trio.network.crash(crashed);
  trio.network.runFor(time_since_crash);
  trio.network.beginStop(old_leader);
  REQUIRE(trio.network.runUntil([&] { return trio.network.core(old_leader).stopped(); },
                                time_since_crash > milliseconds(50) ? milliseconds(100) : seconds(2)));
  REQUIRE(trio.network.runUntil([&] { return trio.network.leader().has_value(); }));
  REQUIRE(*trio.network.leader() == 3 - old_leader - crashed);
}

TEST_CASE(
    "leadership is transferred on command; a replica that never responded to the new leader is silent") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto old_leader = trio.waitForLeader();
  const auto target = otherThan(old_leader);
  const auto crashed = otherThan(target);
  trio.network.crash(crashed);
  const auto reply = trio.run(old_leader, "transfer leader to " + std::to_string(target + 1));
  REQUIRE(reply.outcome == wire::Outcome::Completed);
  REQUIRE(trio.network.leader() == target);
  const auto replicas = trio.run(target, "show replicas");
  REQUIRE(replicas.rows.at(crashed)->cells.back() == "silent");
  REQUIRE(replicas.rows.at(old_leader)->cells.back() == "active");
  REQUIRE(replicas.rows.at(target)->cells.at(4) == "leader");
  REQUIRE(kindOf(trio.run(target, "transfer leader to 9")) == ErrorKind::NotFound);
}

TEST_CASE("show quarantine is empty without quarantined content, and releasing unknown content fails") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  const auto shown = trio.run(leader, "show quarantine");
  REQUIRE(shown.outcome == wire::Outcome::Completed);
  REQUIRE(shown.rows.empty());
  REQUIRE(kindOf(trio.run(leader, "release content 39fc2d8932dd40fce561ebe2e83585ef")) ==
          ErrorKind::NotFound);
}

TEST_CASE("a tenant that floods the command queue cannot block the commands of another tenant") {
  ThreeReplicaCluster trio;
  for (std::size_t i = 0; i < 3; ++i) {
    trio.network.options(i).max_commands_waiting = 40;
    trio.network.options(i).max_batches_in_flight = 1;
    trio.network.options(i).max_commands_per_batch = 1;
  }
  trio.begin();
  const auto leader = trio.waitForLeader();
  REQUIRE(trio.run(leader, "change { put tenant wspolnota; put tenant fundacja }").version == 1);
  const auto relay = trio.follow(leader, "relay-1", "krk-a");
  const auto send_claim = [&](const std::string& tenant, std::uint64_t number) {
    wire::ClaimRequestT request;
    request.tenant = tenant;
    request.key = std::to_string(number);
    request.request_digest = std::make_shared<wire::Digest>(1, 1);
    request.attempt = "a";
    trio.network.send(relay, runtime::makeEnvelope(std::move(request), number));
  };
  for (std::uint64_t i = 1; i <= 100; ++i) send_claim("wspolnota", i);
  send_claim("fundacja", 101);
  auto& received = trio.network.received(relay);
  std::map<std::uint64_t, wire::ClaimReplyT> replies;
  REQUIRE(trio.network.runUntil([&] {
    for (const auto& message : received) {
      if (const auto* reply = message.body.AsClaimReply()) replies[message.request_id] = *reply;
    }
    return replies.size() == 101;
  }));
  REQUIRE(replies[101].state == wire::ClaimState::Granted);
  REQUIRE(replies[101].outcome == wire::Outcome::Completed);
  REQUIRE(replies[100].outcome == wire::Outcome::NotRun);
  REQUIRE(replies[100].error->retry_after_ms > 0);
}

TEST_CASE("credentials restrict operators to their tenant, and no reply contains a secret") {
  ThreeReplicaCluster trio;
  trio.begin();
  const std::string secret = "Sesame-Street-42";
  const auto hex = [](const std::vector<std::uint8_t>& bytes) {
    std::string text;
    for (const auto byte : bytes) text += fmt::format("{:02x}", byte);
    return text;
  };
  const std::vector<std::uint8_t> salt(16, 9);
  const auto hash = hex(config::hashToken(salt, "anna-token"));
  REQUIRE(trio.run(0,
                   "change { put tenant wspolnota; put tenant fundacja; put credential wspolnota/anna "
                   "token_hash " +
                       hash + " salt " + hex(salt) + "; put secret fundacja/key value \"" + secret + "\" }")
              .outcome == wire::Outcome::Completed);
  std::vector<MemoryNetwork::ClientId> clients;
  const auto as_anna = [&](const std::string& text, const std::string& token = "anna-token") {
    auto request = ThreeReplicaCluster::command(text, trio.nextId());
    request.tenant = "wspolnota";
    request.operator_name = "anna";
    request.token = token;
    clients.push_back(trio.send(clients.size() % 3, request));
    return trio.answer(clients.back());
  };
  REQUIRE(as_anna("change { put secret key value \"" + secret + "\" }").outcome == wire::Outcome::Completed);
  REQUIRE(kindOf(as_anna("change { put secret key value \"" + secret + "\" }", "wrong")) ==
          ErrorKind::Unauthenticated);
  REQUIRE(kindOf(as_anna("change { put secret fundacja/key value \"" + secret + "\" }")) ==
          ErrorKind::Forbidden);
  // Excludes this reply from the check below: its error repeats the tenant name in the operator's command.
  clients.pop_back();
  REQUIRE(kindOf(as_anna("change { put secret key value \"" + secret + "\" oops }")) == ErrorKind::Malformed);
  REQUIRE(kindOf(as_anna("change { put route r path /a to nowhere secret key; put secret k2 value \"" +
                         secret + "\" }")) == ErrorKind::Reference);
  REQUIRE(kindOf(as_anna("stop proxy n1")) == ErrorKind::Forbidden);
  for (const auto* query :
       {"show secrets", "show routes", "show services", "show changes last 50", "show nodes", "show tenants",
        "show proxies", "show route /a", "show version", "show replicas"}) {
    REQUIRE(as_anna(query).outcome == wire::Outcome::Completed);
  }
  REQUIRE(as_anna("show secrets").rows.size() == 1);
  REQUIRE(as_anna("show tenants").rows.size() == 1);
  for (const auto client : clients) {
    for (const auto& message : trio.network.received(client)) {
      const auto frame = net::encodeFrame(message);
      const std::string bytes(frame.begin(), frame.end());
      REQUIRE(bytes.find(secret) == std::string::npos);
      REQUIRE(bytes.find(hash) == std::string::npos);
      REQUIRE(bytes.find("fundacja") == std::string::npos);
    }
  }
}

}  // namespace
}  // namespace cometstand::store::test
