#include "process_network.h"

#include <algorithm>
#include <vector>

namespace cometstand::rollout::test {

using runtime::LinkId;
using runtime::ProcessCore;

ProcessId ProcessNetwork::add(runtime::Address address, Factory factory) {
  auto& process = processes_.emplace_back();
  process.address = std::move(address);
  process.factory = std::move(factory);
  return processes_.size() - 1;
}

void ProcessNetwork::start(ProcessId id) {
  auto& process = processes_.at(id);
  process.core = process.factory();
  process.core->start(process.files, now_);
  executeActions(id);
}

void ProcessNetwork::crash(ProcessId id) {
  auto& process = processes_.at(id);
  process.core.reset();
  ++process.incarnation;
  process.suspended_until = TimePoint();
  process.no_timer_before = TimePoint();
  while (!process.links.empty()) close(id, process.links.begin()->first);
}

void ProcessNetwork::suspend(ProcessId id, Duration time) {
  auto& process = processes_.at(id);
  if (process.core == nullptr) return;
  const Duration left = std::max(Duration::zero(), process.core->nextTimer() - now_);
  process.suspended_until = now_ + time;
  process.no_timer_before = process.suspended_until + std::min<Duration>(left, std::chrono::hours(1));
}

TimePoint ProcessNetwork::nextTimerOf(const Process& process) const {
  return std::max({now_, process.core->nextTimer(), process.no_timer_before});
}

void ProcessNetwork::call(ProcessId id, const std::function<void()>& action) {
  if (!isRunning(id)) return;
  if (isSuspended(id)) {
    at(processes_.at(id).suspended_until, [this, id, action, incarnation = processes_.at(id).incarnation] {
      if (processes_.at(id).incarnation == incarnation) call(id, action);
    });
    return;
  }
  processes_.at(id).no_timer_before = TimePoint();
  action();
  executeActions(id);
}

void ProcessNetwork::at(TimePoint time, std::function<void()> action) {
  events_.emplace(std::pair(std::max(time, now_), next_event_++), std::move(action));
}

void ProcessNetwork::deliver(ProcessId id, std::uint64_t incarnation,
                             const std::function<void(ProcessCore&)>& event) {
  auto& process = processes_.at(id);
  if (process.core == nullptr || process.incarnation != incarnation) return;
  if (isSuspended(id)) {
    at(process.suspended_until, [this, id, incarnation, event] { deliver(id, incarnation, event); });
    return;
  }
  process.no_timer_before = TimePoint();
  event(*process.core);
  executeActions(id);
}

void ProcessNetwork::executeActions(ProcessId id) {
  auto actions = processes_.at(id).core->takeActions();
  for (const auto& order : actions.writes) write(id, order);
  for (const auto& order : actions.connects) open(id, order);
  for (const auto& outgoing : actions.messages) send(id, outgoing);
  for (const LinkId link : actions.closes) {
    at(now_ + 2 * kBaseDelay, [this, id, link, incarnation = processes_.at(id).incarnation] {
      if (processes_.at(id).incarnation == incarnation) close(id, link);
    });
  }
}

void ProcessNetwork::write(ProcessId id, const runtime::FileWrite& order) {
  at(now_ + kBaseDelay, [this, id, order, incarnation = processes_.at(id).incarnation] {
    auto& process = processes_.at(id);
    if (process.core == nullptr || process.incarnation != incarnation) return;
    process.files.apply(order);
    deliver(id, incarnation,
            [this, write = order.id](ProcessCore& core) { core.onFileWritten(write, now_); });
  });
}

void ProcessNetwork::open(ProcessId id, const runtime::ConnectOrder& order) {
  at(now_ + kBaseDelay, [this, id, order, incarnation = processes_.at(id).incarnation] {
    auto& process = processes_.at(id);
    if (process.core == nullptr || process.incarnation != incarnation) return;
    const auto target = std::find_if(processes_.begin(), processes_.end(), [&](const Process& other) {
      return other.core != nullptr && other.address == order.address;
    });
    const auto to = static_cast<ProcessId>(target - processes_.begin());
    if (target == processes_.end() || isPartitioned(id, to) || !message_delay_(id, to, {})) {
      deliver(id, incarnation,
              [this, link = order.link](ProcessCore& core) { core.onLinkClosed(link, now_); });
      return;
    }
    const LinkId incoming{target->next_incoming++};
    process.links[order.link] = {to, incoming};
    target->links[incoming] = {id, order.link};
    deliver(to, target->incarnation,
            [this, incoming](ProcessCore& core) { core.onLinkOpened(incoming, {}, now_); });
    deliver(id, incarnation,
            [this, link = order.link](ProcessCore& core) { core.onLinkOpened(link, {}, now_); });
  });
}

void ProcessNetwork::send(ProcessId id, const runtime::OutgoingMessage& outgoing) {
  const auto& links = processes_.at(id).links;
  const auto found = links.find(outgoing.link);
  if (found == links.end()) return;
  const LinkEnd end = found->second;
  const auto extra_delay = message_delay_(id, end.peer, *outgoing.message);
  if (!extra_delay) return;
  at(now_ + kBaseDelay + *extra_delay,
     [this, id, end, message = outgoing.message, incarnation = processes_.at(end.peer).incarnation] {
       if (isPartitioned(id, end.peer)) return;
       deliver(end.peer, incarnation,
               [this, end, message](ProcessCore& core) { core.onMessage(end.link, *message, now_); });
     });
}

void ProcessNetwork::close(ProcessId id, LinkId link) {
  auto& process = processes_.at(id);
  const auto found = process.links.find(link);
  if (found == process.links.end()) return;
  const LinkEnd end = found->second;
  process.links.erase(found);
  deliver(id, process.incarnation, [this, link](ProcessCore& core) { core.onLinkClosed(link, now_); });
  auto& peer = processes_.at(end.peer);
  peer.links.erase(end.link);
  deliver(end.peer, peer.incarnation, [this, end](ProcessCore& core) { core.onLinkClosed(end.link, now_); });
}

void ProcessNetwork::resetLinks(ProcessId left, ProcessId right) {
  std::vector<LinkId> lost;
  for (const auto& [link, end] : processes_.at(left).links) {
    if (end.peer == right) lost.push_back(link);
  }
  for (const LinkId link : lost) close(left, link);
}

void ProcessNetwork::runNextEvents(TimePoint end) {
  TimePoint next = events_.empty() ? end : std::min(end, events_.begin()->first.first);
  for (const auto& process : processes_) {
    if (process.core != nullptr) next = std::min(next, nextTimerOf(process));
  }
  now_ = std::max(now_, next);
  for (ProcessId id = 0; id < processes_.size(); ++id) {
    if (!isRunning(id) || nextTimerOf(processes_[id]) > now_) continue;
    deliver(id, processes_[id].incarnation, [this](ProcessCore& core) { core.onTimer(now_); });
  }
  while (!events_.empty() && events_.begin()->first.first <= now_) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
}

void ProcessNetwork::runFor(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end) runNextEvents(end);
}

}  // namespace cometstand::rollout::test
