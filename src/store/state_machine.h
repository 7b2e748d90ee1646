#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "config/catalog.h"
#include "config/transaction_check.h"
#include "schema/store_generated.h"
#include "store/claim_table.h"
#include "store/evacuation_register.h"
#include "store/mesh_register.h"
#include "store/quarantine_register.h"
#include "store/quota_register.h"
#include "store/request_table.h"
#include "store/rollout_register.h"

namespace cometstand::store {

/// Name of the first administrator's credential, of the tenant mesh. It is kept in settings, not in the
/// state.
inline constexpr const char* kBootstrapOperator = "bootstrap";

/// What one StoreCommand came to: a CommandReply for a change, a ClaimReply for a claim or its end, a
/// MeshChangeResult for a change of the whole mesh configuration, a RolloutResult for an order or a step of a
/// roll-out, a QuarantineResult for a crash report, a clearance or a release of a content, an
/// EvacuationResult for an order for a zone, a QuotaLeadershipResult for a record of a leadership.
using CommandResult = std::variant<wire::CommandReplyT, wire::ClaimReplyT, MeshChangeResult, RolloutResult,
                                   QuarantineResult, EvacuationResult, QuotaLeadershipResult>;

/// The replicated state: catalog, answered requests, claims, history. Owns no input or output and never looks
/// at a clock or a random number: equal sequences of apply() give equal states and results on every replica.
/// Driven by the committed log entries, one after another.
class StateMachine {
 public:
  /// Applies the commands of one log entry in order.
  /// @param batch bytes of a StoreCommandBatch.
  /// @return one result a command.
  /// @throw Error(Corrupt) if the bytes are no batch.
  std::vector<CommandResult> apply(const std::vector<std::uint8_t>& batch);

  const config::Catalog& catalog() const { return catalog_; }
  std::size_t catalogBytes() const { return catalog_bytes_; }
  const RequestTable& requests() const { return requests_; }
  const ClaimTable& claims() const { return claims_; }
  const MeshRegister& mesh() const { return mesh_; }
  const RolloutRegister& rollouts() const { return rollouts_; }
  const QuarantineRegister& quarantine() const { return quarantine_; }
  const EvacuationRegister& evacuations() const { return evacuations_; }
  /// @return the newest accepted changes, the oldest first.
  const std::deque<std::shared_ptr<wire::AcceptedChangeT>>& history() const { return history_; }

  /// @return the state, its records shared with this object: cheap, for a SnapshotWriter.
  wire::StoreStateT capture() const;
  /// @return bytes of a StoreState; equal states give equal bytes.
  std::vector<std::uint8_t> save() const;
  /// Replaces the whole state.
  /// @throw Error(Corrupt) if the bytes are no StoreState.
  void restore(const std::vector<std::uint8_t>& bytes);

 private:
  CommandResult applyOne(const wire::StoreCommandT& command);
  wire::CommandReplyT applyChange(const wire::ChangeCommandT& command);
  wire::CommandReplyT decideChange(const wire::ChangeCommandT& command, const config::Actor& actor);
  std::optional<config::Actor> actorOf(const wire::ChangeCommandT& command) const;
  template <typename ClaimCommand, typename Action>
  wire::ClaimReplyT applyClaim(const ClaimCommand& command, Action action);
  /// @return bytes of the catalog's objects if the transaction is applied.
  std::size_t bytesAfter(const wire::TransactionT& transaction) const;
  void addHistory(const wire::ChangeCommandT& command, std::uint64_t version);

  config::Catalog catalog_;
  /// Bytes of the objects in the catalog.
  std::size_t catalog_bytes_ = 0;
  RequestTable requests_;
  ClaimTable claims_;
  MeshRegister mesh_;
  RolloutRegister rollouts_;
  QuarantineRegister quarantine_;
  EvacuationRegister evacuations_;
  QuotaRegister quota_;
  std::deque<std::shared_ptr<wire::AcceptedChangeT>> history_;
};

/// @return the bytes of a log entry.
std::vector<std::uint8_t> encodeBatch(const wire::StoreCommandBatchT& batch);

}  // namespace cometstand::store
