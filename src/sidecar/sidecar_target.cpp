#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/sidecar_core.h"

/// The part of the sidecar that handles the state of its target and reports it to the stores.
namespace cometstand::sidecar {
namespace {

/// Limit on the logged part of an id, which an unknown sender may have made arbitrarily long.
constexpr std::size_t kMaxLoggedIdBytes = 64;

}  // namespace

void SidecarCore::onRunResult(RunId id, RunResult result, TimePoint now) {
  advance(now);
  // The target may have been succeeded by another one since the request was sent.
  const auto expected = gate_.incarnationOf(id);
  if (result.instance_mismatch && expected && gate_.target().onIdMismatch(*expected)) {
    onTargetChanged(TargetChangeCause::Response, now);
    has_requested_health_ = false;
    if (calls_.routes() != nullptr) requestTargetHealth();
  }
  const auto previous = gate_.target().condition();
  gate_.onResult(id, std::move(result), now);
  if (gate_.target().condition() == previous) return;
  onTargetChanged(TargetChangeCause::Response, now);
  if (gate_.target().condition() == TargetCondition::Leaving)
    commitLeaveNotice("response", gate_.target().incarnation(), gate_.target().sequence(), true, {}, now);
}

/// The target of this sidecar's own service may register before the configuration that names the service
/// arrives.
bool SidecarCore::isServiceConfigured(const std::string& service) const {
  return service == options_.service || calls_.routes() == nullptr || calls_.routes()->knows(service);
}

void SidecarCore::onHeartbeat(const Heartbeat& beat, TimePoint now, LeaveNoticeHandler handler) {
  advance(now);
  if (!isServiceConfigured(beat.service)) {
    throw Error(ErrorKind::Invalid, "no configuration names the service",
                "send the service of this machine, or put it into the configuration");
  }
  const bool has_changed = gate_.target().onHeartbeat(beat, now);
  gate_.onHeartbeat(beat, now);
  if (has_changed || hasColdStateChanged(now)) onTargetChanged(TargetChangeCause::Heartbeat, now);
  if (!beat.ready) {
    commitLeaveNotice("heartbeat", beat.incarnation, beat.sequence, has_changed, std::move(handler), now);
  } else if (handler) {
    handler(true);
  }
}

void SidecarCore::onHealth(const TargetHealth& health, TimePoint now) {
  advance(now);
  const auto previous = gate_.target().condition();
  const bool is_ready = health.ready && !health.instance.empty();
  if (is_ready) gate_.target().onHealthCheckPassed(health.instance, options_.service, health.slots);
  gate_.onHealth(health, now);
  if (gate_.target().condition() != previous || hasColdStateChanged(now))
    onTargetChanged(TargetChangeCause::HealthCheck, now);
}

void SidecarCore::onProbed(ProbeOutcome outcome, TimePoint now) {
  advance(now);
  gate_.onProbed(outcome, now);
}

/// Requests the health of a target whose id is not known, so that a sidecar that starts beside a running
/// target, or that took a target that has ended for the running one, need not wait for the next heartbeat.
void SidecarCore::requestTargetHealth() {
  // A target that deregistered still passes its health check.
  if (!leave_notices_.isRecovered()) return;
  if (has_requested_health_ || gate_.target().condition() != TargetCondition::Unknown) return;
  const auto path = calls_.routes()->healthPath(options_.service);
  if (path.empty()) return;
  has_requested_health_ = true;
  target_port_.requestHealth(path);
}

void SidecarCore::onDeregistered(const mesh::Incarnation& incarnation, TimePoint now,
                                 LeaveNoticeHandler handler) {
  advance(now);
  const bool has_changed = gate_.target().onDeregistered(incarnation, now);
  if (has_changed) onTargetChanged(TargetChangeCause::Deregistration, now);
  commitLeaveNotice("deregistration", incarnation, 0, has_changed, std::move(handler), now);
}

void SidecarCore::onUnreadableMessage(const std::string& id, const Error& error) {
  ++unreadable_messages_[error.kind()];
  logEvent(kUnreadableMessage, {{"id", id.substr(0, kMaxLoggedIdBytes)},
                                {"kind", std::string(errorKindName(error.kind()))},
                                {"reason", error.what()}});
}

void SidecarCore::commitLeaveNotice(const char* source, const mesh::Incarnation& incarnation,
                                    std::uint64_t sequence, bool has_changed, LeaveNoticeHandler handler,
                                    TimePoint now) {
  const auto& target = gate_.target();
  const bool is_bound = target.hasLeft(incarnation);
  const char* effect = is_bound ? "repeated" : "not_accepted";
  logEvent(kLeaveNotice, {{"instance", incarnation.name()},
                          {"source", source},
                          {"sequence", sequence},
                          {"effect", has_changed ? "applied" : effect},
                          {"current", target.incarnation().name()},
                          {"condition", static_cast<int>(target.condition())}});
  if (is_bound) {
    leave_notices_.commit(target.resolve(incarnation), std::move(handler), now);
  } else if (handler) {
    handler(false);
  }
}

void SidecarCore::onLeaveNoticeList(const wire::LeaveNoticeListT& list, TimePoint now) {
  if (leave_notices_.isRecovered()) return;
  const auto recovered = leave_notices_.onList(list, now);
  for (const auto& incarnation : recovered) gate_.target().onLeaveRecovered(incarnation, now);
  gate_.allowRequests();
  logEvent(kLeaveNoticesRecovered, {{"notices", recovered.size()},
                                    {"newest", recovered.empty() ? "" : recovered.back().name()},
                                    {"current", gate_.target().incarnation().name()},
                                    {"condition", static_cast<int>(gate_.target().condition())}});
  if (calls_.routes() != nullptr) requestTargetHealth();
  if (gate_.target().condition() != TargetCondition::Unknown)
    onTargetChanged(TargetChangeCause::Recovery, now);
}

void SidecarCore::onTargetChanged(TargetChangeCause cause, TimePoint now) {
  const auto& target = gate_.target();
  logEvent(kTargetChanged, {{"instance", target.incarnation().name()},
                            {"cause", targetChangeCauseName(cause)},
                            {"sequence", target.sequence()},
                            {"service", target.service()},
                            {"condition", static_cast<int>(target.condition())},
                            {"slots", target.slots()}});
  const auto record = ownRecord();
  is_reported_cold_ = record.cold_ms > 0;
  control_.report(record);
  // Applies the record locally at once, so that this sidecar's own requests need not wait until the store
  // sends it back.
  wire::EndpointUpdateT update;
  update.records.push_back(std::make_shared<wire::EndpointRecordT>(record));
  onEndpoints(update, false, now);
  applyRollouts(now);
  gate_.onTargetChanged(now);
  setColdStart(now);
}

/// @return true if the last record sent to the stores differs from the target's own reports on whether it is
/// cold.
bool SidecarCore::hasColdStateChanged(TimePoint now) const {
  if (gate_.target().condition() == TargetCondition::Unknown) return false;
  return is_reported_cold_ != (gate_.reportedColdTime(now) > Duration::zero());
}

wire::EndpointRecordT SidecarCore::ownRecord() const {
  const auto& target = gate_.target();
  wire::EndpointRecordT record;
  record.service = target.service();
  record.endpoint = target.incarnation().name();
  record.address = options_.advertise.host;
  record.port = options_.advertise.port;
  record.zone = options_.zone;
  record.slots = target.slots();
  record.version = target.version();
  record.cold_ms = static_cast<std::uint32_t>(ceilMilliseconds(gate_.reportedColdTime(now_)));
  // Without a configuration the gate does not know the limits of a cold target, or whether the zone is in
  // use.
  const bool may_serve = calls_.routes() != nullptr && leave_notices_.isRecovered();
  const bool is_live = target.condition() == TargetCondition::Ready && !withdrawn_ && may_serve;
  record.state = is_live ? wire::EndpointState::Live : wire::EndpointState::Leaving;
  return record;
}

void SidecarCore::setColdStart(TimePoint now) {
  if (calls_.routes() == nullptr) return;
  const auto& reported_service = gate_.target().service();
  gate_.setColdStart(
      calls_.routes()->coldStart(reported_service.empty() ? options_.service : reported_service), now);
}

void SidecarCore::sendHealthCheckIfDue(TimePoint now) {
  if (calls_.routes() == nullptr) return;
  // The health check counts as sent even without a path, or it would remain due forever.
  if (!gate_.startHealthCheckIfDue(now)) return;
  const auto path = calls_.routes()->healthPath(gate_.target().service());
  if (!path.empty()) target_port_.requestHealth(path);
}

}  // namespace cometstand::sidecar
