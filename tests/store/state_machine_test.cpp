// Decisions of the replicated state machine that do not depend on which replica is the leader.
#include "store/state_machine.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "config/object_digest.h"
#include "config/objects.h"

namespace cometstand::store {
namespace {

using config::test::OperationPointer;

template <typename Command>
CommandResult applyOne(StateMachine& state, Command command) {
  wire::StoreCommandBatchT batch;
  batch.commands.push_back(std::make_shared<wire::StoreCommandT>());
  batch.commands[0]->body.Set(std::move(command));
  return state.apply(encodeBatch(batch)).at(0);
}

wire::CommandReplyT change(StateMachine& state, const std::string& request_id,
                           const std::string& operator_name, std::uint64_t credential_version,
                           std::vector<OperationPointer> operations) {
  wire::ChangeCommandT command;
  command.request_id = request_id;
  command.tenant = std::string(config::kMeshTenant);
  command.operator_name = operator_name;
  command.credential_version = credential_version;
  command.text_digest = std::make_shared<wire::Digest>(config::textDigest(request_id));
  command.transaction =
      std::make_shared<wire::TransactionT>(config::test::transaction(std::move(operations)));
  return std::get<wire::CommandReplyT>(applyOne(state, std::move(command)));
}

OperationPointer credential(std::uint8_t salt) {
  wire::CredentialSpecT spec;
  spec.salt.assign(16, salt);
  spec.token_hash.assign(32, salt);
  spec.administrator = true;
  return config::test::put(wire::ObjectKind::Credential, std::string(config::kMeshTenant), "anna", spec);
}

TEST_CASE("a change is not applied if its credential was replaced before its log position") {
  StateMachine state;
  REQUIRE(change(state, "1-b", kBootstrapOperator, 0, {credential(1)}).version == 1);
  REQUIRE(change(state, "1-c", "anna", 1, {config::test::putTenant("napisy")}).version == 2);
  REQUIRE(change(state, "1-d", kBootstrapOperator, 0, {credential(2)}).version == 3);
  const auto late = change(state, "1-e", "anna", 1, {config::test::putTenant("akimat")});
  CHECK(late.outcome == wire::Outcome::NotRun);
  CHECK(static_cast<ErrorKind>(late.error->kind) == ErrorKind::Unauthenticated);
  CHECK(state.catalog().version() == 3);
}

TEST_CASE("claims and answered requests are kept across a snapshot") {
  StateMachine state;
  change(state, "1-a", kBootstrapOperator, 0, {config::test::putTenant("napisy")});
  wire::ClaimRequestT claim;
  claim.tenant = "napisy";
  claim.key = "invoice-7";
  claim.attempt = "first";
  claim.request_digest = std::make_shared<wire::Digest>(1, 1);
  REQUIRE(std::get<wire::ClaimReplyT>(applyOne(state, claim)).state == wire::ClaimState::Granted);
  StateMachine restored;
  restored.restore(state.save());
  claim.attempt = "second";
  CHECK(std::get<wire::ClaimReplyT>(applyOne(restored, claim)).state == wire::ClaimState::InProgress);
  CHECK(change(restored, "1-a", kBootstrapOperator, 0, {config::test::putTenant("napisy")}).version == 1);
  CHECK(restored.catalog().version() == 1);
}

}  // namespace
}  // namespace cometstand::store
