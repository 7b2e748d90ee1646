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

/// Deterministic simulation that runs processes of any kind in one thread on a simulated clock and opens the
/// links that they request. Every message and every write takes kBaseDelay.
class ProcessNetwork {
 public:
  static constexpr Duration kBaseDelay = std::chrono::milliseconds(1);
  /// @return a new instance of the process that is not started yet.
  using Factory = std::function<std::unique_ptr<runtime::ProcessCore>()>;
  /// @return the delay of a message in addition to kBaseDelay; nothing if the message is lost. Called in the
  /// order in which messages are sent.
  using MessageDelay =
      std::function<std::optional<Duration>(ProcessId from, ProcessId to, const wire::EnvelopeT&)>;

  /// Adds a process without starting it.
  /// @param factory called for each start of the process.
  ProcessId add(runtime::Address address, Factory factory);
  void start(ProcessId id);
  /// Terminates the process abruptly; its files are kept.
  void crash(ProcessId id);
  bool isRunning(ProcessId id) const { return processes_.at(id).core != nullptr; }
  runtime::ProcessCore& core(ProcessId id) { return *processes_.at(id).core; }

  /// Partitions the process from all others: messages in both directions are dropped silently until heal().
  void partition(ProcessId id) { partitioned_.insert(id); }
  void heal(ProcessId id) { partitioned_.erase(id); }

  /// Closes the links between the two processes, as the kernel does after a loss of data.
  void resetLinks(ProcessId left, ProcessId right);

  /// Sets the delay of all messages sent from now on. A link opens only if the connection attempt, passed as
  /// an empty message, is not lost.
  void setMessageDelay(MessageDelay delay) { message_delay_ = std::move(delay); }

  /// Suspends the machine of the process for the given time. Events for the process are delayed until then
  /// and delivered before any timer: its clock advances meanwhile, but the time left until its next timer
  /// does not decrease.
  void suspend(ProcessId id, Duration time);

  /// Calls the process from outside, as a server in the same process does; has no effect if the process is
  /// not running.
  /// @param action called when the suspension ends if the process is suspended.
  void call(ProcessId id, const std::function<void()>& action);
  /// Runs the action at the given time.
  void at(TimePoint time, std::function<void()> action);
  TimePoint now() const { return now_; }
  void runFor(Duration time);

 private:
  struct LinkEnd {
    ProcessId peer = 0;
    runtime::LinkId link{};
  };
  struct Process {
    runtime::Address address;
    Factory factory;
    runtime::test::MemoryFiles files;
    std::unique_ptr<runtime::ProcessCore> core;
    /// Incremented by each crash, so that events for an earlier incarnation are dropped.
    std::uint64_t incarnation = 0;
    TimePoint suspended_until;
    /// After a suspension: no timer fires before this time. Reset by the next event.
    TimePoint no_timer_before;
    std::uint64_t next_incoming = runtime::kFirstIncomingLink;
    std::map<runtime::LinkId, LinkEnd> links;
  };

  void deliver(ProcessId id, std::uint64_t incarnation,
               const std::function<void(runtime::ProcessCore&)>& event);
  void executeActions(ProcessId id);
  void write(ProcessId id, const runtime::FileWrite& order);
  void open(ProcessId id, const runtime::ConnectOrder& order);
  void send(ProcessId id, const runtime::OutgoingMessage& outgoing);
  void close(ProcessId id, runtime::LinkId link);
  bool isSuspended(ProcessId id) const { return now_ < processes_.at(id).suspended_until; }
  TimePoint nextTimerOf(const Process& process) const;
  bool isPartitioned(ProcessId left, ProcessId right) const {
    return partitioned_.contains(left) || partitioned_.contains(right);
  }
  void runNextEvents(TimePoint end);

  TimePoint now_{std::chrono::hours(1)};
  std::deque<Process> processes_;
  std::set<ProcessId> partitioned_;
  MessageDelay message_delay_ = [](ProcessId, ProcessId, const wire::EnvelopeT&) { return Duration::zero(); };
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t next_event_ = 0;
};

}  // namespace cometstand::rollout::test
