#pragma once

#include <list>

#include "operator/command.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Operators' commands on the replicas themselves: membership changes one at a time, replacement of a lost
/// voter by a learner that has caught up, and leadership transfer. Each may be sent again: what already holds
/// is answered Completed.
class ReplicaAdmin {
 public:
  explicit ReplicaAdmin(StoreContext& context) : context_(context) {}

  void addReplica(const Asker& asker, const command::NewReplica& replica, TimePoint now);
  void removeReplica(const Asker& asker, consensus::ReplicaId id, TimePoint now);
  /// Answers Completed only once the new replica has caught up, votes, and the old one does not, with both
  /// changes committed.
  void replaceReplica(const Asker& asker, consensus::ReplicaId old_id, consensus::ReplicaId new_id,
                      TimePoint now);
  void transferLeader(const Asker& asker, consensus::ReplicaId target, TimePoint now);

  /// Answers what has become true; to be called after each step.
  void step(TimePoint now);
  /// @param same_term the leader stepped down by its own act: what it appended stays in its log.
  void onLeadershipLost(bool same_term);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  bool idle() const { return changes_.empty(); }

  wire::CommandReplyT showReplicas() const;

 private:
  enum class Stage : std::uint8_t {
    /// Nothing is appended yet: the learner has to catch up, or another change runs.
    Waiting,
    /// The change is in the log; a replacement waits for its second entry too.
    Appended,
    /// The wanted membership is in the log up to `index`.
    InLog,
  };
  struct Change {
    Asker asker;
    consensus::MembershipChange change;
    Stage stage = Stage::Waiting;
    consensus::LogIndex index = 0;
    TimePoint deadline;
    TimePoint next_try;
  };
  struct Transfer {
    Asker asker;
    consensus::ReplicaId target = 0;
    TimePoint deadline;
  };

  void begin(const Asker& asker, const consensus::MembershipChange& change, Duration limit, TimePoint now);
  /// @return true if the membership in the log is as the change wants it.
  bool holds(const consensus::MembershipChange& change) const;
  /// @return true if the change was answered.
  bool advance(Change& change, TimePoint now);
  bool tryAppend(Change& change, TimePoint now);
  void complete(const Change& change);
  void stepTransfers(TimePoint now);

  StoreContext& context_;
  std::list<Change> changes_;
  std::list<Transfer> transfers_;
};

}  // namespace cometstand::store
