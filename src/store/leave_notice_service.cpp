#include "store/leave_notice_service.h"

#include <memory>

#include "base/event_log.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// Bounds the replicated state; ids and names of nodes are shorter.
constexpr std::size_t kMaxNameBytes = 256;

}  // namespace

using runtime::LinkId;

void LeaveNoticeService::onNotice(LinkId link, const std::string& node, const wire::LeaveNoticeT& notice,
                                  TimePoint now) {
  const bool is_valid =
      !notice.instance.empty() && notice.instance.size() <= kMaxNameBytes && node.size() <= kMaxNameBytes;
  if (!is_valid) {
    logEvent(kLeaveNoticeInvalid,
             {{"node", node.substr(0, kMaxNameBytes)}, {"bytes", notice.instance.size()}});
    return;
  }
  const Key key{node, {notice.instance, notice.born_ms}};
  if (context_.state.leaveNotices().contains(key.first, key.second)) {
    acknowledge(link, key);
    return;
  }
  if (!context_.isLeader()) return;
  const bool is_proposed = proposed_.contains(key);
  proposed_[key] = link;
  if (is_proposed) return;
  const auto on_applied = [this, key](const CommandResult* result) {
    const auto proposed = proposed_.extract(key);
    if (result != nullptr && !proposed.empty()) acknowledge(proposed.mapped(), key);
  };
  if (!proposals_.propose(makeLeaveNotice(key.first, key.second), on_applied, now)) proposed_.erase(key);
}

void LeaveNoticeService::acknowledge(LinkId link, const Key& key) {
  context_.actions.send(link, makeLeaveNotice(key.first, key.second), 0);
  logEvent(kLeaveNoticeCommitted, {{"node", key.first}, {"instance", key.second.name()}});
}

void LeaveNoticeService::onQuery(LinkId link, const std::string& node, TimePoint now) {
  if (!context_.isLeader()) return;
  context_.reads.requestRead(
      [this, link, node](bool is_confirmed, TimePoint) {
        if (is_confirmed) sendList(link, node);
      },
      now);
}

void LeaveNoticeService::sendList(LinkId link, const std::string& node) {
  wire::LeaveNoticeListT list;
  for (const auto& incarnation : context_.state.leaveNotices().noticesOf(node))
    list.notices.push_back(std::make_shared<wire::LeaveNoticeT>(makeLeaveNotice(node, incarnation)));
  context_.actions.send(link, std::move(list), 0);
}

}  // namespace cometstand::store
