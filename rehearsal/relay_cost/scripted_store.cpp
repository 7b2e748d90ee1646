#include "rehearsal/relay_cost/scripted_store.h"

#include <utility>

namespace cometstand::rehearsal {

using runtime::LinkId;

namespace {

constexpr std::size_t kMaxTombstones = 20'000;
constexpr Duration kBeatInterval = std::chrono::seconds(1);

}  // namespace

ScriptedStore::ScriptedStore(const Changes& objects) : index_(kMaxTombstones) {
  wire::ConfigurationSnapshotT snapshot;
  snapshot.version = 1;
  snapshot.changes = objects;
  index_.apply(snapshot);
}

void ScriptedStore::accept(std::shared_ptr<wire::ObjectChangeT> change) {
  wire::ConfigurationDeltaT delta;
  delta.from_version = index_.version();
  delta.to_version = index_.version() + 1;
  delta.changes.push_back(std::move(change));
  index_.apply(delta);
  for (const LinkId link : followers_) actions_.send(link, delta, 0);
}

wire::QuorumBeatT ScriptedStore::nextBeat() {
  wire::QuorumBeatT beat;
  beat.term = 1;
  beat.round = ++round_;
  beat.version = index_.version();
  return beat;
}

void ScriptedStore::follow(LinkId link, std::uint64_t have_version) {
  followers_.insert(link);
  if (have_version == 0) {
    wire::ConfigurationSnapshotT snapshot;
    snapshot.version = index_.version();
    snapshot.changes = index_.everything().changes;
    actions_.send(link, std::move(snapshot), 0);
  } else {
    wire::ConfigurationDeltaT delta;
    delta.from_version = have_version;
    delta.to_version = index_.version();
    delta.changes = index_.everythingSince(have_version).changes;
    actions_.send(link, std::move(delta), 0);
  }
}

void ScriptedStore::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint /*now*/) {
  if (const auto* request = message.body.AsFollowRequest()) {
    follow(link, request->have_version);
  } else if (message.body.AsFreshnessRequest() != nullptr) {
    actions_.send(link, nextBeat(), message.request_id);
  }
}

void ScriptedStore::onTimer(TimePoint now) {
  for (const LinkId link : followers_) actions_.send(link, nextBeat(), 0);
  beat_at_ = now + kBeatInterval;
}

}  // namespace cometstand::rehearsal
