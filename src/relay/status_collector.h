#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "relay/request_numbers.h"
#include "runtime/action_queue.h"

namespace cometstand::relay {

/// Answers StatusRequests with what this relay and its followers know. Followers that do not answer in time
/// are left out.
class StatusCollector {
 public:
  StatusCollector(runtime::ActionQueue& actions, RequestNumbers& numbers, Duration limit)
      : actions_(actions), numbers_(numbers), limit_(limit) {}

  /// @param own what this relay knows itself of what the request asks for. @param followers the relays to
  ///     ask in turn; their endpoint records are this relay's, so that they are not asked for.
  void begin(runtime::LinkId asker, std::uint64_t request_id, const wire::StatusRequestT& request,
             wire::StatusReplyT own, const std::vector<runtime::LinkId>& followers, TimePoint now);

  void onReply(runtime::LinkId follower, std::uint64_t request_id, const wire::StatusReplyT& reply);
  /// An asker or follower is gone.
  void onLinkClosed(runtime::LinkId link);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Collection {
    runtime::LinkId asker;
    std::uint64_t request_id = 0;
    wire::StatusReplyT reply;
    std::set<runtime::LinkId> missing;
    TimePoint deadline;
  };

  void finishComplete(TimePoint now);

  runtime::ActionQueue& actions_;
  RequestNumbers& numbers_;
  Duration limit_;
  /// By the request id that the followers were asked with.
  std::map<std::uint64_t, Collection> collections_;
};

}  // namespace cometstand::relay
