#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// Requests proxy and endpoint status from the readers, and answers an operator's query after all readers
/// have replied or the time limit has passed.
class StatusCollector {
 public:
  /// Builds the reply to the operator from the readers' merged status replies.
  using Render = std::function<wire::CommandReplyT(const wire::StatusReplyT& status)>;

  explicit StatusCollector(StoreContext& context) : context_(context) {}

  /// @param request asks only for the data that the reply needs, because it is sent to every reader.
  void begin(const Requester& requester, const std::vector<runtime::LinkId>& readers,
             const wire::StatusRequestT& request, Render render, TimePoint now);
  void onReply(runtime::LinkId reader, std::uint64_t request_id, const wire::StatusReplyT& reply);
  void onLinkClosed(runtime::LinkId link);
  /// Fails all pending queries as not run, because the readers are redirected to another leader.
  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Collection {
    Requester requester;
    Render render;
    wire::StatusReplyT status;
    std::set<runtime::LinkId> outstanding;
    TimePoint deadline;
  };

  void finish(const Collection& collection);
  void finishComplete();

  StoreContext& context_;
  std::uint64_t last_request_id_ = 0;
  /// Pending collections by the request id of the status request sent to the readers.
  std::map<std::uint64_t, Collection> collections_;
};

}  // namespace cometstand::store
