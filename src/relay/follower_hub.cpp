#include "relay/follower_hub.h"

#include <utility>

namespace cometstand::relay {

using runtime::LinkId;

void FollowerHub::add(LinkId link, const wire::FollowRequestT& request) {
  auto& follower = followers_[link];
  follower.name = request.relay;
  follower.version = request.have_version;
  bringUpToDate(link, follower);
}

void FollowerHub::bringUpToDate(LinkId link, Follower& follower) {
  // A follower that is ahead waits until this relay has caught up.
  if (follower.version >= index_.version()) return;
  actions_.send(link, messageFrom(follower.version));
  follower.version = index_.version();
}

runtime::MessagePointer FollowerHub::messageFrom(std::uint64_t version) {
  if (shared_at_ != index_.version()) shared_.clear();
  shared_at_ = index_.version();
  auto& message = shared_[version];
  if (message) return message;
  if (version > 0 && index_.reaches(version)) {
    wire::ConfigurationDeltaT delta;
    delta.from_version = version;
    delta.to_version = index_.version();
    delta.changes = index_.everythingSince(version).changes;
    message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(delta)));
  } else {
    wire::ConfigurationSnapshotT snapshot;
    snapshot.version = index_.version();
    snapshot.changes = index_.everythingSince(0).changes;
    snapshot.history_from = index_.historyFrom();
    message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(snapshot)));
  }
  return message;
}

void FollowerHub::onChanged() {
  for (auto& [link, follower] : followers_) bringUpToDate(link, follower);
}

void FollowerHub::onBeat(const wire::QuorumBeatT& beat) {
  if (followers_.empty()) return;
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(beat));
  for (const auto& [link, follower] : followers_) actions_.send(link, message);
}

void FollowerHub::onReport(LinkId link, const wire::InForceReportT& report) {
  const auto found = followers_.find(link);
  if (found == followers_.end()) return;
  found->second.reported = FleetSummary();
  if (report.proxies > 0) found->second.reported = {report.proxies, report.in_force_version};
}

void FollowerHub::sendToAll(const wire::StopOrderT& order) {
  for (const auto& [link, follower] : followers_) actions_.send(link, order, 0);
}

void FollowerHub::sendGoodbye() {
  for (const auto& [link, follower] : followers_) actions_.send(link, wire::GoodbyeT(), 0);
}

std::vector<LinkId> FollowerHub::links() const {
  std::vector<LinkId> links;
  for (const auto& [link, follower] : followers_) links.push_back(link);
  return links;
}

FleetSummary FollowerHub::summary() const {
  FleetSummary summary;
  for (const auto& [link, follower] : followers_) summary.add(follower.reported);
  return summary;
}

}  // namespace cometstand::relay
