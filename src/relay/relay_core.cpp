#include "relay/relay_core.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "relay/error_info.h"
#include "relay/events.h"

namespace cometstand::relay {

using runtime::LinkId;

namespace {

/// A FreshnessRequest without answer is sent anew after this time.
constexpr Duration kFreshnessRetry = std::chrono::seconds(1);

/// How long followers may take to answer a StatusRequest.
constexpr Duration kStatusLimit = std::chrono::seconds(1);

bool isIncomingId(LinkId link) { return static_cast<std::uint64_t>(link) >= runtime::kFirstIncomingLink; }

}  // namespace

RelayCore::RelayCore(RelayOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      index_(options_.max_tombstones),
      monitor_({options_.zone, options_.endpoint_lease, options_.sighting_hold, options_.first_sequence},
               table_),
      upstream_(options_, actions_, random_),
      freshness_(actions_, numbers_, kFreshnessRetry),
      router_(actions_, numbers_, options_.request_limit),
      proxies_(options_, actions_, random_, index_, table_, freshness_),
      followers_(actions_, index_),
      status_(actions_, numbers_, kStatusLimit),
      mesh_(options_, actions_, random_) {}

void RelayCore::start(const runtime::FileReader& /*files*/, TimePoint now) {
  upstream_.start(now);
  mesh_.start(now);
  monitor_.setActive(isProber(), now);
}

void RelayCore::onLinkOpened(LinkId link, const runtime::PeerIdentity& peer, TimePoint now) {
  if (upstream_.owns(link)) {
    upstream_.onLinkOpened(link, peer, index_.version(), now);
  } else if (mesh_.owns(link)) {
    mesh_.onOutgoingOpened(link, peer, now);
  } else if (isIncomingId(link)) {
    incoming_[link] = {LinkRole::Unnamed, peer.role};
    unnamed_[link] = now;
  }
}

void RelayCore::onLinkClosed(LinkId link, TimePoint now) {
  router_.onUpstreamClosed(link);
  if (upstream_.owns(link)) {
    const bool was_in_use = upstream_.link() == link;
    upstream_.onLinkClosed(link, now);
    if (was_in_use) freshness_.onUpstreamLost();
  }
  mesh_.onLinkClosed(link, now);
  router_.forget(link);
  freshness_.forget(link);
  status_.onLinkClosed(link);
  followers_.remove(link);
  proxies_.remove(link);
  incoming_.erase(link);
  unnamed_.erase(link);
  refreshMembership(now);
}

void RelayCore::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (upstream_.owns(link)) {
    onUpstreamMessage(link, message, now);
  } else if (mesh_.owns(link)) {
    onPeerMessage(link, message, now);
  } else {
    const auto found = incoming_.find(link);
    if (found == incoming_.end()) return;
    if (found->second.role == LinkRole::Unnamed) {
      nameLink(link, found->second, message, now);
    } else {
      onIncomingMessage(link, found->second, message, now);
    }
  }
  refreshMembership(now);
}

void RelayCore::onUpstreamMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  const auto& body = message.body;
  if (const auto* refusal = body.AsRefusal()) {
    // One that answers a FreshnessRequest leaves the link in use: the question is asked anew in a while.
    if (message.request_id != 0) return;
    loseUpstream(link, now, [&] { upstream_.onRefusal(link, *refusal, now); });
  } else if (const auto* delta = body.AsConfigurationDelta()) {
    if (upstream_.onConfiguration(link, now)) useUpstream(link, now);
    applyDelta(link, *delta, now);
  } else if (const auto* snapshot = body.AsConfigurationSnapshot()) {
    if (upstream_.onConfiguration(link, now)) useUpstream(link, now);
    configurationChanged(index_.apply(*snapshot), now);
  } else if (const auto* beat = body.AsQuorumBeat()) {
    if (upstream_.onBeat(link, beat->term, beat->round, now)) useUpstream(link, now);
    onBeat(link, message.request_id, *beat, now);
  } else if (const auto* reply = body.AsClaimReply()) {
    router_.onAnswer(message.request_id, *reply);
  } else if (const auto* goodbye = body.AsGoodbye()) {
    upstream_.onGoodbye(*goodbye, now);
  } else if (const auto* order = body.AsStopOrder()) {
    onStopOrder(*order, now);
  } else if (const auto* status = body.AsStatusRequest()) {
    beginStatus(link, message.request_id, *status, now);
  }
}

