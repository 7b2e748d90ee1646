// The part of ProxyFanOut that sends beats, endpoint records and goodbyes, and sums up what proxies run.
#include <algorithm>
#include <limits>
#include <unordered_map>

#include "relay/error_info.h"
#include "relay/proxy_fan_out.h"

namespace cometstand::relay {

using runtime::LinkId;

namespace {

/// Suggested pause for a proxy that this relay cannot serve yet.
constexpr Duration kNotReadyRetry = std::chrono::seconds(1);

}  // namespace

wire::ViewBeatT ProxyFanOut::beatFor(const Subscriber& subscriber) const {
  wire::ViewBeatT beat;
  beat.view_version = subscriber.position.version;
  // A proxy that was brought up to date while a batch waits is ahead of what is published.
  beat.as_of = subscriber.snapshot_needed ? subscriber.in_force_version
                                          : std::max(published_version_, subscriber.current_version);
  beat.term = term_;
  beat.round = round_;
  return beat;
}

void ProxyFanOut::sendBeat(Subscriber& subscriber) {
  const auto beat = beatFor(subscriber);
  subscriber.told_version = std::max(subscriber.told_version, beat.as_of);
  actions_.send(subscriber.link, beat, 0);
}

void ProxyFanOut::sendBeats(bool only_behind) {
  // Proxies at equal view versions share one message.
  std::unordered_map<std::uint64_t, runtime::MessagePointer> messages;
  for (auto& [link, subscriber] : subscribers_) {
    if (!subscriber.serving) continue;
    if (only_behind && (subscriber.snapshot_needed || subscriber.told_version >= published_version_))
      continue;
    if (subscriber.snapshot_needed || subscriber.current_version > published_version_) {
      sendBeat(subscriber);
      continue;
    }
    auto& message = messages[subscriber.position.version];
    if (!message) {
      message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(beatFor(subscriber)));
    }
    subscriber.told_version = published_version_;
    actions_.send(link, message);
  }
}

void ProxyFanOut::sendAllEndpoints(const Subscriber& subscriber) {
  wire::EndpointUpdateT update;
  update.records = table_.recordsOf(*subscriber.tenants);
  if (!update.records.empty()) actions_.send(subscriber.link, std::move(update), 0);
}

void ProxyFanOut::sendEndpoints(const std::vector<view::EndpointRecordPointer>& records) {
  // Proxies that are to get the same records share one message.
  std::map<LinkId, std::vector<view::EndpointRecordPointer>> by_link;
  for (const auto& record : records) {
    const auto found = by_tenant_.find(record->tenant);
    if (found == by_tenant_.end()) continue;
    for (const LinkId link : found->second) by_link[link].push_back(record);
  }
  std::map<std::vector<view::EndpointRecordPointer>, runtime::MessagePointer> messages;
  for (const auto& [link, selected] : by_link) {
    auto& message = messages[selected];
    if (!message) {
      wire::EndpointUpdateT update;
      update.records = selected;
      message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
    }
    actions_.send(link, message);
  }
}

bool ProxyFanOut::holdsTenant(LinkId link, const std::string& tenant) const {
  const auto found = by_tenant_.find(tenant);
  return found != by_tenant_.end() && found->second.contains(link);
}

void ProxyFanOut::sendShare(std::uint32_t proxies) {
  share_ = proxies;
  wire::ConnectionShareT share;
  share.proxies = proxies;
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(share));
  for (const auto& [link, subscriber] : subscribers_) {
    if (subscriber.serving) actions_.send(link, message);
  }
}

void ProxyFanOut::sendStopOrder(const wire::StopOrderT& order) {
  const auto found = by_node_.find(order.name);
  if (found != by_node_.end()) actions_.send(found->second, order, 0);
}

void ProxyFanOut::beginHandover(TimePoint now) {
  stopping_ = true;
  for (const auto& [link, subscriber] : subscribers_) handover_.push_back(link);
  handover_at_ = now;
}

/// Sends the goodbyes that are due by now.
void ProxyFanOut::handOverDue(TimePoint now) {
  if (handover_at_ > now) return;
  wire::GoodbyeT goodbye;
  goodbye.alternatives = networkAddresses(alternatives_);
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(goodbye)));
  const auto pause =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / options_.handover_rate));
  while (handover_at_ <= now && !handover_.empty()) {
    actions_.send(handover_.front(), message);
    handover_.pop_front();
    handover_at_ += pause;
  }
  if (handover_.empty()) handover_at_ = TimePoint::max();
}

/// What was sent and acknowledged is in force, and nothing up to the published version changes it.
std::uint64_t ProxyFanOut::inForce(const Subscriber& subscriber) const {
  const bool is_acknowledged =
      subscriber.acknowledged_version >= subscriber.position.version && !subscriber.snapshot_needed;
  return is_acknowledged ? std::max(published_version_, subscriber.in_force_version)
                         : subscriber.in_force_version;
}

FleetSummary ProxyFanOut::summary() const {
  FleetSummary summary;
  for (const auto& [link, subscriber] : subscribers_) {
    if (subscriber.serving && !subscriber.stopping) summary.add({1, inForce(subscriber)});
  }
  return summary;
}

std::vector<std::shared_ptr<wire::ProxyStatusT>> ProxyFanOut::statuses() const {
  std::vector<std::shared_ptr<wire::ProxyStatusT>> statuses;
  for (const auto& [link, subscriber] : subscribers_) {
    if (!subscriber.serving) continue;
    auto status = std::make_shared<wire::ProxyStatusT>();
    status->node = subscriber.node;
    status->zone = subscriber.zone;
    status->relay = options_.name;
    status->view_version = subscriber.acknowledged_version;
    status->as_of = inForce(subscriber);
    statuses.push_back(std::move(status));
  }
  return statuses;
}

void ProxyFanOut::refuseOverdue(TimePoint now) {
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    refuse(waiting_.begin()->second, ErrorKind::Unavailable,
           "the relay does not know yet what the proxy may be served",
           "use another relay, or come back once the store is reachable", kNotReadyRetry);
  }
}

void ProxyFanOut::onTimer(TimePoint now) {
  if (flush_at_ <= now) flush(now);
  refuseOverdue(now);
  handOverDue(now);
  if (change_beat_at_ <= now) {
    change_beat_at_ = TimePoint::max();
    last_change_beat_ = now;
    sendBeats(true);
  }
  if (beat_at_ == TimePoint::max()) beat_at_ = now;
  if (beat_at_ > now) return;
  sendBeats(false);
  beat_at_ = now + options_.beat_interval;
}

TimePoint ProxyFanOut::nextTimer() const {
  TimePoint next = std::min({flush_at_, handover_at_, change_beat_at_});
  if (!subscribers_.empty()) next = std::min(next, beat_at_ == TimePoint::max() ? TimePoint() : beat_at_);
  if (!waiting_.empty()) next = std::min(next, waiting_.begin()->first);
  return next;
}

}  // namespace cometstand::relay
