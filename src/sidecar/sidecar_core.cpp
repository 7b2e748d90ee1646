#include "sidecar/sidecar_core.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "sidecar/charged_request.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

/// Interval between removals of expired endpoints.
constexpr Duration kEndpointExpiryInterval = std::chrono::milliseconds(500);
/// Interval between rollout reports; the leader ignores reports that are older than 800 ms.
constexpr Duration kRolloutReportInterval = std::chrono::milliseconds(250);
/// Time between two events above which the process was suspended, since a timer fires at least every
/// kEndpointExpiryInterval. The target may have restarted meanwhile.
constexpr Duration kSuspensionThreshold = std::chrono::seconds(2);
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);
/// Number of usual run times that the gate closes before the end of a planned stop, so that most of the last
/// requests finish before the process exits.
constexpr int kRunTimesBeforeStop = 2;

}  // namespace

using runtime::Address;
using runtime::LinkId;

SidecarCore::SidecarCore(SidecarOptions options, std::uint64_t seed, TargetPort& target, CallerPort& callers)
    : options_(std::move(options)),
      random_(seed),
      target_port_(target),
      control_(options_, actions_, random_, *this),
      quarantine_([this](const runtime::MessagePointer& message) { control_.broadcast(message); }),
      leave_notices_([this](const runtime::MessagePointer& message) { control_.broadcast(message); }),
      endpoints_(options_, evacuations_),
      subset_(options_.node, options_.zone),
      peers_(actions_, random_),
      incarnation_(random_.uniform(0, UINT64_MAX)),
      gate_(options_, target, quarantine_,
            [this](const GateRequester& requester, wire::ForwardReplyT reply) {
              replyToRequester(requester, std::move(reply));
            }),
      intake_(credit_, intakeListener()),
      answers_(actions_),
      quota_([this](const wire::QuotaRequestT& request, const auto& store, const auto& silent) {
        return control_.requestQuota(request, store, silent);
      }),
      calls_({options_, actions_, random_, endpoints_, peers_, gate_, callers, rollouts_, quarantine_,
              credit_, quota_}) {}

void SidecarCore::limitMemory(overload::MemoryBudget& budget) {
  memory_ = &budget;
  gate_.limitMemory(budget);
  answers_.limitMemory(budget);
  calls_.limitMemory(budget);
}

void SidecarCore::start(const runtime::FileReader& /*files*/, TimePoint now) {
  now_ = now;
  gate_.holdRequests();
  control_.begin(now);
}

void SidecarCore::advance(TimePoint now) {
  const bool was_suspended = now >= now_ + kSuspensionThreshold;
  now_ = now;
  if (was_suspended) gate_.presumeCold("suspended", now);
}

void SidecarCore::onLinkOpened(LinkId link, const runtime::PeerIdentity& /*peer*/, TimePoint now) {
  advance(now);
  if (control_.owns(link)) {
    control_.onLinkOpened(link, now);
    for (const auto& message : leave_notices_.outstanding()) actions_.send(link, message);
  } else if (const auto address = peers_.onLinkOpened(link)) {
    endpoints_.noteLinked(*address, now);
  }
}

void SidecarCore::onLinkClosed(LinkId link, TimePoint now) {
  advance(now);
  if (control_.owns(link)) {
    control_.onLinkClosed(link, now);
  } else if (const auto address = peers_.onLinkClosed(link, now)) {
    endpoints_.noteLinkFailed(*address, now);
    calls_.onPeerLost(*address, now);
  } else {
    arrivals_.forgetLink(link);
    intake_.cancelLink(link, now);
    answers_.cancelLink(link);
    gate_.cancelLink(link, now);
  }
}

void SidecarCore::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  advance(now);
  if (control_.owns(link)) {
    control_.onMessage(link, message, now);
  } else if (const auto address = peers_.addressOf(link)) {
    if (const auto* reply = message.body.AsForwardReply()) {
      calls_.onReply(*address, message.request_id, *reply, now);
    } else if (const auto* grant = message.body.AsBodyGrant()) {
      calls_.onGrant(*address, message.request_id, grant->bytes, now);
    } else if (const auto* part = message.body.AsBodyPart()) {
      calls_.onAnswerPart(*address, message.request_id, *part, now);
    }
  } else {
    onRequesterMessage(link, message, now);
  }
}