void RelayCore::useUpstream(LinkId link, TimePoint now) {
  router_.onUpstreamReady(link);
  freshness_.onUpstreamReady(link, now);
  has_reported_ = false;
}

/// Runs an action by which the link may go out of use, and answers what was on its way over it.
void RelayCore::loseUpstream(LinkId link, TimePoint /*now*/, const std::function<void()>& action) {
  const bool was_in_use = upstream_.link() == link;
  action();
  if (!was_in_use || upstream_.link() == link) return;
  router_.onUpstreamClosed(link);
  freshness_.onUpstreamLost();
}

void RelayCore::applyDelta(LinkId link, const wire::ConfigurationDeltaT& delta, TimePoint now) {
  try {
    configurationChanged(index_.apply(delta), now);
  } catch (const Error& error) {
    logEvent(kConfigurationGap, {{"reason", error.what()}});
    loseUpstream(link, now, [&] { upstream_.abandon(now); });
  }
}

void RelayCore::onBeat(LinkId link, std::uint64_t request_id, const wire::QuorumBeatT& beat, TimePoint now) {
  if (request_id != 0) {
    for (const auto& asker : freshness_.onAnswer(request_id, now)) {
      if (proxies_.contains(asker.link)) {
        proxies_.onFreshness(asker.link, beat.version, now);
      } else {
        actions_.send(asker.link, beat, asker.request_id);
      }
    }
    return;
  }
  if (upstream_.link() != link) return;
  proxies_.onRound(beat.term, beat.round);
  followers_.onBeat(beat);
}

void RelayCore::configurationChanged(const ConfigurationIndex::Changed& changed, TimePoint now) {
  if (!changed.advanced) return;
  for (const auto& tenant : changed.tenants) {
    for (const auto& removed : monitor_.setServices(tenant, index_, now)) table_.erase(removed);
  }
  followers_.onChanged();
  proxies_.onChanged(changed, now);
}

void RelayCore::nameLink(LinkId link, IncomingLink& incoming, const wire::EnvelopeT& message, TimePoint now) {
  unnamed_.erase(link);
  if (const auto* hello = message.body.AsProxyHello(); hello != nullptr && mayBe(incoming, "proxy")) {
    incoming.role = LinkRole::Proxy;
    proxies_.setAlternatives(mesh_.linkedAddresses());
    proxies_.hello(link, *hello, now);
  } else if (const auto* request = message.body.AsFollowRequest();
             request != nullptr && mayBe(incoming, "relay")) {
    incoming.role = LinkRole::Follower;
    onFollowRequest(link, *request, now);
  } else if (message.body.AsRelayHello() != nullptr && mayBe(incoming, "relay")) {
    incoming.role = LinkRole::Peer;
    onPeerMessage(link, message, now);
  } else {
    logEvent(kUnexpectedMessage, {{"certificate_role", incoming.certificate_role}});
    actions_.close(link);
  }
}

bool RelayCore::mayBe(const IncomingLink& incoming, const char* role) {
  return incoming.certificate_role.empty() || incoming.certificate_role == role;
}

void RelayCore::onIncomingMessage(LinkId link, const IncomingLink& incoming, const wire::EnvelopeT& message,
                                  TimePoint now) {
  switch (incoming.role) {
    case LinkRole::Proxy:
      onProxyMessage(link, message, now);
      break;
    case LinkRole::Follower:
      onFollowerMessage(link, message, now);
      break;
    case LinkRole::Peer:
      onPeerMessage(link, message, now);
      break;
    case LinkRole::Unnamed:
      break;
  }
}

void RelayCore::onProxyMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (!proxies_.contains(link)) return;
  const auto& body = message.body;
  if (const auto* report = body.AsViewReport()) {
    proxies_.onReport(link, *report, now);
  } else if (const auto* update = body.AsEndpointUpdate()) {
    onSightings(link, *update, now);
  } else if (body.AsGoodbye() != nullptr) {
    proxies_.onGoodbye(link);
  } else if (const auto* claim = body.AsClaimRequest()) {
    onClaim(link, claim->tenant, message, now);
  } else if (const auto* finish = body.AsClaimFinish()) {
    onClaim(link, finish->tenant, message, now);
  }
}

