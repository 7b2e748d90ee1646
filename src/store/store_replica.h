#pragma once

#include <map>
#include <optional>

#include "store/claim_expiry.h"
#include "store/cluster_formation.h"
#include "store/command_service.h"
#include "store/evacuation_service.h"
#include "store/leave_notice_service.h"
#include "store/membership_manager.h"
#include "store/mesh_service.h"
#include "store/node_hub.h"
#include "store/quarantine_controller.h"
#include "store/quota_service.h"
#include "store/rollout_controller.h"
#include "store/rollout_service.h"
#include "store/seed_formation.h"
#include "store/snapshot_writer.h"
#include "store/store_context.h"
#include "store/vote_release.h"

namespace cometstand::store {

/// The components of one replica. Dispatches each event to them in a fixed order. After each event, drain()
/// passes the output of the consensus module to the components until there is no more output.
class StoreReplica {
 public:
  StoreReplica(const StoreOptions& options, std::uint64_t seed);

  void start(const runtime::FileReader& files, TimePoint now);
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now);
  void onLinkClosed(runtime::LinkId link, TimePoint now);
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onFileWritten(runtime::WriteId write, TimePoint now);
  void onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  runtime::Actions takeActions();
  void beginStop(TimePoint now);
  bool stopped() const;

  const consensus::Consensus& consensus() const { return consensus_; }
  const StateMachine& state() const { return state_; }
  StoreMetrics metrics() const;
  const QuotaLedger& quotas() const { return quotas_.ledger(); }
  void checkInvariants() const;

  void changeMesh(const wire::MeshChangeT& change, const MeshAnswerHandler& handler, TimePoint now);
  void setSeeds(std::vector<runtime::Address> seeds) { seed_formation_.setSeeds(std::move(seeds)); }
  void readMesh(MeshAnswerHandler handler, TimePoint now);
  void orderRollout(const wire::RolloutOrderT& order, const RolloutAnswerHandler& handler, TimePoint now);
  void readRollout(const std::string& service, RolloutAnswerHandler handler, TimePoint now);
  void orderEvacuation(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler,
                       TimePoint now);

 private:
  bool defersElections() const { return formation_.defersElections() || seed_formation_.defersElections(); }
  void onSeedFormationMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void drain(TimePoint now);
  /// @return true if there was any output.
  bool drainOnce(TimePoint now);
  void onLeadership(const consensus::Leadership& leadership, TimePoint now);
  void applyCommitted(const std::vector<consensus::LogEntryPointer>& entries, TimePoint now);
  void beginSnapshotIfDue(TimePoint now);
  void continueSnapshot(TimePoint now);
  void continueStop(TimePoint now);
  /// @return true if a stopping leader may give up its vote and leadership without turning a response into
  /// Unknown.
  bool mayYield() const { return writer_.idle() && servicesIdle() && admin_.idle(); }
  /// @return true if no caller in the same process waits for a response.
  bool servicesIdle() const {
    return mesh_.idle() && rollouts_.idle() && evacuations_.idle() && leave_notices_.idle();
  }
  TimePoint stopTimer() const;
  /// Closes the link if its certificate allows neither role.
  /// @return true if the certificate allows one of the roles.
  bool requireRole(runtime::LinkId link, const char* role, const char* other_role = "");
  void onOutgoingLinkMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onIncomingMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onRelayMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onConsensusMessage(runtime::LinkId link, const wire::ConsensusMessageT& message, TimePoint now);
  void onCommand(runtime::LinkId link, std::uint64_t request_id, const wire::CommandRequestT& request,
                 TimePoint now);
  template <typename Claim>
  void onClaim(runtime::LinkId link, std::uint64_t request_id, const Claim& claim, TimePoint now);

  const StoreOptions options_;
  RandomSource random_;
  runtime::ActionQueue actions_;
  std::vector<runtime::FileWrite> writes_;
  consensus::Consensus consensus_;
  StateMachine state_;
  LeaderReads reads_{consensus_};
  StoreMetrics metrics_;
  StoreContext context_{options_, actions_, random_, consensus_, state_, reads_, metrics_};
  ReplicaLinks replicas_{context_};
  ClusterFormation formation_{context_, replicas_};
  MembershipManager members_{context_};
  SeedFormation seed_formation_{context_, members_};
  VoteRelease vote_release_{context_, replicas_};
  MeshService mesh_{context_};
  NodeHub nodes_{context_};
  RolloutClock rollout_clock_;
  RolloutService rollouts_{context_, rollout_clock_};
  RolloutController rollout_controller_{context_, rollout_clock_, nodes_};
  QuarantineController quarantine_{context_};
  EvacuationService evacuations_{context_};
  QuotaService quotas_{context_};
  LeaveNoticeService leave_notices_{context_};
  ReaderHub readers_{context_, replicas_};
  LogWriter writer_{context_};
  ClaimExpiry claim_expiry_{context_, writer_};
  StatusCollector statuses_{context_};
  InForceWaits waits_{context_, readers_};
  ReplicaAdmin admin_{context_};
  CommandForwarder forwarder_{context_, replicas_};
  CommandService commands_{
      context_, {readers_, writer_, statuses_, waits_, admin_, forwarder_, quarantine_, evacuations_}};

  /// Identities from the certificates of the open incoming links.
  std::map<runtime::LinkId, runtime::PeerIdentity> incoming_;
  consensus::Leadership leadership_;
  consensus::LogIndex applied_index_ = 0;
  /// A snapshot that is being written in several steps.
  struct SnapshotInProgress {
    consensus::LogIndex index = 0;
    SnapshotWriter writer;
    TimePoint next_step_at;
  };
  std::optional<SnapshotInProgress> snapshot_;
  /// Earliest time of the next snapshot. Set after the state exceeded the size limit of a snapshot, to give
  /// operators time to delete configuration objects.
  TimePoint next_snapshot_at_;
  bool stopping_ = false;
  /// Earliest time of the next leadership transfer; the epoch of the clock before the first attempt.
  TimePoint next_transfer_at_;
  TimePoint stop_deadline_ = TimePoint::max();
  bool stop_wait_ended_ = false;
};

}  // namespace cometstand::store
