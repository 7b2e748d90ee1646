#pragma once

#include <deque>
#include <map>
#include <vector>

#include "rehearsal/simulator/event_queue.h"
#include "relay/endpoint_monitor.h"

namespace cometstand::simulator {

/// The platform's list of live and leaving machines, as it was a while ago.
class MachineList {
 public:
  explicit MachineList(EventQueue& queue) : queue_(queue) {}

  /// @param lag how late changes show up from now on.
  void setLag(Duration lag) { lag_ = lag; }

  void set(const runtime::Address& address, bool leaving) {
    queue_.after(lag_, [this, address, leaving] { shown_[address] = leaving; });
  }

  void remove(const runtime::Address& address) {
    queue_.after(lag_, [this, address] { shown_.erase(address); });
  }

  std::vector<relay::MachineState> listed() const {
    std::vector<relay::MachineState> machines;
    for (const auto& [address, leaving] : shown_) machines.push_back({address, leaving});
    return machines;
  }

 private:
  EventQueue& queue_;
  Duration lag_ = std::chrono::seconds(5);
  std::map<runtime::Address, bool> shown_;
};

}  // namespace cometstand::simulator
