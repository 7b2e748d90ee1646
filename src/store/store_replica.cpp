#include "store/store_replica.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "store/events.h"

namespace cometstand::store {

using runtime::LinkId;

namespace {

/// Records that one step writes into a snapshot. A step takes a few milliseconds.
constexpr std::size_t kSnapshotRecordsPerStep = 4'000;
/// Pause between two steps, in which other events are processed.
constexpr Duration kSnapshotStepPause = std::chrono::milliseconds(5);
/// Delay before the next attempt after the state exceeded the size limit of a snapshot.
constexpr Duration kSnapshotRetryDelay = std::chrono::seconds(60);

const StoreOptions& checked(const StoreOptions& options) {
  options.check();
  return options;
}

}  // namespace

StoreReplica::StoreReplica(const StoreOptions& options, std::uint64_t seed)
    : options_(checked(options)),
      random_(seed),
      consensus_(options.consensus, options.self, RandomSource(random_.uniform(0, UINT64_MAX))) {}

void StoreReplica::start(const runtime::FileReader& files, TimePoint now) {
  consensus_.recover(files, now);
  drain(now);
  formation_.begin(now);
  seed_formation_.begin(now);
  drain(now);
}

void StoreReplica::onLinkOpened(LinkId link, const runtime::PeerIdentity& peer, TimePoint now) {
  if (seed_formation_.owns(link)) {
    seed_formation_.onLinkOpened(link, now);
  } else if (replicas_.owns(link)) {
    if (!peer.role.empty() && peer.role != "store") {
      logEvent(kUnexpectedPeer, {{"role", peer.role}, {"name", peer.name}});
      actions_.close(link);
    } else {
      replicas_.onLinkOpened(link);
    }
  } else {
    incoming_[link] = peer;
  }
  drain(now);
}

void StoreReplica::onLinkClosed(LinkId link, TimePoint now) {
  seed_formation_.onLinkClosed(link);
  nodes_.onLinkClosed(link, now);
  replicas_.onLinkClosed(link, now);
  forwarder_.onLinkClosed(link);
  readers_.onLinkClosed(link);
  statuses_.onLinkClosed(link);
  incoming_.erase(link);
  drain(now);
}

void StoreReplica::onFileWritten(runtime::WriteId write, TimePoint now) {
  consensus_.onFileWritten(write, now);
  drain(now);
}

void StoreReplica::onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now) {
  consensus_.onFileFailed(write, reason, now);
  drain(now);
}

void StoreReplica::onTimer(TimePoint now) {
  if (!defersElections()) consensus_.onTimer(now);
  formation_.onTimer(now);
  seed_formation_.onTimer(now);
  members_.onTimer(now);
  vote_release_.onTimer(now);
  mesh_.onTimer(now);
  rollouts_.onTimer(now);
  rollout_controller_.onTimer(now);
  quarantine_.onTimer(now);
  evacuations_.onTimer(now);
  quotas_.onTimer(now);
  leave_notices_.onTimer(now);
  nodes_.onTimer(now);
  replicas_.onTimer(now);
  readers_.onTimer(now);
  writer_.onTimer(now);
  claim_expiry_.onTimer(now);
  statuses_.onTimer(now);
  waits_.onTimer(now);
  admin_.onTimer(now);
  forwarder_.onTimer(now);
  continueSnapshot(now);
  drain(now);
}

TimePoint StoreReplica::nextTimer() const {
  const TimePoint consensus_timer = defersElections() ? TimePoint::max() : consensus_.nextTimer();
  return std::min({consensus_timer,
                   formation_.nextTimer(),
                   seed_formation_.nextTimer(),
                   members_.nextTimer(),
                   vote_release_.nextTimer(),
                   mesh_.nextTimer(),
                   rollouts_.nextTimer(),
                   rollout_controller_.nextTimer(),
                   quarantine_.nextTimer(),
                   evacuations_.nextTimer(),
                   quotas_.nextTimer(),
                   leave_notices_.nextTimer(),
                   nodes_.nextTimer(),
                   replicas_.nextTimer(),
                   readers_.nextTimer(),
                   writer_.nextTimer(),
                   claim_expiry_.nextTimer(),
                   statuses_.nextTimer(),
                   waits_.nextTimer(),
                   admin_.nextTimer(),
                   forwarder_.nextTimer(),
                   stop_wait_ended_ ? TimePoint::max() : stop_deadline_});
}

