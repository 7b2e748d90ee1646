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

class StoreParts;

/// One replica of the configuration store. It owns the consensus module, the state machine that the committed
/// entries drive, the links to the other replicas, and the services for operators and relays. Driven by one
/// thread or event, see runtime::ProcessCore.
class StoreCore : public runtime::ProcessCore {
 public:
  /// @param seed for jitter and election timeouts.
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

  /// Changes the whole mesh configuration. To be followed by the runner's flush().
  /// @param handler called exactly once, now or later, with the outcome.
  void changeMesh(const wire::MeshChangeT& change, const MeshAnswerHandler& handler, TimePoint now);
  /// Reads the newest mesh configuration. To be followed by the runner's flush().
  void readMesh(MeshAnswerHandler handler, TimePoint now);

  /// Orders a roll-out of a service's version. To be followed by the runner's flush().
  /// @param handler called exactly once, now or later, with the outcome.
  void orderRollout(const wire::RolloutOrderT& order, const RolloutAnswerHandler& handler, TimePoint now);
  /// Reads the service's newest roll-out. To be followed by the runner's flush().
  void readRollout(const std::string& service, RolloutAnswerHandler handler, TimePoint now);

  /// Orders that a zone's targets get no requests any more, or get them again. To be followed by the runner's
  /// flush().
  /// @param handler called exactly once, now or later, with the outcome.
  void orderEvacuation(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler,
                       TimePoint now);

  /// Other seeds from now on, for a replica that wants to join.
  void setSeeds(std::vector<runtime::Address> seeds);

  /// For tests, simulation and metrics.
  consensus::Leadership leadership() const;
  /// @return the latest membership in the log.
  wire::MembershipT membership() const;
  /// @return what the committed entries made so far.
  const StateMachine& stateMachine() const;
  StoreMetrics metrics() const;
  /// @throw std::logic_error if an invariant does not hold. For tests and simulation.
  void checkInvariants() const;

 private:
  std::unique_ptr<StoreParts> parts_;
};

}  // namespace cometstand::store
