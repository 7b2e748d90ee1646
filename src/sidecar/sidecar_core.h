#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "overload/memory_budget.h"
#include "runtime/process_core.h"
#include "sidecar/arrival_times.h"
#include "sidecar/body_intake.h"
#include "sidecar/control_client.h"
#include "sidecar/endpoint_subset.h"
#include "sidecar/leave_notices.h"
#include "sidecar/outbound_calls.h"
#include "sidecar/response_transfers.h"
#include "sidecar/target_change_cause.h"

namespace cometstand::sidecar {

/// Core logic of a sidecar proxy. The sidecar runs beside one target, forwards the requests of the callers on
/// its machine to any target of the mesh, and controls which requests its own target gets. Requests go from
/// the sidecar beside the caller to the sidecar beside the target over one link for each pair of sidecars.
/// The sidecar stores nothing on disk.
class SidecarCore : public runtime::ProcessCore, private ControlListener {
 public:
  /// @param target, callers must outlive the core.
  SidecarCore(SidecarOptions options, std::uint64_t seed, TargetPort& target, CallerPort& callers);

  /// Charges what is held for other sidecars' requests, and answers that are collected, to the budget. Call
  /// it before start(); without it nothing is counted.
  /// @param budget must outlive the object.
  void limitMemory(overload::MemoryBudget& budget);

  // Events from outside. The runner must call flush() after each of them.
  void onCall(CallId id, Call call, TimePoint now) {
    advance(now);
    calls_.begin(id, std::move(call), now);
  }
  void onCallerGone(CallId id, TimePoint now) {
    advance(now);
    calls_.cancel(id, now);
  }
  /// The caller has read this number of bytes of a response that it receives in parts.
  void onCallerRead(CallId id, std::size_t bytes, TimePoint now) {
    advance(now);
    calls_.onRead(id, bytes, now);
  }
  void onRunResult(RunId id, RunResult result, TimePoint now);
  /// @param handler called exactly once unless this throws: with true if the heartbeat is accepted, and for a
  /// leave notice only once it is committed.
  /// @throw Error(Invalid) if neither the settings nor the configuration contains the service; the state is
  /// then unchanged.
  void onHeartbeat(const Heartbeat& beat, TimePoint now, LeaveNoticeHandler handler = {});
  void onProbed(ProbeOutcome outcome, TimePoint now);
  void onHealth(const TargetHealth& health, TimePoint now);
  /// @param handler as for onHeartbeat().
  void onDeregistered(const mesh::Incarnation& incarnation, TimePoint now, LeaveNoticeHandler handler = {});
  /// Counts and logs a heartbeat or deregistration that could not be parsed. It has no other effect.
  void onUnreadableMessage(const std::string& id, const Error& error);
  /// @return number of heartbeats and deregistrations that could not be parsed, by the kind of the error.
  const std::map<ErrorKind, std::uint64_t>& unreadableMessages() const { return unreadable_messages_; }

  /// Replaces the seeds; stores that are already known are kept.
  void setSeeds(std::vector<runtime::Address> seeds, TimePoint now) {
    control_.setSeeds(std::move(seeds), now);
  }

  /// @return true if the sidecar is ready for requests of callers.
  bool ready() const { return calls_.routes() != nullptr && !stop_began_; }
  /// @return the active configuration; nullptr before the first one.
  const mesh::RouteTablePointer& routes() const { return calls_.routes(); }
  /// @return true once a planned stop has begun.
  bool stopping() const { return stop_began_.has_value(); }
  const CallMetrics& callMetrics() const { return calls_.metrics(); }
  std::size_t callsInFlight() const { return calls_.inFlight(); }
  const TargetGate& gate() const { return gate_; }
  /// @return time until the target is considered warm, as of the last processed event.
  Duration targetColdTime() const { return gate_.coldTime(now_); }
  const BodyIntake& intake() const { return intake_; }
  const ResponseTransfers& answers() const { return answers_; }
  std::size_t largeAnswersInFlight() const { return calls_.largeAnswersInFlight(); }
  const EndpointDirectory& endpoints() const { return endpoints_; }
  const Quarantine& quarantine() const { return quarantine_; }
  const ZoneEvacuations& evacuations() const { return evacuations_; }
  const LeaveNotices& leaveNotices() const { return leave_notices_; }

