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
#include "store/leave_notice_register.h"
#include "store/mesh_register.h"
#include "store/quarantine_register.h"
#include "store/quota_register.h"
#include "store/request_table.h"
#include "store/rollout_register.h"

namespace cometstand::store {

/// Operator name of the first administrator, in the tenant "mesh". The credential is in the settings of each
/// replica, not in the replicated state.
inline constexpr const char* kBootstrapOperator = "bootstrap";

/// Result of one StoreCommand: CommandReply for a change, ClaimReply for the request or the end of a claim,
/// MeshChangeResult for a change of the whole mesh configuration, RolloutResult for an order or a step of a
/// roll-out, QuarantineResult for a crash report, a clearance or a release of quarantined content,
/// EvacuationResult for the evacuation order of a zone, QuotaLeadershipResult for a leadership record of the
/// quota, LeaveNoticeResult for a leave notice.
using CommandResult =
    std::variant<wire::CommandReplyT, wire::ClaimReplyT, MeshChangeResult, RolloutResult, QuarantineResult,
                 EvacuationResult, QuotaLeadershipResult, LeaveNoticeResult>;

/// The replicated state: catalog, answered requests, claims, mesh configuration, roll-outs, quarantine,
/// evacuations, quota leadership, leave notices and change history. Deterministic: it does no I/O and uses
/// neither a clock nor random numbers, so that applying the committed log entries in order gives equal states
/// and results on every replica.
class StateMachine {
 public:
  /// Applies the commands of one log entry in order.
  /// @param batch bytes of a StoreCommandBatch.
  /// @return one result for each command.
  /// @throw Error(Corrupt) if the bytes are not a valid batch.
  std::vector<CommandResult> apply(const std::vector<std::uint8_t>& batch);

  const config::Catalog& catalog() const { return catalog_; }
  std::size_t catalogBytes() const { return catalog_bytes_; }
  const RequestTable& requests() const { return requests_; }
  const ClaimTable& claims() const { return claims_; }
  const MeshRegister& mesh() const { return mesh_; }
  const RolloutRegister& rollouts() const { return rollouts_; }
  const QuarantineRegister& quarantine() const { return quarantine_; }
  const EvacuationRegister& evacuations() const { return evacuations_; }
  const LeaveNoticeRegister& leaveNotices() const { return leave_notices_; }
  /// @return the latest accepted changes, oldest first.
  const std::deque<std::shared_ptr<wire::AcceptedChangeT>>& history() const { return history_; }

  /// Captures the state for a SnapshotWriter. Cheap, because the records are shared with this object.
  wire::StoreStateT capture() const;
  /// @return bytes of a StoreState; equal states give equal bytes.
  std::vector<std::uint8_t> save() const;
  /// Replaces the whole state.
  /// @throw Error(Corrupt) if the bytes are not a valid StoreState.
  void restore(const std::vector<std::uint8_t>& bytes);

 private:
  CommandResult applyOne(const wire::StoreCommandT& command);
  wire::CommandReplyT applyChange(const wire::ChangeCommandT& command);
  wire::CommandReplyT executeChange(const wire::ChangeCommandT& command, const config::Actor& actor);
  std::optional<config::Actor> actorOf(const wire::ChangeCommandT& command) const;
  template <typename ClaimCommand, typename Action>
  wire::ClaimReplyT applyClaim(const ClaimCommand& command, Action action);
  /// @return the encoded size of the catalog's objects after the transaction.
  std::size_t catalogBytesAfter(const wire::TransactionT& transaction) const;
  void addHistory(const wire::ChangeCommandT& command, std::uint64_t version);

  config::Catalog catalog_;
  /// Encoded size of the objects in the catalog.
  std::size_t catalog_bytes_ = 0;
  RequestTable requests_;
  ClaimTable claims_;
  MeshRegister mesh_;
  RolloutRegister rollouts_;
  QuarantineRegister quarantine_;
  EvacuationRegister evacuations_;
  QuotaRegister quota_;
  LeaveNoticeRegister leave_notices_;
  std::deque<std::shared_ptr<wire::AcceptedChangeT>> history_;
};

/// @return the batch encoded as the payload of a log entry.
std::vector<std::uint8_t> encodeBatch(const wire::StoreCommandBatchT& batch);

}  // namespace cometstand::store
