#include "store/reader_hub.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "store/events.h"
#include "store/replies.h"

namespace cometstand::store {

using runtime::LinkId;

namespace {

bool isAheadOfStore(std::uint64_t have_version, const config::Catalog& catalog) {
  return have_version > catalog.version();
}

}  // namespace

ReaderHub::ReaderHub(StoreContext& context, const ReplicaLinks& replicas)
    : context_(context),
      replicas_(replicas),
      limiter_(context.options.reader_join_rate, context.options.reader_join_burst) {}

void ReaderHub::onFollowRequest(LinkId link, const wire::FollowRequestT& request, TimePoint now) {
  if (stopping_ || !context_.isLeader()) {
    refuseAsFollower(link);
    return;
  }
  context_.reads.requestRead(
      [this, link, request](bool confirmed, TimePoint confirmed_at) {
        if (confirmed && !stopping_) {
          admit(link, request, confirmed_at);
        } else {
          refuseAsFollower(link);
        }
      },
      now);
}

void ReaderHub::refuseAsFollower(LinkId link) {
  if (stopping_) {
    refuse(link,
           Error(ErrorKind::Stopping, "this replica is stopping", "ask another replica",
                 context_.options.retry_after),
           leaderAddress());
    return;
  }
  const auto leader = leaderAddress();
  refuse(link,
         Error(ErrorKind::Unavailable, "this replica is not known to lead",
               leader.empty() ? "ask again once a leader is elected" : "ask the leader",
               leader.empty() ? context_.options.retry_after : Duration::zero()),
         leader);
}

void ReaderHub::refuse(LinkId link, const Error& error, const std::vector<runtime::Address>& alternatives) {
  ++context_.metrics.readers_refused;
  logEvent(kReaderRefused, {{"reason", error.message()}, {"remedy", error.remedy()}});
  context_.actions.send(link, runtime::makeRefusal(runtime::errorInfo(error), alternatives), 0);
  context_.actions.close(link);
}

std::vector<runtime::Address> ReaderHub::leaderAddress() const {
  const auto leader = context_.consensus.leadership().leader;
  if (leader == 0 || leader == context_.options.self.id) return {};
  const auto address = replicas_.addressOf(leader);
  return address ? std::vector{*address} : std::vector<runtime::Address>{};
}

void ReaderHub::admit(LinkId link, const wire::FollowRequestT& request, TimePoint now) {
  const auto& options = context_.options;
  if (request.zone.empty() || request.relay.empty() || request.address == nullptr) {
    refuse(link,
           Error(ErrorKind::Malformed, "the request lacks relay, zone or address",
                 "use a relay of this release"),
           {});
    return;
  }
  if (isAheadOfStore(request.have_version, context_.state.catalog())) {
    refuse(
        link,
        Error(ErrorKind::Mismatch,
              fmt::format("the relay has version {}, which this store never accepted", request.have_version),
              "check relay.stores: it names replicas of another cluster; then restart the relay"),
        {});
    return;
  }
  if (refuseForZone(link, request, now)) return;
  if (readers_.size() >= options.max_readers) {
    refuse(link,
           Error(ErrorKind::Overloaded, fmt::format("the store already has {} readers", readers_.size()),
                 "follow another relay, or raise store.max_readers", options.retry_after),
           {});
    return;
  }
  if (const auto wait = limiter_.admit(now, context_.random)) {
    refuse(link, Error(ErrorKind::Overloaded, "too many relays join at once", "come back later", *wait), {});
    return;
  }
  auto& reader = readers_[link];
  reader.relay = request.relay;
  reader.zone = request.zone;
  reader.address = {request.address->address, request.address->port};
  reader.version = request.have_version;
  ++context_.metrics.readers_admitted;
  logEvent(kReaderAdmitted,
           {{"relay", reader.relay}, {"zone", reader.zone}, {"have_version", request.have_version}});
  sendChanges();
  context_.actions.send(link, makeBeat(), 0);
}

bool ReaderHub::refuseForZone(LinkId link, const wire::FollowRequestT& request, TimePoint now) {
  const auto other = std::find_if(readers_.begin(), readers_.end(), [&](const auto& reader) {
    return reader.second.zone == request.zone && reader.first != link;
  });
  if (other == readers_.end()) return false;
  if (other->second.relay == request.relay) {
    // The same relay reconnected before its old link was closed.
    drop(other->first);
    return false;
  }
  auto& reader = other->second;
  if (!reader.liveness_deadline) {
    // The request may come because the current reader has failed. Check that the reader is alive by a status
    // request, which it must answer before the deadline.
    reader.liveness_deadline = now + context_.options.status_time_limit;
    wire::StatusRequestT proof;
    proof.proxies = false;
    context_.actions.send(other->first, proof, 0);
  }
  refuse(link,
         Error(ErrorKind::Conflict, fmt::format("relay {} reads for zone {}", reader.relay, reader.zone),
               "follow that relay", context_.options.retry_after),
         {reader.address});
  return true;
}

void ReaderHub::drop(LinkId link) {
  context_.actions.close(link);
  onLinkClosed(link);
}

void ReaderHub::onFreshnessRequest(LinkId link, std::uint64_t request_id, TimePoint now) {
  context_.reads.requestRead(
      [this, link, request_id](bool confirmed, TimePoint /*confirmed_at*/) {
        if (confirmed) {
          context_.actions.send(link, makeBeat(), request_id);
          return;
        }
        const Error error(ErrorKind::Unavailable, "this replica is not known to lead", "ask the leader",
                          context_.options.retry_after);
        context_.actions.send(link, runtime::makeRefusal(runtime::errorInfo(error), leaderAddress()),
                              request_id);
      },
      now);
}

void ReaderHub::onReport(LinkId link, const wire::InForceReportT& report) {
  const auto reader = readers_.find(link);
  if (reader == readers_.end()) return;
  reader->second.proxies = report.proxies;
  reader->second.in_force_version = report.in_force_version;
}

void ReaderHub::onHeard(LinkId link) {
  const auto reader = readers_.find(link);
  if (reader != readers_.end()) reader->second.liveness_deadline.reset();
}

void ReaderHub::onLinkClosed(LinkId link) {
  former_readers_.erase(link);
  const auto reader = readers_.find(link);
  if (reader == readers_.end()) return;
  logEvent(kReaderLost, {{"relay", reader->second.relay}, {"zone", reader->second.zone}});
  readers_.erase(reader);
}

void ReaderHub::sendChanges() {
  const std::uint64_t version = context_.state.catalog().version();
  for (auto& [link, reader] : readers_) {
    if (reader.version >= version) continue;
    context_.actions.send(link, changesFrom(reader.version));
    reader.version = version;
  }
}

runtime::MessagePointer ReaderHub::changesFrom(std::uint64_t version) {
  const auto& catalog = context_.state.catalog();
  if (shared_messages_version_ != catalog.version()) shared_messages_.clear();
  shared_messages_version_ = catalog.version();
  auto& message = shared_messages_[version];
  if (message != nullptr) return message;
  auto changes = version == 0 ? std::nullopt : catalog.changesSince(version);
  // Send the smaller of delta and snapshot. A snapshot holds live objects only, so they are counted only if
  // the delta has more than half as many changes as the catalog has entries, tombstones included.
  const bool may_be_larger = !changes || changes->size() * 2 > catalog.entries().size();
  auto living = may_be_larger ? catalog.livingObjects() : config::Catalog::Changes();
  if (changes && (!may_be_larger || changes->size() <= living.size())) {
    ++context_.metrics.deltas_made;
    wire::ConfigurationDeltaT delta;
    delta.from_version = version;
    delta.to_version = catalog.version();
    delta.changes = *std::move(changes);
    message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(delta)));
  } else {
    ++context_.metrics.snapshots_made;
    wire::ConfigurationSnapshotT snapshot;
    snapshot.version = catalog.version();
    snapshot.changes = std::move(living);
    if (version == 0) {
      // A relay that has just started has no tombstones, but its proxies may have missed deletions.
      snapshot.changes = catalog.everything();
      snapshot.history_from = catalog.prunedVersion();
    }
    message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(snapshot)));
  }
  return message;
}