/// Handles a message of another sidecar about its requests for the target beside this one.
void SidecarCore::onRequesterMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  const GateRequester requester{link, message.request_id};
  if (const auto* request = message.body.AsForwardRequest()) {
    onRequesterRequest(requester, *request, now);
  } else if (const auto* part = message.body.AsBodyPart()) {
    intake_.onPart(requester, part->bytes, now);
  } else if (const auto* grant = message.body.AsBodyGrant()) {
    answers_.onGrant(requester, *grant, now);
  } else if (message.body.AsForwardCancel() != nullptr) {
    arrivals_.forget(requester);
    intake_.cancel(requester, now);
    gate_.cancel(requester, now);
    answers_.cancel(requester);
  }
}

void SidecarCore::onRequesterRequest(GateRequester requester, const wire::ForwardRequestT& request,
                                     TimePoint now) {
  requester.answer = {request.answer_credit, now + std::chrono::milliseconds(request.deadline_ms)};
  arrivals_.note(requester, now);
  if (calls_.routes() == nullptr) {
    gate_.refuse(requester, request, wire::NotRunReason::TargetDown, now);
  } else if (answers_.isFull(request.answer_bytes, request.answer_credit, now)) {
    // Slots may be free, but a retry before the link has room for the response would be refused, too.
    gate_.refuse(requester, request, wire::NotRunReason::Full, now,
                 answers_.timeUntilCapacity(request.answer_bytes, now));
  } else if (request.announced_bytes == 0 || !gate_.refuseNow(requester, request, now)) {
    admitRequest(requester, request, now);
  }
}

void SidecarCore::admitRequest(const GateRequester& requester, const wire::ForwardRequestT& request,
                               TimePoint now) {
  auto held = chargeRequest(request, memory_);
  if (held == nullptr) {
    gate_.refuse(requester, request, wire::NotRunReason::Full, now);
  } else if (held->announced_bytes == 0) {
    gate_.admit(requester, std::move(held), now);
  } else {
    intake_.announce(requester, std::move(held), now);
  }
}

BodyIntake::Listener SidecarCore::intakeListener() {
  BodyIntake::Listener listener;
  listener.grant = [this](const GateRequester& requester, std::uint32_t bytes) {
    wire::BodyGrantT grant;
    grant.bytes = bytes;
    actions_.send(requester.link, grant, requester.request_id);
  };
  listener.whole = [this](const GateRequester& requester, std::shared_ptr<wire::ForwardRequestT> request) {
    gate_.admit(requester, std::move(request), now_);
  };
  listener.refuse = [this](const GateRequester& requester, const wire::ForwardRequestT& request,
                           wire::NotRunReason reason) {
    logEvent(kBodyRefused, {{"request", request.request_id},
                            {"reason", wire::EnumNameNotRunReason(reason)},
                            {"service", request.service},
                            {"announced_bytes", request.announced_bytes},
                            {"received_bytes", request.body.size()},
                            {"patience_ms", request.patience_ms},
                            {"intake_wait_ms", ceilMilliseconds(intake_.expectedWait())},
                            {"bodies", intake_.size()}});
    gate_.refuse(requester, request, reason, now_);
  };
  return listener;
}

void SidecarCore::replyToRequester(const GateRequester& requester, wire::ForwardReplyT reply) {
  reply.intake_wait_ms = static_cast<std::uint32_t>(ceilMilliseconds(intake_.expectedWait()));
  reply.answer_wait_ms = static_cast<std::uint32_t>(ceilMilliseconds(answers_.expectedWait(now_)));
  reply.at_endpoint_ms = static_cast<std::uint32_t>(ceilMilliseconds(arrivals_.take(requester, now_)));
  if (requester.link == LinkId{}) {
    calls_.onReply(options_.advertise, requester.request_id, reply, now_);
  } else {
    answers_.send(requester, std::move(reply), now_);
  }
}

void SidecarCore::onConfiguration(const mesh::RouteTablePointer& table, TimePoint now) {
  const bool is_first = calls_.routes() == nullptr;
  calls_.setRoutes(table);
  setColdStart(now);
  gate_.setRoutes(table);
  requestTargetHealth();
  // Before the first configuration the endpoint is not published as live.
  if (is_first && gate_.target().condition() != TargetCondition::Unknown)
    onTargetChanged(TargetChangeCause::Configuration, now);
}

