#pragma once

#include <cstdint>
#include <map>

#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Forwards operators' commands from a follower to the leader, and the leader's replies to the operators.
class CommandForwarder {
 public:
  CommandForwarder(StoreContext& context, const ReplicaLinks& replicas)
      : context_(context), replicas_(replicas) {}

  /// @param may_change false for a query: if the leader's reply is lost, the outcome is NotRun instead of
  /// Unknown.
  /// @param time_limit after which the leader's reply counts as lost.
  void forward(const Requester& requester, const wire::CommandRequestT& request, bool may_change,
               Duration time_limit, TimePoint now);
  void onReply(runtime::LinkId link, std::uint64_t request_id, const wire::CommandReplyT& reply);
  void onLinkClosed(runtime::LinkId link);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  bool idle() const { return pending_.empty(); }

 private:
  struct Pending {
    Requester requester;
    runtime::LinkId leader{};
    bool may_change = false;
    TimePoint deadline;
  };

  void fail(const Pending& pending);

  StoreContext& context_;
  const ReplicaLinks& replicas_;
  std::uint64_t last_request_id_ = 0;
  /// Forwarded commands by the request id of the message to the leader.
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace cometstand::store
