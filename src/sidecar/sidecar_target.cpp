#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/sidecar_core.h"

/// What a sidecar learns of the target beside it, and what it tells others of it.
namespace cometstand::sidecar {
namespace {

/// Bytes of an id that a stranger chose.
constexpr std::size_t kMostLoggedId = 64;

}  // namespace

void SidecarCore::onRunResult(RunId id, RunResult result, TimePoint now) {
  advance(now);
  if (result.other_instance && gate_.target().onOtherId(gate_.target().incarnation().id))
    onTargetChanged(now);
  gate_.onResult(id, std::move(result), now);
}

/// The own service's target may come before the configuration that names it.
bool SidecarCore::isNamed(const std::string& service) const {
  return service == options_.service || calls_.routes() == nullptr || calls_.routes()->knows(service);
}

void SidecarCore::onHeartbeat(const Heartbeat& beat, TimePoint now) {
  advance(now);
  if (!isNamed(beat.service)) {
    throw Error(ErrorKind::Invalid, "no configuration names the service",
                "send the service of this machine, or put it into the configuration");
  }
  const bool has_changed = gate_.target().onHeartbeat(beat, now);
  gate_.onHeartbeat(beat, now);
  if (has_changed || hasTurned(now)) onTargetChanged(now);
}

void SidecarCore::onHealth(const TargetHealth& health, TimePoint now) {
  advance(now);
  const bool is_well = health.ready && !health.instance.empty();
  const bool is_news =
      is_well && gate_.target().onReadyWhenAsked(health.instance, options_.service, health.slots);
  gate_.onHealth(health, now);
  if (is_news || hasTurned(now)) onTargetChanged(now);
}

void SidecarCore::onProbed(ProbeOutcome outcome, TimePoint now) {
  advance(now);
  gate_.onProbed(outcome, now);
}

/// A sidecar that starts beside a target that runs need not wait for its next heartbeat.
void SidecarCore::askTarget() {
  if (asked_target_ || gate_.target().condition() != TargetCondition::Unheard) return;
  const auto path = calls_.routes()->healthPath(options_.service);
  if (path.empty()) return;
  asked_target_ = true;
  target_port_.askHealth(path);
}

void SidecarCore::onDeregistered(const mesh::Incarnation& incarnation, TimePoint now) {
  advance(now);
  if (gate_.target().onDeregistered(incarnation, now)) onTargetChanged(now);
}

void SidecarCore::onUnreadableWord(const std::string& id, const Error& error) {
  ++unreadable_words_[error.kind()];
  logEvent(kUnreadableWord, {{"id", id.substr(0, kMostLoggedId)},
                             {"kind", std::string(errorKindName(error.kind()))},
                             {"reason", error.what()}});
}

void SidecarCore::onTargetChanged(TimePoint now) {
  const auto& target = gate_.target();
  logEvent(kTargetChanged, {{"instance", target.incarnation().name()},
                            {"service", target.service()},
                            {"condition", static_cast<int>(target.condition())},
                            {"slots", target.slots()}});
  const auto record = ownRecord();
  is_reported_cold_ = record.cold_ms > 0;
  control_.report(record);
  // This sidecar's own requests need not wait until the record has come round.
  wire::EndpointUpdateT update;
  update.records.push_back(std::make_shared<wire::EndpointRecordT>(record));
  onEndpoints(update, false, now);
  applyRollouts(now);
  gate_.onTargetChanged(now);
  setColdStart(now);
}

/// @return true if the stores have another word on whether the target is cold than it says itself.
bool SidecarCore::hasTurned(TimePoint now) const {
  if (gate_.target().condition() == TargetCondition::Unheard) return false;
  return is_reported_cold_ != (gate_.toldColdTime(now) > Duration::zero());
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
  record.cold_ms = static_cast<std::uint32_t>(ceilMilliseconds(gate_.toldColdTime(now_)));
  // Without a configuration the gate does not know what its target bears, or whether its zone is in use.
  const bool is_live =
      target.condition() == TargetCondition::Ready && !withdrawn_ && calls_.routes() != nullptr;
  record.state = is_live ? wire::EndpointState::Live : wire::EndpointState::Leaving;
  return record;
}

void SidecarCore::setColdStart(TimePoint now) {
  if (calls_.routes() == nullptr) return;
  const auto& told = gate_.target().service();
  gate_.setColdStart(calls_.routes()->coldStart(told.empty() ? options_.service : told), now);
}

void SidecarCore::askIfDoubted(TimePoint now) {
  if (calls_.routes() == nullptr) return;
  // Also without a path the question is noted, or it would be due for ever.
  if (!gate_.takeHealthQuestion(now)) return;
  const auto path = calls_.routes()->healthPath(gate_.target().service());
  if (!path.empty()) target_port_.askHealth(path);
}

}  // namespace cometstand::sidecar
