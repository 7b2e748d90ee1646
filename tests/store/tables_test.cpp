// Eviction policies of the replicated tables, and snapshots written in slices.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "config/object_digest.h"
#include "store/claim_table.h"
#include "store/request_table.h"
#include "store/snapshot_writer.h"
#include "store/state_machine.h"

namespace cometstand::store {
namespace {

wire::ChangeCommandT change(const std::string& tenant, std::uint64_t time) {
  wire::ChangeCommandT command;
  command.tenant = tenant;
  command.request_id = std::to_string(time) + "-a";
  command.operator_name = "anna";
  command.text_digest = std::make_shared<wire::Digest>(config::textDigest("change"));
  return command;
}

wire::ClaimFinishT finishOf(const wire::ClaimRequestT& request, std::size_t answer_bytes) {
  wire::ClaimFinishT finish;
  finish.tenant = request.tenant;
  finish.key = request.key;
  finish.attempt = request.attempt;
  finish.answer = std::make_shared<wire::RecordedAnswerT>();
  finish.answer->body.resize(answer_bytes);
  return finish;
}

wire::ClaimRequestT claim(const std::string& tenant, int number) {
  wire::ClaimRequestT request;
  request.tenant = tenant;
  request.key = "key-" + std::to_string(number);
  request.request_digest = std::make_shared<wire::Digest>(1, 1);
  request.attempt = "attempt";
  return request;
}

TEST_CASE("an evicted request identifier gets the outcome unknown and does not count as new") {
  RequestTable table(3, 5);
  for (std::uint64_t time = 1; time <= 5; ++time) table.record(change("a", time), {});
  REQUIRE(table.findReply(change("a", 1))->outcome == wire::Outcome::Unknown);
  REQUIRE(table.findReply(change("a", 2))->outcome == wire::Outcome::Unknown);
  REQUIRE(table.findReply(change("a", 3))->outcome == wire::Outcome::Completed);
  REQUIRE_FALSE(table.findReply(change("a", 6)).has_value());
  // Eviction for one tenant does not affect another; beyond the total, the largest tenant is evicted from.
  REQUIRE_FALSE(table.findReply(change("b", 1)).has_value());
  for (std::uint64_t time = 1; time <= 3; ++time) table.record(change("b", time), {});
  REQUIRE(table.size() == 5);
  REQUIRE(table.findReply(change("a", 3))->outcome == wire::Outcome::Unknown);
  RequestTable restored(3, 5);
  restored.restore(table.save());
  REQUIRE(restored.findReply(change("a", 3))->outcome == wire::Outcome::Unknown);
  REQUIRE(restored.findReply(change("b", 3))->outcome == wire::Outcome::Completed);
}

TEST_CASE("claims in progress are never evicted; finished claims and recorded responses are bounded") {
  ClaimTable::Bounds bounds;
  bounds.in_progress_per_tenant = 2;
  // The lengths of "key-N" and of "attempt".
  const std::size_t claim_bytes = 5 + 7 + kClaimRecordBytes;
  bounds.finished_bytes_per_tenant = 3 * claim_bytes;
  bounds.finished_bytes_total = 5 * claim_bytes;
  bounds.answer_bytes_total = 100;
  ClaimTable table(bounds);
  table.request(claim("a", 100));
  table.request(claim("a", 101));
  REQUIRE_THROWS_AS(table.request(claim("a", 102)), Error);
  REQUIRE(table.request(claim("a", 100)).state == wire::ClaimState::Granted);
  for (const std::string tenant : {"b", "c"}) {
    for (int i = 0; i < 4; ++i) {
      table.request(claim(tenant, i));
      table.finish(finishOf(claim(tenant, i), 30));
    }
  }
  REQUIRE(table.finishedCount() == 5);
  REQUIRE(table.inProgressCount() == 2);
  auto other = claim("c", 3);
  other.attempt = "other";
  REQUIRE(table.request(other).answer != nullptr);
  // The recorded response of this claim was dropped, but the claim stays Completed.
  other.key = "key-1";
  REQUIRE(table.request(other).state == wire::ClaimState::Completed);
  REQUIRE(table.request(other).answer == nullptr);
  ClaimTable restored(bounds);
  restored.restore(table.save());
  REQUIRE(restored.finishedCount() == 5);
  REQUIRE(restored.inProgressCount() == 2);
  REQUIRE(restored.request(other).answer == nullptr);
}

TEST_CASE("a snapshot written in slices contains the state at its start") {
  StateMachine state;
  const auto apply = [&state](const std::string& tenant, std::uint64_t time) {
    auto command = change("mesh", time);
    command.operator_name = kBootstrapOperator;
    command.transaction = std::make_shared<wire::TransactionT>();
    auto operation = std::make_shared<wire::OperationT>();
    operation->key = std::make_shared<wire::ObjectKeyT>();
    operation->key->tenant = tenant;
    operation->object = std::make_shared<wire::ObjectT>();
    operation->object->key = operation->key;
    operation->object->spec.Set(wire::TenantSpecT());
    command.transaction->operations.push_back(std::move(operation));
    wire::StoreCommandBatchT batch;
    const auto add = [&batch](auto body) {
      batch.commands.push_back(std::make_shared<wire::StoreCommandT>());
      batch.commands.back()->body.Set(std::move(body));
    };
    add(std::move(command));
    add(claim(tenant, 1));
    if (time > 1) add(finishOf(claim("t1", 1), 10));
    state.apply(encodeBatch(batch));
  };
  apply("t1", 1);
  apply("t2", 2);
  const auto state_at_start = state.save();
  SnapshotWriter writer(state.capture());
  std::uint64_t time = 3;
  while (!writer.step(1)) {
    apply("t" + std::to_string(time), time);
    ++time;
  }
  REQUIRE(time > 6);
  REQUIRE(writer.take() == state_at_start);
  REQUIRE(state.save() != state_at_start);
}

}  // namespace
}  // namespace cometstand::store
