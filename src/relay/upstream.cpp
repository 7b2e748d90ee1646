#include "relay/upstream.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "relay/events.h"

namespace cometstand::relay {

using runtime::LinkId;

namespace {

/// Redirects followed without the usual pause, so that two upstreams that name each other cause no storm.
constexpr unsigned kMaxQuickRedirects = 3;

}  // namespace

Upstream::Upstream(const RelayOptions& options, runtime::ActionQueue& actions, RandomSource& random)
    : options_(options),
      actions_(actions),
      random_(random),
      backoff_(options.reconnect_minimum, options.reconnect_maximum),
      next_store_(options.stores.empty() ? 0 : random.uniform(0, options.stores.size() - 1)) {}

void Upstream::start(TimePoint now) {
  last_beat_ = now;
  scheduleConnect(now, random_.uniform(Duration::zero(), options_.reconnect_minimum));
}

bool Upstream::owns(LinkId link) const {
  const auto is_link = [&](const std::optional<Connection>& connection) {
    return connection && connection->link == link;
  };
  return is_link(current_) || is_link(candidate_) || is_link(leaving_);
}

std::optional<LinkId> Upstream::link() const {
  if (!current_) return std::nullopt;
  return current_->link;
}

std::optional<runtime::Address> Upstream::relayInUse() const {
  if (!current_ || !isPeer(current_->address)) return std::nullopt;
  return current_->address;
}

bool Upstream::isFresh(TimePoint now) const {
  return current_.has_value() && last_beat_ + options_.upstream_beat_limit > now;
}

bool Upstream::isPeer(const runtime::Address& address) const {
  return std::find(options_.peers.begin(), options_.peers.end(), address) != options_.peers.end();
}

void Upstream::connectNext(TimePoint now) {
  connect_at_ = TimePoint::max();
  if (candidate_ || stopped_) return;
  runtime::Address address;
  if (!alternatives_.empty()) {
    address = alternatives_.front();
    alternatives_.pop_front();
  } else if (!options_.stores.empty()) {
    address = options_.stores[next_store_++ % options_.stores.size()];
  } else {
    return;
  }
  candidate_ = Connection{actions_.connect(address), address, now};
}

void Upstream::scheduleConnect(TimePoint now, Duration pause) {
  if (!stopped_) connect_at_ = std::min(connect_at_, now + pause);
}

void Upstream::onLinkOpened(LinkId link, const runtime::PeerIdentity& peer, std::uint64_t have_version,
                            TimePoint now) {
  if (!candidate_ || candidate_->link != link) return;
  if (!peer.role.empty() && peer.role != "store" && peer.role != "relay") {
    drop(candidate_);
    scheduleConnect(now, backoff_.next(random_));
    return;
  }
  wire::FollowRequestT request;
  request.relay = options_.name;
  request.zone = options_.zone;
  request.region = options_.region;
  request.address = std::make_shared<wire::NetworkAddressT>();
  request.address->address = options_.advertise.host;
  request.address->port = options_.advertise.port;
  request.have_version = have_version;
  actions_.send(link, std::move(request), 0);
}

void Upstream::onLinkClosed(LinkId link, TimePoint now) {
  if (leaving_ && leaving_->link == link) leaving_.reset();
  if (candidate_ && candidate_->link == link) {
    candidate_.reset();
    scheduleConnect(now, backoff_.next(random_));
  }
  if (current_ && current_->link == link) {
    logEvent(kUpstreamLost, {{"host", current_->address.host}, {"port", current_->address.port}});
    current_.reset();
    if (!candidate_) scheduleConnect(now, backoff_.next(random_));
  }
}

bool Upstream::promote(LinkId link, TimePoint now) {
  if (!candidate_ || candidate_->link != link) return false;
  drop(leaving_);
  leaving_ = std::exchange(current_, std::exchange(candidate_, std::nullopt));
  redirects_ = 0;
  backoff_.reset();
  alternatives_.clear();
  connect_at_ = TimePoint::max();
  last_beat_ = now;
  logEvent(kUpstreamInUse, {{"host", current_->address.host}, {"port", current_->address.port}});
  return true;
}

bool Upstream::onConfiguration(LinkId link, TimePoint now) { return promote(link, now); }

bool Upstream::onBeat(LinkId link, std::uint64_t term, std::uint64_t round, TimePoint now) {
  const bool came_into_use = promote(link, now);
  const bool is_newer = std::pair(term, round) > std::pair(last_term_, last_round_);
  if (is_newer && current_ && current_->link == link) {
    last_term_ = term;
    last_round_ = round;
    last_beat_ = now;
  }
  return came_into_use;
}

void Upstream::preferAlternatives(const std::vector<std::shared_ptr<wire::NetworkAddressT>>& alternatives) {
  alternatives_.clear();
  for (const auto& alternative : alternatives) {
    if (!alternative) continue;
    const runtime::Address address{alternative->address, alternative->port};
    if (address != options_.advertise) alternatives_.push_back(address);
  }
}

void Upstream::onRefusal(LinkId link, const wire::RefusalT& refusal, TimePoint now) {
  const auto* error = refusal.error.get();
  logEvent(kUpstreamRefused, {{"message", error == nullptr ? "" : error->message},
                              {"remedy", error == nullptr ? "" : error->remedy}});
  if (candidate_ && candidate_->link == link) drop(candidate_);
  if (current_ && current_->link == link) drop(current_);
  preferAlternatives(refusal.alternatives);
  const Duration wish = std::chrono::milliseconds(error == nullptr ? 0 : error->retry_after_ms);
  const bool is_quick = !alternatives_.empty() && ++redirects_ <= kMaxQuickRedirects;
  if (is_quick) {
    scheduleConnect(now, random_.uniform(Duration::zero(), options_.reconnect_minimum / 4));
  } else if (wish > Duration::zero()) {
    scheduleConnect(now, runtime::ReconnectBackoff::honour(wish, random_));
  } else {
    scheduleConnect(now, backoff_.next(random_));
  }
}

void Upstream::onGoodbye(const wire::GoodbyeT& goodbye, TimePoint now) {
  preferAlternatives(goodbye.alternatives);
  if (!candidate_) scheduleConnect(now, random_.uniform(Duration::zero(), options_.reconnect_minimum));
}

void Upstream::abandon(TimePoint now) {
  drop(current_);
  if (!candidate_) scheduleConnect(now, backoff_.next(random_));
}

void Upstream::stop() {
  stopped_ = true;
  connect_at_ = TimePoint::max();
  drop(candidate_);
}

void Upstream::drop(std::optional<Connection>& connection) {
  if (!connection) return;
  actions_.close(connection->link);
  connection.reset();
}

void Upstream::onTimer(TimePoint now) {
  if (current_ && last_beat_ + options_.upstream_beat_limit <= now) {
    logEvent(kUpstreamLost, {{"host", current_->address.host}, {"port", current_->address.port}});
    abandon(now);
  }
  if (candidate_ && candidate_->since + options_.upstream_beat_limit <= now) {
    drop(candidate_);
    scheduleConnect(now, backoff_.next(random_));
  }
  if (connect_at_ <= now) connectNext(now);
}

TimePoint Upstream::nextTimer() const {
  TimePoint next = connect_at_;
  if (current_) next = std::min(next, last_beat_ + options_.upstream_beat_limit);
  if (candidate_) next = std::min(next, candidate_->since + options_.upstream_beat_limit);
  return next;
}

}  // namespace cometstand::relay
