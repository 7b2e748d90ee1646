#include "relay/status_collector.h"

#include <utility>

namespace cometstand::relay {

using runtime::LinkId;

void StatusCollector::begin(LinkId asker, std::uint64_t request_id, const wire::StatusRequestT& request,
                            wire::StatusReplyT own, const std::vector<LinkId>& followers, TimePoint now) {
  const std::uint64_t id = numbers_.next();
  auto& collection = collections_[id];
  collection.asker = asker;
  collection.request_id = request_id;
  collection.reply = std::move(own);
  collection.deadline = now + limit_;
  if (request.proxies) collection.missing = {followers.begin(), followers.end()};
  for (const LinkId follower : collection.missing) actions_.send(follower, wire::StatusRequestT(), id);
  finishComplete(now);
}

void StatusCollector::onReply(LinkId follower, std::uint64_t request_id, const wire::StatusReplyT& reply) {
  const auto found = collections_.find(request_id);
  if (found == collections_.end() || found->second.missing.erase(follower) == 0) return;
  auto& proxies = found->second.reply.proxies;
  proxies.insert(proxies.end(), reply.proxies.begin(), reply.proxies.end());
  finishComplete(TimePoint::min());
}

void StatusCollector::onLinkClosed(LinkId link) {
  std::erase_if(collections_, [&](const auto& item) { return item.second.asker == link; });
  for (auto& [id, collection] : collections_) collection.missing.erase(link);
  finishComplete(TimePoint::min());
}

void StatusCollector::finishComplete(TimePoint now) {
  for (auto item = collections_.begin(); item != collections_.end();) {
    auto& collection = item->second;
    if (!collection.missing.empty() && collection.deadline > now) {
      ++item;
      continue;
    }
    actions_.send(collection.asker, std::move(collection.reply), collection.request_id);
    item = collections_.erase(item);
  }
}

void StatusCollector::onTimer(TimePoint now) { finishComplete(now); }

TimePoint StatusCollector::nextTimer() const {
  return collections_.empty() ? TimePoint::max() : collections_.begin()->second.deadline;
}

}  // namespace cometstand::relay