void SidecarCore::onEndpoints(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now) {
  endpoints_.apply(update, is_whole, now);
  for (const auto& record : update.records) {
    rollouts_.noteVersion(record->service, record->version, now);
    if (record->state == wire::EndpointState::Leaving)
      calls_.onEndpointDraining({record->address, record->port}, now);
  }
  calls_.setSidecarCount(endpoints_.all().size());
  updateSubset(update, now);
}

void SidecarCore::onRollouts(const wire::RolloutUpdateT& update, TimePoint now) {
  rollouts_.apply(update, now);
  subset_.setUnrestrictedServices(rollouts_.servicesInRollout());
  openLinks(now);
  applyRollouts(now);
  // The leader waits for this sidecar's report on the rollout step.
  reportRollout(now);
}

void SidecarCore::onEvacuations(const wire::EvacuationUpdateT& update, TimePoint now) {
  if (!evacuations_.apply(update)) return;
  const bool is_own = evacuations_.isEvacuated(options_.zone);
  // The zone's targets may have restarted while they received no requests.
  if (gate_.isEvacuated() && !is_own) gate_.presumeCold("evacuation ended", now);
  gate_.setEvacuated(is_own, now);
  logEvent(kEvacuationsChanged, {{"number", evacuations_.number()},
                                 {"zones", fmt::format("{}", fmt::join(evacuations_.zones(), " "))},
                                 {"own_zone", is_own},
                                 {"running", gate_.running()},
                                 {"waiting", gate_.waiting()}});
}

void SidecarCore::applyRollouts(TimePoint now) {
  const auto& target = gate_.target();
  const auto* running = rollouts_.running(target.service());
  gate_.samples().follow(running == nullptr ? 0 : running->number);
  gate_.setVersionClosed(rollouts_.isClosed(target.service(), target.version(), now));
}

void SidecarCore::reportRollout(TimePoint now) {
  rollout_report_at_ = now + kRolloutReportInterval;
  const auto& target = gate_.target();
  const auto* running = rollouts_.running(target.service());
  if (running == nullptr || !rollouts_.leader()) return;
  wire::RolloutReportT report;
  report.service = target.service();
  report.number = running->number;
  report.step = running->step;
  report.incarnation = incarnation_;
  report.endpoint = target.incarnation().name();
  report.version = target.version();
  report.in_flight =
      gate_.running() + gate_.waiting() + static_cast<std::uint32_t>(intake_.size() + answers_.size());
  report.is_closed = gate_.isClosed(now);
  report.cold_ms =
      static_cast<std::uint32_t>(ceilMilliseconds(std::max(Duration::zero(), target.coldUntil() - now)));
  // The slots of an evacuated zone do not count as capacity.
  const bool is_usable = target.condition() == TargetCondition::Ready && !gate_.isEvacuated();
  report.slots = is_usable ? target.slots() : 0;
  gate_.samples().fill(report);
  control_.send(*rollouts_.leader(), std::move(report));
}

void SidecarCore::updateSubset(const wire::EndpointUpdateT& update, TimePoint now) {
  for (const auto& record : update.records) {
    const Address address{record->address, record->port};
    const auto* endpoint = endpoints_.find(address);
    if (address == options_.advertise) {
      endpoints_.noteLocalEndpoint(address);
    } else if (endpoint != nullptr) {
      // A leaving endpoint keeps its link until its record expires, since most endpoints soon return.
      subset_.add(address, endpoint->service, endpoint->version, endpoint->zone);
    }
  }
  openLinks(now);
}

void SidecarCore::openLinks(TimePoint now) {
  auto added = subset_.refresh();
  // Shuffled, with the own zone first, so that sidecars that start at the same time do not all connect to the
  // same endpoints first.
  for (std::size_t left = added.size(); left > 1; --left)
    std::swap(added[left - 1], added[random_.uniform(0, left - 1)]);
  std::stable_partition(added.begin(), added.end(), [this](const Address& address) {
    const auto* endpoint = endpoints_.find(address);
    return endpoint != nullptr && endpoint->zone == options_.zone;
  });
  for (const auto& address : added) peers_.add(address, now);
  peers_.onTimer(now);
}

/// A link with outstanding requests stays open, because their responses arrive over it.
void SidecarCore::closeLinks() {
  for (const auto& address : peers_.all()) {
    const auto* endpoint = endpoints_.find(address);
    const bool is_needed = subset_.contains(address) || (endpoint != nullptr && endpoint->outstanding > 0);
    if (is_needed) continue;
    endpoints_.noteLinkClosed(address);
    peers_.remove(address);
  }
}

