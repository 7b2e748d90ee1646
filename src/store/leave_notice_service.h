#pragma once

#include <map>
#include <string>
#include <utility>

#include "store/pending_proposals.h"

namespace cometstand::store {

/// Commits the leave notices that nodes send, and tells a node that has started which of its target's
/// incarnations had announced their shutdown.
///
/// A notice is sent back to its node once it is committed, by the leader or by any replica that has applied
/// it. Nodes send notices and queries again until they have a response, so nothing is retried here.
class LeaveNoticeService {
 public:
  explicit LeaveNoticeService(StoreContext& context) : context_(context) {}

  /// @param link of the node; the response is sent on it.
  void onNotice(runtime::LinkId link, const std::string& node, const wire::LeaveNoticeT& notice,
                TimePoint now);
  /// The response is a linearizable read. A replica that is not the leader does not respond.
  void onQuery(runtime::LinkId link, const std::string& node, TimePoint now);

  /// Must be called after each log entry is applied.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
    proposals_.onApplied(entry, results);
  }
  void onLeadershipLost() { proposals_.onLeadershipLost(); }
  void onTimer(TimePoint now) { proposals_.onTimer(now); }
  TimePoint nextTimer() const { return proposals_.nextTimer(); }
  bool idle() const { return proposals_.idle(); }

 private:
  using Key = std::pair<std::string, mesh::Incarnation>;

  void acknowledge(runtime::LinkId link, const Key& key);
  void sendList(runtime::LinkId link, const std::string& node);

  StoreContext& context_;
  PendingProposals proposals_{context_};
  /// Link of the newest message about each notice that is proposed and not applied yet.
  std::map<Key, runtime::LinkId> proposed_;
};

}  // namespace cometstand::store
