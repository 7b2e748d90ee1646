#pragma once

#include <list>

#include "operator/command.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Executes operator commands on the replica group: membership changes, one at a time; replacement of a lost
/// voter by a learner that has caught up; and leadership transfer. Commands are idempotent: a command whose
/// result is already in effect is answered Completed.
class ReplicaAdmin {
 public:
  explicit ReplicaAdmin(StoreContext& context) : context_(context) {}

  void addReplica(const Requester& requester, const command::NewReplica& replica, TimePoint now);
  void removeReplica(const Requester& requester, consensus::ReplicaId id, TimePoint now);
  /// Answers Completed only after the new replica has caught up and is a voter, the old replica has been
  /// removed, and both changes are committed.
  void replaceReplica(const Requester& requester, consensus::ReplicaId old_id, consensus::ReplicaId new_id,
                      TimePoint now);
  void transferLeader(const Requester& requester, consensus::ReplicaId target, TimePoint now);

  /// Advances pending changes and transfers and answers the finished ones; to be called after each consensus
  /// step.
  void step(TimePoint now);
  /// @param same_term true if the leader stepped down by itself, so that the entries it appended are still in
  /// its log.
  void onLeadershipLost(bool same_term);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  bool idle() const { return changes_.empty(); }

  wire::CommandReplyT showReplicas() const;

 private:
  enum class Stage : std::uint8_t {
    /// Nothing is appended yet because the learner has not caught up or another change is in progress.
    Waiting,
    /// The first entry of the change is in the log; a replacement also needs a second entry.
    Appended,
    /// The requested membership is in the log at or before `index`.
    InLog,
  };
  struct Change {
    Requester requester;
    consensus::MembershipChange change;
    Stage stage = Stage::Waiting;
    consensus::LogIndex index = 0;
    TimePoint deadline;
    TimePoint next_attempt;
  };
  struct Transfer {
    Requester requester;
    consensus::ReplicaId target = 0;
    TimePoint deadline;
  };

  void begin(const Requester& requester, const consensus::MembershipChange& change, Duration limit,
             TimePoint now);
  /// @return true if the latest membership in the log already reflects the change.
  bool isInEffect(const consensus::MembershipChange& change) const;
  /// @return true if the change was answered and can be removed.
  bool advance(Change& change, TimePoint now);
  /// @return true if the change failed and was answered.
  bool tryAppend(Change& change, TimePoint now);
  void complete(const Change& change);
  void stepTransfers(TimePoint now);

  StoreContext& context_;
  std::list<Change> changes_;
  std::list<Transfer> transfers_;
};

}  // namespace cometstand::store