void SidecarCore::onTimer(TimePoint now) {
  advance(now);
  control_.onTimer(now);
  peers_.onTimer(now);
  intake_.onTimer(now);
  answers_.onTimer(now);
  quarantine_.onTimer(now);
  applyRollouts(now);
  if (now >= rollout_report_at_) reportRollout(now);
  if (gate_.isClosed(now)) {
    const auto reason = gate_.isEvacuated() ? wire::NotRunReason::Evacuated : wire::NotRunReason::Leaving;
    intake_.refuseUnstarted(reason, now);
  }
  gate_.onTimer(now);
  sendHealthCheckIfDue(now);
  if (hasColdStateChanged(now)) onTargetChanged(TargetChangeCause::ColdState, now);
  quota_.onTimer(now);
  leave_notices_.onTimer(control_.hasCurrentSource(), now);
  calls_.onTimer(now);
  checkStop(now);
  if (now < expire_at_) return;
  expire_at_ = now + kEndpointExpiryInterval;
  for (const auto& address : endpoints_.expire(now)) {
    subset_.remove(address);
    peers_.remove(address);
  }
  openLinks(now);
  closeLinks();
}

TimePoint SidecarCore::nextTimer() const {
  TimePoint next =
      std::min({control_.nextTimer(), peers_.nextTimer(), intake_.nextTimer(), answers_.nextTimer(),
                gate_.nextTimer(), calls_.nextTimer(), quarantine_.nextTimer(), quota_.nextTimer(),
                leave_notices_.nextTimer(), expire_at_});
  if (rollouts_.running(gate_.target().service()) != nullptr) {
    next = std::min(next, rollout_report_at_);
    // After the end of the lease, the gate does not change until the next update from a store.
    if (rollouts_.leaseEnd() > now_) next = std::min(next, rollouts_.leaseEnd());
  }
  if (stop_began_) next = std::min(next, stop_check_at_);
  return next;
}

void SidecarCore::beginStop(TimePoint now) {
  advance(now);
  if (stop_began_) return;
  stop_began_ = now;
  logEvent(kSidecarStopBegan, {{"calls", calls_.inFlight()}, {"running", gate_.running()}});
  calls_.beginStop(now);
  checkStop(now);
}

/// Callers on this machine are still served for stop_minimum. The target therefore keeps receiving requests
/// until their run time and the time to send the remaining responses would exceed that.
TimePoint SidecarCore::gateClosesAt() const {
  const Duration drain_time = kRunTimesBeforeStop * gate_.meanRunTime() + answers_.expectedWait(now_);
  return std::max(*stop_began_ + options_.leaving_grace, *stop_began_ + options_.stop_minimum - drain_time);
}

void SidecarCore::checkStop(TimePoint now) {
  if (!stop_began_) return;
  stop_check_at_ = now + kStopCheckInterval;
  if (!withdrawn_ && now >= gateClosesAt() - options_.leaving_grace) {
    withdrawn_ = true;
    gate_.closeAt(now + options_.leaving_grace);
    if (gate_.target().condition() != TargetCondition::Unknown) onTargetChanged(TargetChangeCause::Stop, now);
  }
}

bool SidecarCore::isIdle() const {
  return calls_.inFlight() == 0 && gate_.running() == 0 && gate_.waiting() == 0 && intake_.size() == 0 &&
         answers_.size() == 0;
}

bool SidecarCore::stopped() const {
  if (!stop_began_) return false;
  const Duration time = now_ - *stop_began_;
  return time >= options_.requestCancelTime() ||
         (time >= options_.stop_minimum && isIdle() && gate_.isClosed(now_));
}

void SidecarCore::onStopEnding(TimePoint now) {
  advance(now);
  calls_.refuseAllRequests();
  logEvent(kSidecarStopEnded, {{"reason", isIdle() ? "idle" : "time_limit"},
                               {"took_ms", stop_began_ ? ceilMilliseconds(now - *stop_began_) : 0},
                               {"calls", calls_.inFlight()},
                               {"answers_arriving", calls_.largeAnswersInFlight()},
                               {"running", gate_.running()},
                               {"waiting", gate_.waiting()},
                               {"bodies", intake_.size()},
                               {"answers_leaving", answers_.size()},
                               {"answer_bytes_leaving", answers_.heldBytes()}});
}

}  // namespace cometstand::sidecar
