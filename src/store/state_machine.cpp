#include "store/state_machine.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <limits>

#include "base/error.h"
#include "config/object_key.h"
#include "store/limits.h"
#include "store/replies.h"
#include "store/request_id.h"
#include "store/snapshot_writer.h"

namespace cometstand::store {
namespace {

// Limits for the FlatBuffers verifier. The depth suffices for a batch of transactions. The limits are
// generous, because the bytes come from the replica's own log.
constexpr flatbuffers::uoffset_t kMaxDepth = 64;
constexpr flatbuffers::uoffset_t kMaxTables = 100'000'000;

/// @throw Error(Corrupt)
template <typename Table>
const Table& verifiedRoot(const std::vector<std::uint8_t>& bytes, const char* what) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size(), kMaxDepth, kMaxTables);
  if (bytes.empty() || !verifier.VerifyBuffer<Table>(nullptr)) {
    throw Error(
        ErrorKind::Corrupt, fmt::format("the {} cannot be decoded", what),
        "run the same release on all replicas; if that fails, add this replica again under a new identifier");
  }
  return *flatbuffers::GetRoot<Table>(bytes.data());
}

template <typename Table, typename Object>
std::vector<std::uint8_t> encode(const Object& object) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &object));
  return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::size_t encodedBytes(const std::shared_ptr<const wire::ObjectT>& object) {
  return object == nullptr ? 0 : encode<wire::Object>(*object).size();
}

}  // namespace

std::vector<std::uint8_t> encodeBatch(const wire::StoreCommandBatchT& batch) {
  return encode<wire::StoreCommandBatch>(batch);
}

std::vector<CommandResult> StateMachine::apply(const std::vector<std::uint8_t>& batch) {
  wire::StoreCommandBatchT commands;
  verifiedRoot<wire::StoreCommandBatch>(batch, "log entry").UnPackTo(&commands);
  std::vector<CommandResult> results;
  results.reserve(commands.commands.size());
  for (const auto& command : commands.commands) results.push_back(applyOne(*command));
  return results;
}

CommandResult StateMachine::applyOne(const wire::StoreCommandT& command) {
  if (const auto* change = command.body.AsChangeCommand()) return applyChange(*change);
  if (const auto* request = command.body.AsClaimRequest()) {
    return applyClaim(*request, [&] { return claims_.request(*request); });
  }
  if (const auto* finish = command.body.AsClaimFinish()) {
    return applyClaim(*finish, [&] { return claims_.finish(*finish); });
  }
  if (const auto* mesh = command.body.AsMeshChange()) {
    if (mesh->digest == nullptr) return MeshChangeResult::Stale;
    return mesh_.apply(*mesh);
  }
  if (const auto* order = command.body.AsRolloutOrder()) return rollouts_.apply(*order);
  if (const auto* step = command.body.AsRolloutStep()) return rollouts_.apply(*step);
  if (const auto* report = command.body.AsCrashReport()) return quarantine_.apply(*report);
  if (const auto* clearance = command.body.AsContentClearance()) return quarantine_.apply(*clearance);
  if (const auto* release = command.body.AsContentRelease()) return quarantine_.apply(*release);
  if (const auto* order = command.body.AsEvacuationOrder()) return evacuations_.apply(*order);
  if (const auto* record = command.body.AsQuotaLeadership()) return quota_.apply(*record);
  if (const auto* notice = command.body.AsLeaveNotice()) return leave_notices_.apply(*notice);
  return notRunReply<wire::CommandReplyT>(
      Error(ErrorKind::Malformed, "the command is empty", "use a client of this release"));
}

wire::CommandReplyT StateMachine::applyChange(const wire::ChangeCommandT& command) {
  if (command.transaction == nullptr || command.text_digest == nullptr || !requestTime(command.request_id)) {
    return notRunReply<wire::CommandReplyT>(
        Error(ErrorKind::Malformed, "the change lacks a part", "use a client of this release"));
  }
  const auto actor = actorOf(command);
  if (!actor) {
    return notRunReply<wire::CommandReplyT>(Error(ErrorKind::Unauthenticated,
                                                  "the credential changed while the change was on its way",
                                                  "send the change again with the new token"));
  }
  if (auto answer = requests_.findReply(command)) return *std::move(answer);
  wire::CommandReplyT reply = executeChange(command, *actor);
  requests_.record(command, reply);
  return reply;
}

