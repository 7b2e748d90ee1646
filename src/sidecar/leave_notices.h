#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "base/time.h"
#include "mesh/incarnation.h"
#include "runtime/process_core.h"
#include "schema/mesh_generated.h"
#include "sidecar/past_incarnations.h"

namespace cometstand::sidecar {

/// Receives the outcome of a leave notice, exactly once, during the call or later.
/// @param is_committed the notice outlives this process. Otherwise the target must announce its shutdown
/// again.
using LeaveNoticeHandler = std::function<void(bool is_committed)>;

/// Commits the leave notices of the target beside this sidecar at the stores, and recovers those that earlier
/// processes of this sidecar had committed.
///
/// Invariant: until the notices are recovered, this process does not know whether the target has announced
/// its shutdown; it must not send it requests.
class LeaveNotices {
 public:
  /// Sends a message to every linked store.
  using Broadcast = std::function<void(const runtime::MessagePointer&)>;

  explicit LeaveNotices(Broadcast broadcast) : broadcast_(std::move(broadcast)) {}

  /// Commits the notice. @param handler may be empty.
  void commit(const mesh::Incarnation& incarnation, LeaveNoticeHandler handler, TimePoint now);
  /// A store has committed the notice.
  void onCommitted(const mesh::Incarnation& incarnation, TimePoint now);
  /// The leader has sent all committed notices of this sidecar.
  /// @return those that this process did not know; empty if it had recovered before.
  std::vector<mesh::Incarnation> onList(const wire::LeaveNoticeListT& list, TimePoint now);
  bool isRecovered() const { return is_recovered_; }
  /// @return the messages to which no store has responded yet, for a store that was just linked.
  std::vector<runtime::MessagePointer> outstanding() const;
  /// @return number of notices that are not committed yet.
  std::size_t pending() const { return pending_.size(); }

  /// @param has_leader a store that is in contact with its leader is linked; queries are sent only then.
  void onTimer(bool has_leader, TimePoint now);
  TimePoint nextTimer() const;

  /// Time after which a notice is reported as not committed. Targets wait for a second.
  static constexpr Duration kCommitTimeout = std::chrono::milliseconds(700);
  /// Interval at which notices and queries are sent until a store responds.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(150);
  /// Beyond it, the notice of the incarnation that sorts first is dropped. Only a client that makes up ids
  /// gets there.
  static constexpr std::size_t kMaxPending = 64;

 private:
  struct Waiting {
    LeaveNoticeHandler handler;
    TimePoint received_at;
  };
  struct Pending {
    TimePoint since;
    std::vector<Waiting> waiting;
  };

  static runtime::MessagePointer makeNotice(const mesh::Incarnation& incarnation);
  static runtime::MessagePointer makeQuery();
  static void report(const mesh::Incarnation& incarnation, const std::vector<Waiting>& waiting,
                     bool is_committed, TimePoint now);
  void expire(TimePoint now);

  Broadcast broadcast_;
  bool is_recovered_ = false;
  PastIncarnations committed_;
  std::map<mesh::Incarnation, Pending> pending_;
  TimePoint retry_at_;
};

}  // namespace cometstand::sidecar
