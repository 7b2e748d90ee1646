#pragma once

#include <map>
#include <optional>

#include "store/claim_expiry.h"
#include "store/cluster_formation.h"
#include "store/command_service.h"
#include "store/evacuation_service.h"
#include "store/membership_manager.h"
#include "store/mesh_service.h"
#include "store/node_hub.h"
#include "store/quarantine_keeper.h"
#include "store/quota_service.h"
#include "store/rollout_controller.h"
#include "store/rollout_service.h"
#include "store/seed_formation.h"
#include "store/snapshot_writer.h"
#include "store/store_context.h"

namespace cometstand::store {

/// The parts of one replica and the order in which an event goes through them. After each event drain() hands
/// the consensus module's output on until there is none left.
class StoreParts {
 public:
  StoreParts(const StoreOptions& options, std::uint64_t seed);

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
  void setSeeds(std::vector<runtime::Address> seeds) { seeds_.setSeeds(std::move(seeds)); }
  void readMesh(MeshAnswerHandler handler, TimePoint now);
  void orderRollout(const wire::RolloutOrderT& order, const RolloutAnswerHandler& handler, TimePoint now);
  void readRollout(const std::string& service, RolloutAnswerHandler handler, TimePoint now);
  void orderEvacuation(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler,
                       TimePoint now);

 private:
  bool holdsElections() const { return formation_.holdsElections() || seeds_.holdsElections(); }
  void onSeedMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void drain(TimePoint now);
  /// @return true if there was any output.
  bool drainOnce(TimePoint now);
  void onLeadership(const consensus::Leadership& leadership, TimePoint now);
  void applyCommitted(const std::vector<consensus::LogEntryPointer>& entries, TimePoint now);
  void beginSnapshotIfDue(TimePoint now);
  void continueSnapshot(TimePoint now);
  void stepStop(TimePoint now);
  /// @return true if callers in the same process wait for nothing.
  bool servicesIdle() const { return mesh_.idle() && rollouts_.idle() && evacuations_.idle(); }
  TimePoint stopTimer() const;
  /// @return true if the link's certificate allows this role; else the link is closed.
  bool requireRole(runtime::LinkId link, const char* role, const char* other_role = "");
  void onOwnLinkMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
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
  SeedFormation seeds_{context_, members_};
  MeshService mesh_{context_};
  NodeHub nodes_{context_};
  RolloutClock rollout_clock_;
  RolloutService rollouts_{context_, rollout_clock_};
  RolloutController rollout_controller_{context_, rollout_clock_, nodes_};
  QuarantineKeeper quarantine_{context_};
  EvacuationService evacuations_{context_};
  QuotaService quotas_{context_};
  ReaderHub readers_{context_, replicas_};
  LogWriter writer_{context_};
  ClaimExpiry claim_expiry_{context_, writer_};
  StatusCollector statuses_{context_};
  InForceWaits waits_{context_, readers_};
  ReplicaAdmin admin_{context_};
  CommandForwarder forwarder_{context_, replicas_};
  CommandService commands_{
      context_, {readers_, writer_, statuses_, waits_, admin_, forwarder_, quarantine_, evacuations_}};

  /// Certificates of the open incoming links.
  std::map<runtime::LinkId, runtime::PeerIdentity> incoming_;
  consensus::Leadership leadership_;
  consensus::LogIndex applied_index_ = 0;
  /// A snapshot on its way.
  struct Snapshot {
    consensus::LogIndex index = 0;
    SnapshotWriter writer;
    TimePoint continue_at;
  };
  std::optional<Snapshot> snapshot_;
  /// Not before: the last snapshot did not fit, and operators need time to delete what is not needed.
  TimePoint next_snapshot_;
  bool stopping_ = false;
  /// When leadership may be handed over, or again; the beginning of time before the first try.
  TimePoint next_transfer_;
  TimePoint stop_deadline_ = TimePoint::max();
  bool stop_passed_ = false;
};

}  // namespace cometstand::store
