#include "store/status_collector.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "store/log_writer.h"
#include "store/replies.h"

namespace cometstand::store {

using runtime::LinkId;

void StatusCollector::begin(const Requester& requester, const std::vector<LinkId>& readers,
                            const wire::StatusRequestT& request, Render render, TimePoint now) {
  const std::uint64_t request_id = ++last_request_id_;
  auto& collection = collections_[request_id];
  collection.requester = requester;
  collection.render = std::move(render);
  collection.outstanding = {readers.begin(), readers.end()};
  collection.deadline = now + context_.options.status_time_limit;
  for (const LinkId reader : readers) context_.actions.send(reader, request, request_id);
  finishComplete();
}

void StatusCollector::onReply(LinkId reader, std::uint64_t request_id, const wire::StatusReplyT& reply) {
  const auto found = collections_.find(request_id);
  if (found == collections_.end() || found->second.outstanding.erase(reader) == 0) return;
  auto& status = found->second.status;
  status.proxies.insert(status.proxies.end(), reply.proxies.begin(), reply.proxies.end());
  status.endpoints.insert(status.endpoints.end(), reply.endpoints.begin(), reply.endpoints.end());
  finishComplete();
}

void StatusCollector::onLinkClosed(LinkId link) {
  for (auto& [id, collection] : collections_) collection.outstanding.erase(link);
  finishComplete();
}

void StatusCollector::finish(const Collection& collection) {
  try {
    sendReply(context_, collection.requester, collection.render(collection.status));
  } catch (const Error& error) {
    sendReply(context_, collection.requester, notRunReply<wire::CommandReplyT>(error));
  }
}

void StatusCollector::finishComplete() {
  for (auto item = collections_.begin(); item != collections_.end();) {
    if (!item->second.outstanding.empty()) {
      ++item;
      continue;
    }
    finish(item->second);
    item = collections_.erase(item);
  }
}

void StatusCollector::onLeadershipLost() {
  for (const auto& [id, collection] : collections_) {
    sendReply(context_, collection.requester,
              notRunReply<wire::CommandReplyT>(Error(ErrorKind::Unavailable, "this replica no longer leads",
                                                     "send the query again", context_.options.retry_after)));
  }
  collections_.clear();
}

void StatusCollector::onTimer(TimePoint now) {
  for (auto& [id, collection] : collections_) {
    if (collection.deadline <= now) collection.outstanding.clear();
  }
  finishComplete();
}

TimePoint StatusCollector::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, collection] : collections_) next = std::min(next, collection.deadline);
  return next;
}

}  // namespace cometstand::store
