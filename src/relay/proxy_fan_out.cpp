#include "relay/proxy_fan_out.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "relay/error_info.h"
#include "relay/events.h"

namespace cometstand::relay {

using runtime::LinkId;

namespace {

/// Suggested pause for a proxy whose credentials or node name are wrong: an operator must act first.
constexpr Duration kWrongNodeRetry = std::chrono::seconds(10);

/// Suggested pause for a proxy that this relay cannot serve yet.
constexpr Duration kNotReadyRetry = std::chrono::seconds(1);

}  // namespace

ProxyFanOut::ProxyFanOut(const RelayOptions& options, runtime::ActionQueue& actions, RandomSource& random,
                         ConfigurationIndex& index, const EndpointTable& table, FreshnessGate& freshness)
    : options_(options),
      actions_(actions),
      random_(random),
      index_(index),
      table_(table),
      freshness_(freshness),
      source_(index),
      limiter_(options.join_rate, options.join_burst) {}

void ProxyFanOut::hello(LinkId link, const wire::ProxyHelloT& hello, TimePoint now) {
  if (stopping_) {
    refuse(link, ErrorKind::Stopping, "the relay is stopping", "use another relay", kNotReadyRetry);
    return;
  }
  if (const auto retry_after = limiter_.admit(now, random_)) {
    refuse(link, ErrorKind::Overloaded, "too many proxies join at once", "come back later", *retry_after);
    return;
  }
  Subscriber subscriber;
  subscriber.link = link;
  subscriber.node = hello.node;
  subscriber.zone = hello.zone;
  subscriber.token = hello.token;
  subscriber.deadline = now + options_.catch_up_limit;
  subscriber.required_version = hello.view_version;
  subscriber.position = {hello.view_version, view::DigestSum::fromWire(hello.view_digest.get())};
  subscriber.acknowledged_version = hello.view_version;
  subscriber.in_force_version = hello.view_version;
  subscriber.awaiting_freshness = hello.view_version == 0;
  if (subscriber.awaiting_freshness) freshness_.ask({link, 0}, now);
  auto& stored = subscribers_.insert_or_assign(link, std::move(subscriber)).first->second;
  waiting_.emplace(stored.deadline, link);
  tryServe(stored, now);
}

void ProxyFanOut::refuse(LinkId link, ErrorKind kind, const std::string& message, const std::string& remedy,
                         Duration retry_after) {
  logEvent(kProxyRefused, {{"kind", errorKindName(kind)}, {"message", message}, {"remedy", remedy}});
  actions_.send(link, makeRefusal(errorInfo(kind, message, remedy, retry_after), alternatives_), 0);
  actions_.close(link);
  remove(link);
}

void ProxyFanOut::remove(LinkId link) {
  const auto found = subscribers_.find(link);
  if (found == subscribers_.end()) return;
  unsubscribe(found->second);
  const auto of_node = by_node_.find(found->second.node);
  if (of_node != by_node_.end() && of_node->second == link) by_node_.erase(of_node);
  waiting_.erase({found->second.deadline, link});
  if (found->second.serving && !found->second.stopping) --count_;
  freshness_.forget(link);
  subscribers_.erase(found);
}

/// @return false if the proxy was refused; it is removed then.
bool ProxyFanOut::checkNode(const Subscriber& subscriber) {
  const auto change = index_.node(subscriber.node);
  if (!change) {
    refuse(subscriber.link, ErrorKind::NotFound, "no node is named " + subscriber.node,
           "create the node, or correct the proxy's node name", kWrongNodeRetry);
    return false;
  }
  if (!verifyNodeToken(*change->object->spec.AsNodeSpec(), subscriber.token)) {
    refuse(subscriber.link, ErrorKind::Unauthenticated, "the token is not that of node " + subscriber.node,
           "give the proxy the token that the node was created with", kWrongNodeRetry);
    return false;
  }
  return true;
}

void ProxyFanOut::tryServe(Subscriber& subscriber, TimePoint /*now*/) {
  const bool is_behind = index_.version() < std::max<std::uint64_t>(subscriber.required_version, 1);
  if (subscriber.awaiting_freshness || is_behind) return;
  if (!checkNode(subscriber)) return;
  const auto previous = by_node_.find(subscriber.node);
  if (previous != by_node_.end() && previous->second != subscriber.link) {
    // The node connected anew; its old link is dead or about to be left.
    const LinkId old = previous->second;
    actions_.close(old);
    remove(old);
  }
  waiting_.erase({subscriber.deadline, subscriber.link});
  by_node_[subscriber.node] = subscriber.link;
  subscriber.serving = true;
  if (!subscriber.stopping) ++count_;
  subscribe(subscriber);
  bringUpToDate(subscriber);
  sendBeat(subscriber);
  sendAllEndpoints(subscriber);
  if (share_ > 0) {
    wire::ConnectionShareT share;
    share.proxies = share_;
    actions_.send(subscriber.link, share, 0);
  }
}

void ProxyFanOut::tryServeWaiting(TimePoint now) {
  const auto waiting = waiting_;
  for (const auto& [deadline, link] : waiting) {
    const auto found = subscribers_.find(link);
    if (found != subscribers_.end()) tryServe(found->second, now);
  }
}

void ProxyFanOut::subscribe(Subscriber& subscriber) {
  subscriber.tenants = index_.tenantsOf(subscriber.node);
  for (const auto& tenant : *subscriber.tenants) by_tenant_[tenant].insert(subscriber.link);
}

void ProxyFanOut::unsubscribe(const Subscriber& subscriber) {
  if (!subscriber.tenants) return;
  for (const auto& tenant : *subscriber.tenants) {
    const auto found = by_tenant_.find(tenant);
    if (found == by_tenant_.end()) continue;
    found->second.erase(subscriber.link);
    if (found->second.empty()) by_tenant_.erase(found);
  }
}

void ProxyFanOut::bringUpToDate(Subscriber& subscriber) {
  const bool is_current = source_.isCurrent(subscriber.node, subscriber.tenants, subscriber.position);
  if (is_current && !subscriber.snapshot_needed) {
    subscriber.current_version = index_.version();
    return;
  }
  const auto update =
      source_.updateFor(subscriber.node, subscriber.tenants, subscriber.position, subscriber.snapshot_needed);
  if (!update) {
    // The next version brings one.
    subscriber.snapshot_needed = true;
    return;
  }
  if (subscriber.acknowledged_version >= subscriber.position.version) {
    subscriber.in_force_version = std::max(subscriber.in_force_version, inForce(subscriber));
  }
  subscriber.position = update->result;
  subscriber.snapshot_needed = false;
  subscriber.current_version = index_.version();
  subscriber.told_version = index_.version();
  actions_.send(subscriber.link, update->message);
}

void ProxyFanOut::onReport(LinkId link, const wire::ViewReportT& report, TimePoint /*now*/) {
  const auto found = subscribers_.find(link);
  if (found == subscribers_.end() || !found->second.serving) return;
  Subscriber& subscriber = found->second;
  if (report.result == wire::ViewResult::Applied) {
    subscriber.acknowledged_version = std::max(subscriber.acknowledged_version, report.view_version);
    subscriber.in_force_version = std::max(subscriber.in_force_version, report.as_of);
    return;
  }
  subscriber.position.version = report.view_version;
  subscriber.snapshot_needed = true;
  if (index_.version() >= report.view_version) bringUpToDate(subscriber);
}

void ProxyFanOut::onGoodbye(LinkId link) {
  const auto found = subscribers_.find(link);
  if (found == subscribers_.end() || found->second.stopping) return;
  found->second.stopping = true;
  if (found->second.serving) --count_;
}

void ProxyFanOut::onFreshness(LinkId link, std::uint64_t version, TimePoint now) {
  const auto found = subscribers_.find(link);
  if (found == subscribers_.end() || !found->second.awaiting_freshness) return;
  found->second.awaiting_freshness = false;
  found->second.required_version = std::max(found->second.required_version, version);
  tryServe(found->second, now);
}

void ProxyFanOut::onRound(std::uint64_t term, std::uint64_t round) {
  if (std::pair(term, round) <= std::pair(term_, round_)) return;
  term_ = term;
  round_ = round;
}

void ProxyFanOut::onChanged(const ConfigurationIndex::Changed& changed, TimePoint now) {
  source_.onAdvanced();
  changed_tenants_.insert(changed.tenants.begin(), changed.tenants.end());
  changed_nodes_.insert(changed.nodes.begin(), changed.nodes.end());
  tryServeWaiting(now);
  if (!isAffected()) {
    changed_tenants_.clear();
    changed_nodes_.clear();
    publish(now);
  } else if (last_flush_ + options_.batch_window <= now) {
    flush(now);
  } else {
    flush_at_ = last_flush_ + options_.batch_window;
  }
}

bool ProxyFanOut::isAffected() const {
  const auto is_held = [&](const std::string& tenant) { return by_tenant_.contains(tenant); };
  const auto is_here = [&](const std::string& node) { return by_node_.contains(node); };
  return std::any_of(changed_tenants_.begin(), changed_tenants_.end(), is_held) ||
         std::any_of(changed_nodes_.begin(), changed_nodes_.end(), is_here);
}

/// @return the links of the proxies that hold a changed tenant or node, each once.
std::vector<LinkId> ProxyFanOut::affectedLinks() const {
  std::vector<LinkId> links;
  for (const auto& tenant : changed_tenants_) {
    const auto found = by_tenant_.find(tenant);
    if (found != by_tenant_.end()) links.insert(links.end(), found->second.begin(), found->second.end());
  }
  for (const auto& node : changed_nodes_) {
    const auto found = by_node_.find(node);
    if (found != by_node_.end()) links.push_back(found->second);
  }
  std::sort(links.begin(), links.end());
  links.erase(std::unique(links.begin(), links.end()), links.end());
  return links;
}

void ProxyFanOut::flush(TimePoint now) {
  flush_at_ = TimePoint::max();
  last_flush_ = now;
  const auto links = affectedLinks();
  const auto nodes = std::exchange(changed_nodes_, {});
  changed_tenants_.clear();
  for (const LinkId link : links) {
    const auto found = subscribers_.find(link);
    if (found == subscribers_.end()) continue;
    Subscriber& subscriber = found->second;
    const bool node_changed = nodes.contains(subscriber.node);
    if (node_changed) {
      if (!checkNode(subscriber)) continue;
      unsubscribe(subscriber);
      subscribe(subscriber);
    }
    bringUpToDate(subscriber);
    if (node_changed) sendAllEndpoints(subscriber);
  }
  publish(now);
}

/// Every proxy that the newest version concerns was sent it; the others are to hear of it by a beat.
void ProxyFanOut::publish(TimePoint now) {
  published_version_ = index_.version();
  if (options_.change_beat_window >= options_.beat_interval) return;
  change_beat_at_ = std::min(change_beat_at_, std::max(now, last_change_beat_ + options_.change_beat_window));
}

}  // namespace cometstand::relay
