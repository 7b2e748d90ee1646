// The part of ControlCore that chooses, opens and leaves links to relays.
#include <algorithm>

#include "base/event_log.h"
#include "proxy/control_core.h"
#include "proxy/control_events.h"

namespace cometstand::proxy {

using runtime::LinkId;

ControlCore::Session ControlCore::connectTo(const runtime::Address& address, TimePoint now) {
  Session session;
  session.link = actions_.connect(address);
  session.address = address;
  session.started = now;
  session.last_heard = now;
  return session;
}

void ControlCore::connectNow(TimePoint now) {
  connect_at_ = TimePoint::max();
  if (candidate_ || stopping_) return;
  std::optional<runtime::Address> avoid;
  if (serving_) avoid = serving_->address;
  const auto address = choice_.next(avoid);
  if (!address || (serving_ && *address == serving_->address)) {
    if (!serving_) scheduleConnect(now, options_.reconnect_maximum);
    return;
  }
  candidate_ = connectTo(*address, now);
}

/// Says hello unless a view is still on its way to disk: a hello names only what is synced.
void ControlCore::sendHello(const Session& session) {
  if (!pending_.empty()) return;
  const auto view = currentView();
  wire::ProxyHelloT hello;
  hello.node = options_.node;
  hello.token = options_.token;
  hello.zone = options_.zone;
  hello.incarnation = options_.incarnation;
  hello.view_version = view->version();
  hello.view_digest = view->digest().toWire();
  actions_.send(session.link, std::move(hello), 0);
  candidate_->said_hello = true;
}

bool ControlCore::isServing(LinkId link) const { return serving_ && serving_->link == link; }

void ControlCore::promoteCandidate(TimePoint now) {
  dropSession(serving_, now);
  serving_ = std::move(candidate_);
  candidate_.reset();
  candidate_must_be_fresher_ = false;
  serving_->last_heard = now;
  stale_at_ = now + options_.stale_limit;
  connect_at_ = TimePoint::max();
  backoff_.reset();
  choice_.restart();
  claims_.onLinkReady(serving_->link, now);
  logEvent(kRelayInUse, {{"host", serving_->address.host}, {"port", serving_->address.port}});
}

void ControlCore::dropSession(std::optional<Session>& session, TimePoint now) {
  if (!session) return;
  if (isServing(session->link)) claims_.onLinkLost(now);
  actions_.close(session->link);
  session.reset();
}

void ControlCore::scheduleConnect(TimePoint now, Duration pause) {
  if (stopping_) return;
  connect_at_ = std::min(connect_at_, now + pause);
}

void ControlCore::checkSilence(TimePoint now) {
  if (serving_ && serving_->last_heard + options_.beat_limit <= now) {
    logEvent(kRelayLost, {{"host", serving_->address.host}, {"port", serving_->address.port}});
    dropSession(serving_, now);
    if (!candidate_) scheduleConnect(now, backoff_.next(random_));
  }
  if (candidate_ && candidate_->started + options_.hello_limit <= now) {
    dropSession(candidate_, now);
    if (!serving_) scheduleConnect(now, backoff_.next(random_));
  }
}

/// Looks for a relay that hears the store while the one in use does not. The one in use is kept meanwhile.
void ControlCore::checkStale(TimePoint now) {
  if (!serving_ || stale_at_ > now) return;
  stale_at_ = now + options_.stale_limit + random_.uniform(Duration::zero(), options_.stale_limit);
  if (candidate_) return;
  candidate_must_be_fresher_ = true;
  scheduleConnect(now, Duration::zero());
}

bool ControlCore::isFresher(std::uint64_t term, std::uint64_t round) const {
  return std::pair(term, round) > std::pair(last_term_, last_round_);
}

void ControlCore::raiseRound(std::uint64_t term, std::uint64_t round, TimePoint now) {
  if (!isFresher(term, round)) return;
  last_term_ = term;
  last_round_ = round;
  stale_at_ = now + options_.stale_limit;
}

void ControlCore::onRefusal(std::optional<Session>& session, const wire::RefusalT& refusal, TimePoint now) {
  const auto* error = refusal.error.get();
  logEvent(kRelayRefused, {{"host", session->address.host},
                           {"port", session->address.port},
                           {"message", error == nullptr ? "" : error->message},
                           {"remedy", error == nullptr ? "" : error->remedy}});
  dropSession(session, now);
  choice_.addAlternatives(refusal.alternatives, random_);
  if (serving_) return;
  const auto wish = std::chrono::milliseconds(error == nullptr ? 0 : error->retry_after_ms);
  const Duration pause =
      wish > Duration::zero() ? runtime::ReconnectBackoff::honour(wish, random_) : backoff_.next(random_);
  scheduleConnect(now, pause);
}

/// The relay stops soon: connects to another one first, and leaves this one when that serves.
void ControlCore::onGoodbye(const wire::GoodbyeT& goodbye, TimePoint now) {
  choice_.addAlternatives(goodbye.alternatives, random_);
  candidate_must_be_fresher_ = false;
  if (!candidate_) scheduleConnect(now, random_.uniform(Duration::zero(), options_.reconnect_minimum));
}

}  // namespace cometstand::proxy