wire::QuorumBeatT ReaderHub::makeBeat() const {
  wire::QuorumBeatT beat;
  beat.term = context_.consensus.leadership().term;
  beat.round = round_.term == beat.term ? round_.round : 0;
  beat.version = context_.state.catalog().version();
  return beat;
}

void ReaderHub::onQuorumRound(const consensus::QuorumRound& round, TimePoint now) {
  round_ = round;
  if (readers_.empty() || now < next_beat_ || !context_.isLeader()) return;
  next_beat_ = now + context_.options.beat_interval;
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(makeBeat()));
  for (const auto& [link, reader] : readers_) {
    context_.actions.send(link, message);
    ++context_.metrics.beats_sent;
  }
}

void ReaderHub::onLeadershipLost(TimePoint now) {
  for (const auto& [link, reader] : readers_)
    former_readers_[link] = now + context_.options.command_time_limit;
  readers_.clear();
  if (former_readers_.empty()) return;
  goodbye_deadline_ = now + context_.options.consensus.election_timeout_max;
  onLeaderChanged();
}

void ReaderHub::onLeaderChanged() {
  if (goodbye_deadline_ && !leaderAddress().empty()) sendGoodbye();
}

void ReaderHub::sendGoodbye() {
  goodbye_deadline_.reset();
  wire::GoodbyeT goodbye;
  goodbye.alternatives = runtime::networkAddresses(leaderAddress());
  for (const auto& [link, close_at] : former_readers_) context_.actions.send(link, goodbye, 0);
}

