#pragma once

#include <cstdint>
#include <map>

#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Passes operators' commands on to the leader, and its answers back to the operator who asked.
class CommandForwarder {
 public:
  CommandForwarder(StoreContext& context, const ReplicaLinks& replicas)
      : context_(context), replicas_(replicas) {}

  /// @param may_change false for a query: its loss is NotRun, not Unknown.
  /// @param limit how long the leader may take.
  void forward(const Asker& asker, const wire::CommandRequestT& request, bool may_change, Duration limit,
               TimePoint now);
  void onReply(runtime::LinkId link, std::uint64_t request_id, const wire::CommandReplyT& reply);
  void onLinkClosed(runtime::LinkId link);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  bool idle() const { return pending_.empty(); }

 private:
  struct Pending {
    Asker asker;
    runtime::LinkId leader{};
    bool may_change = false;
    TimePoint deadline;
  };

  void fail(const Pending& pending);

  StoreContext& context_;
  const ReplicaLinks& replicas_;
  std::uint64_t last_request_id_ = 0;
  /// By the request id that the leader was asked with.
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace cometstand::store
