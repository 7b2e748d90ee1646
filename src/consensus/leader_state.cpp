#include "consensus/leader_state.h"

#include <algorithm>

namespace cometstand::consensus {

std::uint64_t RoundTracker::begin(TimePoint now, LogIndex commit_index) {
  rounds_.push_back({++current_, now, commit_index});
  if (rounds_.size() > kMaxRounds) rounds_.pop_front();
  return current_;
}

std::optional<Round> RoundTracker::find(std::uint64_t number) const {
  if (rounds_.empty() || number < rounds_.front().number || number > current_) return std::nullopt;
  return rounds_.at(number - rounds_.front().number);
}

void FollowerProgress::onMatch(LogIndex index) {
  match = std::max(match, index);
  next = std::max(next, match + 1);
  while (!in_flight.empty() && in_flight.front() <= match) in_flight.pop_front();
  if (mode == ReplicationMode::Probe) mode = ReplicationMode::Pipeline;
}

void FollowerProgress::onMismatch(LogIndex hint, LogIndex last_index) {
  if (mode == ReplicationMode::Snapshot) return;
  const LogIndex new_next = std::min(hint, last_index) + 1;
  const bool is_already_probed = mode == ReplicationMode::Probe && paused && next == new_next;
  if (is_already_probed) return;
  mode = ReplicationMode::Probe;
  next = new_next;
  paused = false;
  in_flight.clear();
}

void FollowerProgress::onNewIncarnation(std::uint64_t new_incarnation) {
  const LogIndex old_next = next;
  *this = FollowerProgress{};
  next = old_next;
  incarnation = new_incarnation;
}

}  // namespace cometstand::consensus