void ReaderHub::onTimer(TimePoint now) {
  std::vector<LinkId> unresponsive;
  for (const auto& [link, reader] : readers_) {
    if (reader.liveness_deadline && *reader.liveness_deadline <= now) unresponsive.push_back(link);
  }
  for (const LinkId link : unresponsive) {
    logEvent(kReaderUnresponsive, {{"relay", readers_.at(link).relay}, {"zone", readers_.at(link).zone}});
    drop(link);
  }
  if (goodbye_deadline_ && *goodbye_deadline_ <= now) sendGoodbye();
  for (auto item = former_readers_.begin(); item != former_readers_.end();) {
    if (item->second > now) {
      ++item;
      continue;
    }
    context_.actions.close(item->first);
    item = former_readers_.erase(item);
  }
}

TimePoint ReaderHub::nextTimer() const {
  TimePoint next = goodbye_deadline_.value_or(TimePoint::max());
  for (const auto& [link, reader] : readers_) {
    if (reader.liveness_deadline) next = std::min(next, *reader.liveness_deadline);
  }
  for (const auto& [link, close_at] : former_readers_) next = std::min(next, close_at);
  return next;
}

std::vector<LinkId> ReaderHub::links() const {
  std::vector<LinkId> links;
  for (const auto& [link, reader] : readers_) links.push_back(link);
  return links;
}

std::string ReaderHub::nameOf(LinkId link) const {
  const auto reader = readers_.find(link);
  return reader == readers_.end() ? std::string() : reader->second.relay;
}

InForceSummary ReaderHub::inForce() const {
  InForceSummary summary;
  summary.version = context_.state.catalog().version();
  for (const auto& [link, reader] : readers_) {
    if (reader.proxies == 0) continue;
    summary.proxies += reader.proxies;
    summary.version = std::min(summary.version, reader.in_force_version);
  }
  return summary;
}

}  // namespace cometstand::store
