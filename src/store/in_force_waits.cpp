#include "store/in_force_waits.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/error.h"
#include "store/log_writer.h"
#include "store/queries.h"
#include "store/replies.h"

namespace cometstand::store {

void InForceWaits::add(const Requester& requester, std::uint64_t version, Duration time_limit,
                       TimePoint now) {
  const Duration limit = std::min(time_limit, context_.options.max_wait);
  waits_.push_back({requester, version, now + limit});
  check();
}

std::uint64_t InForceWaits::nodeCount() const {
  const auto& entries = context_.state.catalog().entries();
  std::uint64_t count = 0;
  for (auto entry = entries.lower_bound(config::makeKey(wire::ObjectKind::Node, "", ""));
       entry != entries.end() && entry->first.kind == wire::ObjectKind::Node; ++entry) {
    if (entry->second.object != nullptr) ++count;
  }
  return count;
}

bool InForceWaits::isInForce(std::uint64_t version) const {
  if (version > context_.state.catalog().version()) return false;
  const auto summary = readers_.inForce();
  return summary.version >= version && summary.proxies >= nodeCount();
}

void InForceWaits::check() {
  for (auto wait = waits_.begin(); wait != waits_.end();) {
    if (!isInForce(wait->version)) {
      ++wait;
      continue;
    }
    sendReply(context_, wait->requester,
              makeTable(wait->version, {"version", "proxies"},
                        {{std::to_string(wait->version), std::to_string(readers_.inForce().proxies)}}));
    wait = waits_.erase(wait);
  }
}

void InForceWaits::onLeadershipLost() {
  for (const auto& wait : waits_) {
    sendReply(
        context_, wait.requester,
        notRunReply<wire::CommandReplyT>(Error(ErrorKind::Unavailable, "this replica no longer leads",
                                               "send the command again", context_.options.retry_after)));
  }
  waits_.clear();
}

void InForceWaits::onTimer(TimePoint now) {
  for (auto wait = waits_.begin(); wait != waits_.end();) {
    if (wait->deadline > now) {
      ++wait;
      continue;
    }
    const auto summary = readers_.inForce();
    const Error error(
        ErrorKind::Timeout,
        fmt::format("version {} is not in force everywhere: {} of {} proxies report, the smallest "
                    "version in force on them is {}",
                    wait->version, summary.proxies, nodeCount(), summary.version),
        "see show proxies for the nodes that lag or are silent");
    sendReply(context_, wait->requester, notRunReply<wire::CommandReplyT>(error));
    wait = waits_.erase(wait);
  }
}

TimePoint InForceWaits::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& wait : waits_) next = std::min(next, wait.deadline);
  return next;
}

}  // namespace cometstand::store
