#include "proxy/control_core.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "proxy/control_events.h"
#include "proxy/view_file.h"
#include "view/view_builder.h"

namespace cometstand::proxy {

using runtime::LinkId;

namespace {

std::string addressText(const runtime::Address& address) {
  return fmt::format("{}:{}", address.host, address.port);
}

}  // namespace

ControlCore::ControlCore(ControlOptions options, ControlListener* listener)
    : options_(std::move(options)),
      listener_(listener == nullptr ? &no_listener_ : listener),
      random_(options_.seed),
      backoff_(options_.reconnect_minimum, options_.reconnect_maximum),
      choice_(options_.relays, options_.zone, random_),
      claims_(options_, actions_,
              [this](std::uint64_t callback, const wire::ClaimReplyT& reply) {
                listener_->onClaimAnswer(callback, reply);
              }),
      current_(std::make_shared<const view::View>()) {}

void ControlCore::start(const runtime::FileReader& files, TimePoint now) {
  recover(files);
  scheduleConnect(now, backoff_.next(random_));
}

void ControlCore::onLinkOpened(LinkId link, const runtime::PeerIdentity& peer, TimePoint now) {
  if (!candidate_ || candidate_->link != link) return;
  if (!peer.role.empty() && peer.role != "relay") {
    dropSession(candidate_, now);
    scheduleConnect(now, backoff_.next(random_));
    return;
  }
  candidate_->opened = true;
  candidate_->last_heard = now;
  sendHello(*candidate_);
}

void ControlCore::onLinkClosed(LinkId link, TimePoint now) {
  if (candidate_ && candidate_->link == link) {
    candidate_.reset();
    if (!serving_) scheduleConnect(now, backoff_.next(random_));
    return;
  }
  if (!isServing(link)) return;
  logEvent(kRelayLost, {{"relay", addressText(serving_->address)}});
  serving_.reset();
  claims_.onLinkLost(now);
  if (!candidate_) scheduleConnect(now, backoff_.next(random_));
}

void ControlCore::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (candidate_ && candidate_->link == link) {
    onCandidateMessage(message, now);
  } else if (isServing(link)) {
    serving_->last_heard = now;
    onServingMessage(message, now);
  }
}

void ControlCore::onCandidateMessage(const wire::EnvelopeT& message, TimePoint now) {
  if (const auto* refusal = message.body.AsRefusal()) {
    onRefusal(candidate_, *refusal, now);
    return;
  }
  const auto* beat = message.body.AsViewBeat();
  const bool is_view = message.body.AsViewDelta() != nullptr || message.body.AsViewSnapshot() != nullptr;
  if (beat == nullptr && !is_view) return;
  if (candidate_must_be_fresher_ && serving_ && beat != nullptr && !isFresher(beat->term, beat->round)) {
    dropSession(candidate_, now);
    return;
  }
  promoteCandidate(now);
  onServingMessage(message, now);
}

void ControlCore::onServingMessage(const wire::EnvelopeT& message, TimePoint now) {
  if (const auto* delta = message.body.AsViewDelta()) return onDelta(*delta);
  if (const auto* snapshot = message.body.AsViewSnapshot()) return onSnapshot(*snapshot);
  if (const auto* beat = message.body.AsViewBeat()) return onBeat(*beat, now);
  if (const auto* refusal = message.body.AsRefusal()) return onRefusal(serving_, *refusal, now);
  if (const auto* goodbye = message.body.AsGoodbye()) return onGoodbye(*goodbye, now);
  if (const auto* update = message.body.AsEndpointUpdate()) return onEndpointUpdate(*update);
  if (const auto* reply = message.body.AsClaimReply())
    return claims_.onReply(message.request_id, *reply, now);
  if (const auto* share = message.body.AsConnectionShare()) {
    share_ = std::max(share->proxies, 1U);
    listener_->onConnectionShare(share_);
    return;
  }
  if (message.body.AsStopOrder() != nullptr) listener_->onStopOrder();
}

void ControlCore::onFileWritten(runtime::WriteId write, TimePoint /*now*/) {
  if (pending_.empty() || pending_.front().write != write) return;
  const PendingView written = std::move(pending_.front());
  pending_.pop_front();
  putInForce(written);
  writeNext();
  if (pending_.empty() && candidate_ && candidate_->opened && !candidate_->said_hello) sendHello(*candidate_);
}

void ControlCore::onFileFailed(runtime::WriteId /*write*/, const std::string& reason, TimePoint /*now*/) {
  logEvent(kViewNotStored, {{"reason", reason}});
  disk_failed_ = true;
  pending_.clear();
}

void ControlCore::onTimer(TimePoint now) {
  claims_.onTimer(now);
  checkSilence(now);
  checkStale(now);
  if (connect_at_ <= now) connectNow(now);
}

TimePoint ControlCore::nextTimer() const {
  TimePoint next = std::min(connect_at_, claims_.nextTimer());
  if (serving_) next = std::min({next, serving_->last_heard + options_.beat_limit, stale_at_});
  if (candidate_) next = std::min(next, candidate_->started + options_.hello_limit);
  return next;
}

runtime::Actions ControlCore::takeActions() { return actions_.take(); }

void ControlCore::beginStop(TimePoint now) {
  if (stopping_) return;
  stopping_ = true;
  connect_at_ = TimePoint::max();
  dropSession(candidate_, now);
  announceStop();
}

bool ControlCore::stopped() const { return stopping_ && pending_.empty() && !(serving_ && claims_.busy()); }

std::vector<EndpointRecordPointer> ControlCore::endpointRecords() const {
  std::vector<EndpointRecordPointer> records;
  records.reserve(endpoints_.size());
  for (const auto& [id, record] : endpoints_) records.push_back(record);
  return records;
}

void ControlCore::requestClaim(wire::ClaimRequestT request, std::uint64_t callback, TimePoint now) {
  claims_.request(std::move(request), callback, now);
}

void ControlCore::finishClaim(wire::ClaimFinishT finish, TimePoint now) {
  claims_.finish(std::move(finish), now);
}

void ControlCore::reportSighting(wire::EndpointRecordT record) {
  if (!serving_) return;
  wire::EndpointUpdateT update;
  update.records.push_back(std::make_shared<wire::EndpointRecordT>(std::move(record)));
  actions_.send(serving_->link, std::move(update), 0);
}

void ControlCore::announceStop() {
  if (serving_) actions_.send(serving_->link, wire::GoodbyeT(), 0);
}

}  // namespace cometstand::proxy