void RelayCore::onClaim(LinkId link, const std::string& tenant, const wire::EnvelopeT& message,
                        TimePoint now) {
  if (proxies_.holdsTenant(link, tenant)) {
    router_.forward(link, message, now);
    return;
  }
  wire::ClaimReplyT reply;
  reply.outcome = wire::Outcome::NotRun;
  reply.error = errorInfo(ErrorKind::Forbidden, "the proxy's node does not serve tenant " + tenant,
                          "add the tenant to the node", Duration::zero());
  actions_.send(link, std::move(reply), message.request_id);
}

void RelayCore::onFollowRequest(LinkId link, const wire::FollowRequestT& request, TimePoint now) {
  const auto reader = upstream_.relayInUse();
  if (!stopping_ && !reader && upstream_.isFresh(now)) {
    followers_.add(link, request);
    return;
  }
  std::vector<runtime::Address> alternatives;
  if (reader) alternatives.push_back(*reader);
  actions_.send(link,
                makeRefusal(errorInfo(stopping_ ? ErrorKind::Stopping : ErrorKind::Unavailable,
                                      "this relay does not read from the store", "ask the store",
                                      options_.reconnect_minimum),
                            alternatives),
                0);
  actions_.close(link);
}

void RelayCore::onFollowerMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  const auto& body = message.body;
  if (body.AsFreshnessRequest() != nullptr) {
    freshness_.ask({link, message.request_id}, now);
  } else if (const auto* report = body.AsInForceReport()) {
    followers_.onReport(link, *report);
  } else if (const auto* reply = body.AsStatusReply()) {
    status_.onReply(link, message.request_id, *reply);
  } else if (body.AsClaimRequest() != nullptr || body.AsClaimFinish() != nullptr) {
    router_.forward(link, message, now);
  } else if (body.AsGoodbye() != nullptr) {
    followers_.remove(link);
  }
}

void RelayCore::onPeerMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  mesh_.onHeard(link, now);
  const auto& body = message.body;
  if (const auto* hello = body.AsRelayHello()) {
    if (mesh_.onHello(link, *hello, now)) sendWholeTable(link);
  } else if (const auto* report = body.AsInForceReport()) {
    mesh_.onReport(link, *report, now);
  } else if (const auto* update = body.AsEndpointUpdate()) {
    onPeerRecords(*update, now);
  }
}

void RelayCore::onTimer(TimePoint now) {
  const auto before = upstream_.link();
  upstream_.onTimer(now);
  if (before && upstream_.link() != before) {
    router_.onUpstreamClosed(*before);
    freshness_.onUpstreamLost();
  }
  freshness_.onTimer(now);
  router_.onTimer(now);
  status_.onTimer(now);
  mesh_.onTimer(now);
  proxies_.onTimer(now);
  publish(monitor_.onTimer(now), now);
  if (records_at_ <= now) flushRecords();
  if (report_at_ <= now) reportUpstream(now);
  if (share_at_ <= now) shareConnections(now);
  closeSilentLinks(now);
  refreshMembership(now);
}

TimePoint RelayCore::nextTimer() const {
  TimePoint next = std::min({upstream_.nextTimer(), freshness_.nextTimer(), router_.nextTimer(),
                             status_.nextTimer(), mesh_.nextTimer(), proxies_.nextTimer(),
                             monitor_.nextTimer(), records_at_, report_at_, share_at_, stop_deadline_});
  if (!unnamed_.empty()) next = std::min(next, unnamed_.begin()->second + options_.hello_limit);
  return next;
}

/// Links that said nothing in time; ids of incoming links rise with time.
void RelayCore::closeSilentLinks(TimePoint now) {
  while (!unnamed_.empty() && unnamed_.begin()->second + options_.hello_limit <= now) {
    const LinkId link = unnamed_.begin()->first;
    actions_.close(link);
    incoming_.erase(link);
    unnamed_.erase(link);
  }
}

void RelayCore::beginStop(TimePoint now) {
  if (stopping_) return;
  stopping_ = true;
  stop_deadline_ = now + options_.stop_limit;
  logEvent(kStopBegan, {{"proxies", proxies_.linkCount()}});
  proxies_.setAlternatives(mesh_.linkedAddresses());
  proxies_.beginHandover(now);
  followers_.sendGoodbye();
  mesh_.stop();
}

bool RelayCore::stopped() const {
  if (!stopping_) return false;
  const bool is_empty = proxies_.linkCount() == 0 && followers_.links().empty() && !router_.busy();
  return stop_passed_ || is_empty;
}

}  // namespace cometstand::relay
