#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "consensus/output.h"
#include "runtime/process_core.h"
#include "store/evacuation_service.h"
#include "store/mesh_service.h"
#include "store/metrics.h"
#include "store/options.h"
#include "store/rollout_service.h"

namespace cometstand::store {

class StoreReplica;

/// One replica of the configuration store. It owns the consensus module, the state machine that applies the
/// committed log entries, the links to the other replicas, and the services for operators, relays and nodes.
/// Its functions must not be called concurrently (see runtime::ProcessCore).
class StoreCore : public runtime::ProcessCore {
 public:
  /// @param seed of the random numbers for jitter and election timeouts.
  /// @throw Error(Invalid) if an option is out of range.
  StoreCore(const StoreOptions& options, std::uint64_t seed);
  ~StoreCore() override;

  void start(const runtime::FileReader& files, TimePoint now) override;
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) override;
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId write, TimePoint now) override;
  void onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now) override;
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  runtime::Actions takeActions() override;
  void beginStop(TimePoint now) override;
  bool stopped() const override;

  /// Replaces the whole mesh configuration. The caller must call the runner's flush() afterwards.
  /// @param handler called exactly once with the outcome, either during this call or later.
  void changeMesh(const wire::MeshChangeT& change, const MeshAnswerHandler& handler, TimePoint now);
  /// Reads the newest mesh configuration. The caller must call the runner's flush() afterwards.
  void readMesh(MeshAnswerHandler handler, TimePoint now);

  /// Starts, changes or ends a roll-out of a service version. The caller must call the runner's flush()
  /// afterwards.
  /// @param handler called exactly once with the outcome, either during this call or later.
  void orderRollout(const wire::RolloutOrderT& order, const RolloutAnswerHandler& handler, TimePoint now);
  /// Reads the newest roll-out of the service. The caller must call the runner's flush() afterwards.
  void readRollout(const std::string& service, RolloutAnswerHandler handler, TimePoint now);

  /// Begins or ends the evacuation of a zone, during which its targets get no requests. The caller must call
  /// the runner's flush() afterwards.
  /// @param handler called exactly once with the outcome, either during this call or later.
  void orderEvacuation(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler,
                       TimePoint now);

  /// Sets further addresses that receive this replica's join requests.
  void setSeeds(std::vector<runtime::Address> seeds);

  /// @return the role, term and leader as this replica knows them. For tests, simulation and metrics.
  consensus::Leadership leadership() const;
  /// @return the latest membership in the log, whether it is committed or not.
  wire::MembershipT membership() const;
  /// @return the state after all log entries that this replica has applied.
  const StateMachine& stateMachine() const;
  StoreMetrics metrics() const;
  /// @throw std::logic_error if an invariant does not hold. For tests and simulation.
  void checkInvariants() const;

 private:
  std::unique_ptr<StoreReplica> parts_;
};

}  // namespace cometstand::store