wire::CommandReplyT StateMachine::executeChange(const wire::ChangeCommandT& command,
                                                const config::Actor& actor) {
  std::size_t bytes = 0;
  try {
    config::checkTransaction(catalog_, actor, *command.transaction);
    bytes = catalogBytesAfter(*command.transaction);
    if (bytes > kMaxCatalogBytes && bytes > catalog_bytes_) {
      throw Error(ErrorKind::Overloaded, fmt::format("the catalog would take {} bytes", bytes),
                  fmt::format("delete objects that are not needed; the limit is {} bytes", kMaxCatalogBytes));
    }
  } catch (const Error& error) {
    auto reply = notRunReply<wire::CommandReplyT>(error);
    reply.version = catalog_.version();
    return reply;
  }
  wire::CommandReplyT reply;
  reply.version = catalog_.apply(*command.transaction);
  catalog_bytes_ = bytes;
  addHistory(command, reply.version);
  return reply;
}

std::size_t StateMachine::catalogBytesAfter(const wire::TransactionT& transaction) const {
  std::size_t bytes = catalog_bytes_;
  for (const auto& operation : transaction.operations) {
    bytes += encodedBytes(operation->object);
    bytes -= encodedBytes(catalog_.find(*operation->key));
  }
  return bytes;
}

std::optional<config::Actor> StateMachine::actorOf(const wire::ChangeCommandT& command) const {
  if (command.credential_version == 0) {
    const bool is_bootstrap =
        command.tenant == config::kMeshTenant && command.operator_name == kBootstrapOperator;
    return is_bootstrap ? std::optional(config::Actor{command.tenant, true}) : std::nullopt;
  }
  const auto key = config::makeKey(wire::ObjectKind::Credential, command.tenant, command.operator_name);
  const auto object = catalog_.find(key);
  if (object == nullptr || catalog_.versionOf(key) != command.credential_version) return std::nullopt;
  const auto* credential = object->spec.AsCredentialSpec();
  return config::Actor{command.tenant, credential != nullptr && credential->administrator};
}

template <typename ClaimCommand, typename Action>
wire::ClaimReplyT StateMachine::applyClaim(const ClaimCommand& command, Action action) {
  try {
    const auto tenant = config::makeKey(wire::ObjectKind::Tenant, command.tenant, "");
    if (catalog_.find(tenant) == nullptr) {
      throw Error(ErrorKind::NotFound, fmt::format("tenant {} does not exist", command.tenant),
                  "create the tenant first");
    }
    return action();
  } catch (const Error& error) {
    return notRunReply<wire::ClaimReplyT>(error);
  }
}

void StateMachine::addHistory(const wire::ChangeCommandT& command, std::uint64_t version) {
  auto change = std::make_shared<wire::AcceptedChangeT>();
  change->version = version;
  change->tenant = command.tenant;
  change->operator_name = command.operator_name;
  const auto& operations = command.transaction->operations;
  change->key_count = static_cast<std::uint32_t>(operations.size());
  const std::size_t listed_keys = std::min(operations.size(), kMaxHistoryKeys);
  for (std::size_t i = 0; i < listed_keys; ++i) change->keys.push_back(operations[i]->key);
  history_.push_back(std::move(change));
  if (history_.size() > kMaxHistory) history_.pop_front();
}

wire::StoreStateT StateMachine::capture() const {
  wire::StoreStateT state;
  state.version = catalog_.version();
  state.pruned_version = catalog_.prunedVersion();
  state.changes = catalog_.everything();
  state.requests = requests_.save();
  state.claims = claims_.save();
  state.history.assign(history_.begin(), history_.end());
  if (mesh_.revision() != 0) state.mesh = mesh_.capture();
  state.rollouts = rollouts_.capture();
  state.quarantine = quarantine_.capture();
  state.evacuations = evacuations_.capture();
  state.quota = quota_.capture();
  state.leave_notices = leave_notices_.capture();
  return state;
}

std::vector<std::uint8_t> StateMachine::save() const {
  SnapshotWriter writer(capture());
  writer.step(std::numeric_limits<std::size_t>::max());
  return writer.take();
}

void StateMachine::restore(const std::vector<std::uint8_t>& bytes) {
  wire::StoreStateT state;
  verifiedRoot<wire::StoreState>(bytes, "snapshot state").UnPackTo(&state);
  catalog_.restore(state.version, state.pruned_version, state.changes);
  catalog_bytes_ = 0;
  for (const auto& change : state.changes) catalog_bytes_ += encodedBytes(change->object);
  requests_.restore(state.requests);
  claims_.restore(state.claims);
  history_.assign(state.history.begin(), state.history.end());
  mesh_.restore(state.mesh);
  rollouts_.restore(state.rollouts);
  quarantine_.restore(state.quarantine);
  evacuations_.restore(state.evacuations);
  quota_.restore(state.quota);
  leave_notices_.restore(state.leave_notices);
}

}  // namespace cometstand::store
