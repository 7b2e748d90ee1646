#include "process_network.h"

#include <algorithm>
#include <vector>

namespace cometstand::rollout::test {

using runtime::LinkId;
using runtime::ProcessCore;

ProcessId ProcessNetwork::add(runtime::Address address, Make make) {
  auto& node = nodes_.emplace_back();
  node.address = std::move(address);
  node.make = std::move(make);
  return nodes_.size() - 1;
}

void ProcessNetwork::start(ProcessId id) {
  auto& node = nodes_.at(id);
  node.core = node.make();
  node.core->start(node.files, now_);
  carryOut(id);
}

void ProcessNetwork::crash(ProcessId id) {
  auto& node = nodes_.at(id);
  node.core.reset();
  ++node.life;
  node.suspended_until = TimePoint();
  node.timers_from = TimePoint();
  while (!node.links.empty()) close(id, node.links.begin()->first);
}

void ProcessNetwork::suspend(ProcessId id, Duration time) {
  auto& node = nodes_.at(id);
  if (node.core == nullptr) return;
  const Duration left = std::max(Duration::zero(), node.core->nextTimer() - now_);
  node.suspended_until = now_ + time;
  node.timers_from = node.suspended_until + std::min<Duration>(left, std::chrono::hours(1));
}

TimePoint ProcessNetwork::timerOf(const Node& node) const {
  return std::max({now_, node.core->nextTimer(), node.timers_from});
}

void ProcessNetwork::call(ProcessId id, const std::function<void()>& action) {
  if (!isRunning(id)) return;
  if (isSuspended(id)) {
    at(nodes_.at(id).suspended_until, [this, id, action, life = nodes_.at(id).life] {
      if (nodes_.at(id).life == life) call(id, action);
    });
    return;
  }
  nodes_.at(id).timers_from = TimePoint();
  action();
  carryOut(id);
}

void ProcessNetwork::at(TimePoint time, std::function<void()> action) {
  events_.emplace(std::pair(std::max(time, now_), next_event_++), std::move(action));
}

void ProcessNetwork::deliver(ProcessId id, std::uint64_t life,
                             const std::function<void(ProcessCore&)>& event) {
  auto& node = nodes_.at(id);
  if (node.core == nullptr || node.life != life) return;
  if (isSuspended(id)) {
    at(node.suspended_until, [this, id, life, event] { deliver(id, life, event); });
    return;
  }
  node.timers_from = TimePoint();
  event(*node.core);
  carryOut(id);
}

void ProcessNetwork::carryOut(ProcessId id) {
  auto actions = nodes_.at(id).core->takeActions();
  for (const auto& order : actions.writes) write(id, order);
  for (const auto& order : actions.connects) open(id, order);
  for (const auto& outgoing : actions.messages) send(id, outgoing);
  for (const LinkId link : actions.closes) {
    at(now_ + 2 * kDelay, [this, id, link, life = nodes_.at(id).life] {
      if (nodes_.at(id).life == life) close(id, link);
    });
  }
}

void ProcessNetwork::write(ProcessId id, const runtime::FileWrite& order) {
  at(now_ + kDelay, [this, id, order, life = nodes_.at(id).life] {
    auto& node = nodes_.at(id);
    if (node.core == nullptr || node.life != life) return;
    node.files.apply(order);
    deliver(id, life, [this, write = order.id](ProcessCore& core) { core.onFileWritten(write, now_); });
  });
}

void ProcessNetwork::open(ProcessId id, const runtime::ConnectOrder& order) {
  at(now_ + kDelay, [this, id, order, life = nodes_.at(id).life] {
    auto& node = nodes_.at(id);
    if (node.core == nullptr || node.life != life) return;
    const auto target = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& other) {
      return other.core != nullptr && other.address == order.address;
    });
    const auto to = static_cast<ProcessId>(target - nodes_.begin());
    if (target == nodes_.end() || isCut(id, to) || !way_(id, to, {})) {
      deliver(id, life, [this, link = order.link](ProcessCore& core) { core.onLinkClosed(link, now_); });
      return;
    }
    const LinkId incoming{target->next_incoming++};
    node.links[order.link] = {to, incoming};
    target->links[incoming] = {id, order.link};
    deliver(to, target->life, [this, incoming](ProcessCore& core) { core.onLinkOpened(incoming, {}, now_); });
    deliver(id, life, [this, link = order.link](ProcessCore& core) { core.onLinkOpened(link, {}, now_); });
  });
}

void ProcessNetwork::send(ProcessId id, const runtime::OutgoingMessage& outgoing) {
  const auto& links = nodes_.at(id).links;
  const auto found = links.find(outgoing.link);
  if (found == links.end()) return;
  const End end = found->second;
  const auto extra = way_(id, end.peer, *outgoing.message);
  if (!extra) return;
  at(now_ + kDelay + *extra, [this, id, end, message = outgoing.message, life = nodes_.at(end.peer).life] {
    if (isCut(id, end.peer)) return;
    deliver(end.peer, life,
            [this, end, message](ProcessCore& core) { core.onMessage(end.link, *message, now_); });
  });
}

void ProcessNetwork::close(ProcessId id, LinkId link) {
  auto& node = nodes_.at(id);
  const auto found = node.links.find(link);
  if (found == node.links.end()) return;
  const End end = found->second;
  node.links.erase(found);
  deliver(id, node.life, [this, link](ProcessCore& core) { core.onLinkClosed(link, now_); });
  auto& peer = nodes_.at(end.peer);
  peer.links.erase(end.link);
  deliver(end.peer, peer.life, [this, end](ProcessCore& core) { core.onLinkClosed(end.link, now_); });
}

void ProcessNetwork::resetLinks(ProcessId left, ProcessId right) {
  std::vector<LinkId> lost;
  for (const auto& [link, end] : nodes_.at(left).links) {
    if (end.peer == right) lost.push_back(link);
  }
  for (const LinkId link : lost) close(left, link);
}

void ProcessNetwork::step(TimePoint end) {
  TimePoint next = events_.empty() ? end : std::min(end, events_.begin()->first.first);
  for (const auto& node : nodes_) {
    if (node.core != nullptr) next = std::min(next, timerOf(node));
  }
  now_ = std::max(now_, next);
  for (ProcessId id = 0; id < nodes_.size(); ++id) {
    if (!isRunning(id) || timerOf(nodes_[id]) > now_) continue;
    deliver(id, nodes_[id].life, [this](ProcessCore& core) { core.onTimer(now_); });
  }
  while (!events_.empty() && events_.begin()->first.first <= now_) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
}

void ProcessNetwork::runFor(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end) step(end);
}

}  // namespace cometstand::rollout::test
