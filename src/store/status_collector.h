#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// Asks the readers what their zones' proxies run and which endpoints live, and answers an operator once all
/// answered or the time limit passed.
class StatusCollector {
 public:
  /// Makes the answer from what the readers sent.
  using Render = std::function<wire::CommandReplyT(const wire::StatusReplyT& status)>;

  explicit StatusCollector(StoreContext& context) : context_(context) {}

  /// @param request what the answer needs, and no more: it goes to every relay.
  void begin(const Asker& asker, const std::vector<runtime::LinkId>& readers,
             const wire::StatusRequestT& request, Render render, TimePoint now);
  void onReply(runtime::LinkId reader, std::uint64_t request_id, const wire::StatusReplyT& reply);
  void onLinkClosed(runtime::LinkId link);
  /// Answers all that wait: the readers went to another leader.
  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Collection {
    Asker asker;
    Render render;
    wire::StatusReplyT status;
    std::set<runtime::LinkId> missing;
    TimePoint deadline;
  };

  void finish(const Collection& collection);
  void finishComplete();

  StoreContext& context_;
  std::uint64_t last_request_id_ = 0;
  /// By the request id that the readers were asked with.
  std::map<std::uint64_t, Collection> collections_;
};

}  // namespace cometstand::store