  // runtime::ProcessCore
  void start(const runtime::FileReader& files, TimePoint now) override;
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) override;
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId /*write*/, TimePoint /*now*/) override {}
  void onFileFailed(runtime::WriteId /*write*/, const std::string& /*reason*/, TimePoint /*now*/) override {}
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  runtime::Actions takeActions() override { return actions_.take(); }
  void beginStop(TimePoint now) override;
  bool stopped() const override;
  void onStopEnding(TimePoint now) override;

 private:
  // ControlListener
  void onConfiguration(const mesh::RouteTablePointer& table, TimePoint now) override;
  void onEndpoints(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now) override;
  void onRollouts(const wire::RolloutUpdateT& update, TimePoint now) override;
  void onQuarantine(const wire::QuarantineUpdateT& update) override { quarantine_.apply(update); }
  void onEvacuations(const wire::EvacuationUpdateT& update, TimePoint now) override;
  void onCrashReportAcknowledged(const std::string& instance) override {
    quarantine_.onReportAcknowledged(instance);
  }
  void onLeaveNoticeCommitted(const wire::LeaveNoticeT& notice, TimePoint now) override {
    leave_notices_.onCommitted({notice.instance, notice.born_ms}, now);
  }
  void onLeaveNoticeList(const wire::LeaveNoticeListT& list, TimePoint now) override;
  void onQuotaGrant(const runtime::Address& store, const wire::QuotaGrantT& grant, TimePoint now) override {
    if (quota_.onGrant(store, grant, now)) calls_.onQuota(now);
  }

  /// Updates the gate with the rollout and the closed state of the target's version.
  void applyRollouts(TimePoint now);
  void reportRollout(TimePoint now);
  /// Must be called for each event: updates the time and detects whether the process was suspended.
  void advance(TimePoint now);
  void sendHealthCheckIfDue(TimePoint now);
  bool hasColdStateChanged(TimePoint now) const;
  /// Applies the cold start parameters of the target's service from the active configuration.
  void setColdStart(TimePoint now);

  void onRequesterMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onRequesterRequest(GateRequester requester, const wire::ForwardRequestT& request, TimePoint now);
  /// Admits the request, or its announced body, if there is memory for it.
  void admitRequest(const GateRequester& requester, const wire::ForwardRequestT& request, TimePoint now);
  void replyToRequester(const GateRequester& requester, wire::ForwardReplyT reply);
  BodyIntake::Listener intakeListener();
  void onTargetChanged(TargetChangeCause cause, TimePoint now);
  /// Logs the notice, and commits it if the target's state took it over.
  void commitLeaveNotice(const char* source, const mesh::Incarnation& incarnation, std::uint64_t sequence,
                         bool has_changed, LeaveNoticeHandler handler, TimePoint now);
  void requestTargetHealth();
  bool isServiceConfigured(const std::string& service) const;
  wire::EndpointRecordT ownRecord() const;
  /// Adds the endpoints of the update to the subset, and opens links to those selected.
  void updateSubset(const wire::EndpointUpdateT& update, TimePoint now);
  /// Opens links to the endpoints that were added to the subset.
  void openLinks(TimePoint now);
  /// Closes idle links to endpoints that are no longer in the subset.
  void closeLinks();
  void checkStop(TimePoint now);
  /// @return true if no request or response of callers or other sidecars is in progress.
  bool isIdle() const;
  /// @return when the gate stops admitting requests in a planned stop.
  TimePoint gateClosesAt() const;

  SidecarOptions options_;
  RandomSource random_;
  runtime::ActionQueue actions_;
  TimePoint now_;
  TargetPort& target_port_;
  bool has_requested_health_ = false;
  ControlClient control_;
  Quarantine quarantine_;
  ZoneEvacuations evacuations_;
  LeaveNotices leave_notices_;
  EndpointDirectory endpoints_;
  EndpointSubset subset_;
  PeerLinks peers_;
  RolloutView rollouts_;
  std::uint64_t incarnation_;
  TimePoint rollout_report_at_;
  TargetGate gate_;
  ReceiveCredit credit_;
  overload::MemoryBudget* memory_ = nullptr;
  BodyIntake intake_;
  ArrivalTimes arrivals_;
  ResponseTransfers answers_;
  TenantQuota quota_;
  OutboundCalls calls_;
  TimePoint expire_at_;
  std::optional<TimePoint> stop_began_;
  TimePoint stop_check_at_;
  /// The endpoint is published as leaving because this sidecar stops.
  bool withdrawn_ = false;
  std::map<ErrorKind, std::uint64_t> unreadable_messages_;
  /// The newest published record of the endpoint marks the target as cold.
  bool is_reported_cold_ = false;
};

}  // namespace cometstand::sidecar
