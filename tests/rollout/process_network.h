#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "runtime/core_driver.h"
#include "runtime/process_core.h"

namespace cometstand::rollout::test {

using ProcessId = std::size_t;

/// Runs processes of any kind in one thread on a clock of its own, linked as they ask. Every message and
/// write takes kDelay; equal runs give equal events.
class ProcessNetwork {
 public:
  static constexpr Duration kDelay = std::chrono::milliseconds(1);
  using Make = std::function<std::unique_ptr<runtime::ProcessCore>()>;
  /// @return what a message takes besides kDelay; nothing if it is lost. Called in the order of sending.
  using Way = std::function<std::optional<Duration>(ProcessId from, ProcessId to, const wire::EnvelopeT&)>;

  /// @param make the process, anew for each start. It is not started yet.
  ProcessId add(runtime::Address address, Make make);
  void start(ProcessId id);
  /// Ends the process without notice; its files stay.
  void crash(ProcessId id);
  bool isRunning(ProcessId id) const { return nodes_.at(id).core != nullptr; }
  runtime::ProcessCore& core(ProcessId id) { return *nodes_.at(id).core; }

  /// Messages between the process and all others are lost without notice while it is cut off.
  void cut(ProcessId id) { cut_.insert(id); }
  void mend(ProcessId id) { cut_.erase(id); }

  /// Ends the links between the two, as the kernel does where bytes were lost.
  void resetLinks(ProcessId left, ProcessId right);

  /// Messages take this way from now on; a link opens only where they are not lost.
  void setWay(Way way) { way_ = std::move(way); }

  /// The machine of the process stands still for that time. What comes meanwhile waits, and is delivered
  /// before any timer: the clock that the process reads runs on, but its timers have as much left as before.
  void suspend(ProcessId id, Duration time);

  /// Calls the process from outside, as a server in the same process does; nothing happens if it is down.
  /// @param action called later if the process is suspended.
  void call(ProcessId id, const std::function<void()>& action);
  /// Runs the action at that time.
  void at(TimePoint time, std::function<void()> action);
  TimePoint now() const { return now_; }
  void runFor(Duration time);

 private:
  struct End {
    ProcessId peer = 0;
    runtime::LinkId link{};
  };
  struct Node {
    runtime::Address address;
    Make make;
    runtime::test::MemoryFiles files;
    std::unique_ptr<runtime::ProcessCore> core;
    std::uint64_t life = 0;
    TimePoint suspended_until;
    /// No timer before; the next event puts that right.
    TimePoint timers_from;
    std::uint64_t next_incoming = runtime::kFirstIncomingLink;
    std::map<runtime::LinkId, End> links;
  };

  void deliver(ProcessId id, std::uint64_t life, const std::function<void(runtime::ProcessCore&)>& event);
  void carryOut(ProcessId id);
  void write(ProcessId id, const runtime::FileWrite& order);
  void open(ProcessId id, const runtime::ConnectOrder& order);
  void send(ProcessId id, const runtime::OutgoingMessage& outgoing);
  void close(ProcessId id, runtime::LinkId link);
  bool isSuspended(ProcessId id) const { return now_ < nodes_.at(id).suspended_until; }
  TimePoint timerOf(const Node& node) const;
  bool isCut(ProcessId left, ProcessId right) const { return cut_.contains(left) || cut_.contains(right); }
  void step(TimePoint end);

  TimePoint now_{std::chrono::hours(1)};
  std::deque<Node> nodes_;
  std::set<ProcessId> cut_;
  Way way_ = [](ProcessId, ProcessId, const wire::EnvelopeT&) { return Duration::zero(); };
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t next_event_ = 0;
};

}  // namespace cometstand::rollout::test