void StoreReplica::drain(TimePoint now) {
  do {
    if (context_.isLeader()) writer_.flush(now);
    admin_.step(now);
    quotas_.step(now);
    continueStop(now);
  } while (drainOnce(now));
  replicas_.refresh(now);
}

bool StoreReplica::drainOnce(TimePoint now) {
  consensus::Output output = consensus_.takeOutput();
  const bool has_output = !output.messages.empty() || output.leadership || output.installed_snapshot ||
                          !output.committed.empty() || !output.reads.empty() || output.quorum_round;
  writes_.insert(writes_.end(), std::make_move_iterator(output.writes.begin()),
                 std::make_move_iterator(output.writes.end()));
  for (auto& message : output.messages) replicas_.send(std::move(message));
  if (output.leadership) onLeadership(*output.leadership, now);
  if (output.installed_snapshot) {
    state_.restore(output.installed_snapshot->state);
    applied_index_ = output.installed_snapshot->last_index;
    snapshot_.reset();
    rollout_clock_.refresh(state_.rollouts(), now);
    evacuations_.onRestored(now);
    quotas_.refreshLimits(now);
    nodes_.onApplied(now);
  }
  applyCommitted(output.committed, now);
  for (const auto& read : output.reads) reads_.onResult(read, now);
  if (output.quorum_round) {
    readers_.onQuorumRound(*output.quorum_round, now);
    quotas_.onQuorumRound(*output.quorum_round);
  }
  return has_output;
}

void StoreReplica::onLeadership(const consensus::Leadership& leadership, TimePoint now) {
  const bool was_leader = leadership_.role == consensus::Role::Leader;
  const bool same_term = leadership.term == leadership_.term;
  const bool still_leads = leadership.role == consensus::Role::Leader && same_term;
  leadership_ = leadership;
  quotas_.onLeadership(leadership, now);
  readers_.onLeaderChanged();
  members_.onLeadershipChanged(now);
  if (!was_leader || still_leads) return;
  ++metrics_.leaderships_lost;
  writer_.onLeadershipLost();
  mesh_.onLeadershipLost();
  rollouts_.onLeadershipLost();
  quarantine_.onLeadershipLost();
  evacuations_.onLeadershipLost();
  quotas_.onLeadershipLost();
  leave_notices_.onLeadershipLost();
  claim_expiry_.onLeadershipLost();
  admin_.onLeadershipLost(same_term);
  statuses_.onLeadershipLost();
  waits_.onLeadershipLost();
  readers_.onLeadershipLost(now);
}

void StoreReplica::applyCommitted(const std::vector<consensus::LogEntryPointer>& entries, TimePoint now) {
  if (entries.empty()) return;
  for (const auto& entry : entries) {
    applied_index_ = entry->index;
    if (entry->kind != wire::EntryKind::Command) continue;
    const auto results = state_.apply(entry->data);
    writer_.onApplied(*entry, results);
    mesh_.onApplied(*entry, results);
    rollouts_.onApplied(*entry, results);
    quarantine_.onApplied(*entry, results);
    evacuations_.onApplied(*entry, results, now);
    quotas_.onApplied(*entry, results);
    leave_notices_.onApplied(*entry, results);
  }
  rollout_clock_.refresh(state_.rollouts(), now);
  quarantine_.logChanges();
  quotas_.refreshLimits(now);
  nodes_.onApplied(now);
  readers_.sendChanges();
  waits_.check();
  beginSnapshotIfDue(now);
}

void StoreReplica::beginSnapshotIfDue(TimePoint now) {
  if (snapshot_ || now < next_snapshot_at_ || !consensus_.snapshotDue()) return;
  snapshot_.emplace(SnapshotInProgress{applied_index_, SnapshotWriter(state_.capture()), now});
}

void StoreReplica::continueSnapshot(TimePoint now) {
  if (!snapshot_ || now < snapshot_->next_step_at) return;
  snapshot_->next_step_at = now + kSnapshotStepPause;
  if (!snapshot_->writer.step(kSnapshotRecordsPerStep)) return;
  try {
    consensus_.compact(snapshot_->index, snapshot_->writer.take());
  } catch (const Error& error) {
    next_snapshot_at_ = now + kSnapshotRetryDelay;
    logEvent(kSnapshotTooLarge, {{"reason", error.what()}});
  }
  snapshot_.reset();
}

runtime::Actions StoreReplica::takeActions() {
  runtime::Actions actions = actions_.take();
  actions.writes = std::exchange(writes_, {});
  return actions;
}

void StoreReplica::beginStop(TimePoint now) {
  if (stopping_) return;
  stopping_ = true;
  stop_deadline_ = now + options_.stop_time_limit;
  logEvent(kStopBegan, {{"replica", options_.self.id}, {"leads", context_.isLeader()}});
  commands_.beginStop();
  readers_.beginStop();
  seed_formation_.beginStop();
  vote_release_.begin(now);
  drain(now);
}

/// A leader gives its vote to another replica, and leadership with it, or else transfers only leadership. It
/// does so only after all commands in the log have been answered, so that no response becomes Unknown.
void StoreReplica::continueStop(TimePoint now) {
  if (!stopping_) return;
  if (now >= stop_deadline_) stop_wait_ended_ = true;
  if (stop_wait_ended_ || !context_.isLeader() || !mayYield()) return;
  if (members_.releaseOwnVote(now) || now < next_transfer_at_) return;
  // By that time, a transfer to a replica that does not respond has timed out.
  next_transfer_at_ = now + 2 * options_.consensus.election_timeout_max;
  if (!consensus_.transferLeadershipToAny(now)) stop_wait_ended_ = true;
}

TimePoint StoreReplica::stopTimer() const {
  if (!stopping_ || stop_wait_ended_) return TimePoint::max();
  // Pending commands complete through other events, and each event attempts the transfer again.
  const bool may_transfer = context_.isLeader() && mayYield();
  return may_transfer ? std::min(next_transfer_at_, stop_deadline_) : stop_deadline_;
}

bool StoreReplica::stopped() const {
  if (!stopping_) return false;
  return stop_wait_ended_ || (!context_.isLeader() && vote_release_.isDone() &&
                              !readers_.hasPendingRedirects() && writer_.idle() && forwarder_.idle());
}

void StoreReplica::changeMesh(const wire::MeshChangeT& change, const MeshAnswerHandler& handler,
                              TimePoint now) {
  mesh_.change(change, handler, now);
  drain(now);
}

void StoreReplica::readMesh(MeshAnswerHandler handler, TimePoint now) {
  mesh_.read(std::move(handler), now);
  drain(now);
}

void StoreReplica::orderRollout(const wire::RolloutOrderT& order, const RolloutAnswerHandler& handler,
                                TimePoint now) {
  rollouts_.order(order, handler, now);
  drain(now);
}

void StoreReplica::readRollout(const std::string& service, RolloutAnswerHandler handler, TimePoint now) {
  rollouts_.read(service, std::move(handler), now);
  drain(now);
}

void StoreReplica::orderEvacuation(const wire::EvacuationOrderT& order,
                                   const EvacuationAnswerHandler& handler, TimePoint now) {
  evacuations_.order(order, handler, now);
  drain(now);
}

StoreMetrics StoreReplica::metrics() const {
  StoreMetrics metrics = metrics_;
  const auto leadership = consensus_.leadership();
  metrics.is_leader = leadership.role == consensus::Role::Leader;
  metrics.term = leadership.term;
  metrics.version = state_.catalog().version();
  metrics.catalog_bytes = state_.catalogBytes();
  metrics.commit_index = consensus_.commitIndex();
  metrics.readers = readers_.size();
  metrics.answered_requests = state_.requests().size();
  metrics.claims_in_progress = state_.claims().inProgressCount();
  metrics.claims_finished = state_.claims().finishedCount();
  metrics.commands_waiting = writer_.waiting();
  metrics.zones_evacuated = state_.evacuations().count();
  metrics.leave_notices = state_.leaveNotices().size();
  members_.addTo(metrics);
  return metrics;
}

void StoreReplica::checkInvariants() const {
  consensus_.checkInvariants();
  if (applied_index_ > consensus_.commitIndex())
    throw std::logic_error("an uncommitted log entry was applied");
  const bool serves_as_follower =
      !context_.isLeader() && leadership_.role != consensus::Role::Leader && readers_.size() > 0;
  if (serves_as_follower) throw std::logic_error("a replica that is not the leader has subscribed relays");
}

}  // namespace cometstand::store
