#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/simulator/disk.h"
#include "rehearsal/simulator/network.h"
#include "runtime/process_core.h"

namespace cometstand::simulator {

/// Sees every control message that leaves or reaches a process.
class MessageObserver {
 public:
  virtual ~MessageObserver() = default;
  virtual void onSent(HostId from, HostId to, ConnectionId connection, const wire::EnvelopeT& message) = 0;
  virtual void onDelivered(HostId from, HostId to, ConnectionId connection,
                           const wire::EnvelopeT& message) = 0;
};

/// Drives one ProcessCore as runtime::ProcessRunner does in the programs, over the simulated network, disk
/// and clock. It can be killed, frozen and started again; a core object lives for one run.
class Process : public NetworkPeer {
 public:
  using CoreMaker = std::function<std::unique_ptr<runtime::ProcessCore>(std::uint64_t run)>;
  /// Why the process ended by itself; empty after a planned stop.
  using EndHandler = std::function<void(const std::string& reason)>;

  Process(EventQueue& queue, Network& network, HostId host, Disk* disk, CoreMaker maker);

  void setObserver(MessageObserver* observer) { observer_ = observer; }
  void setEndHandler(EndHandler handler) { on_end_ = std::move(handler); }
  /// @param rate seconds of the process's clock in a second; 1 is exact.
  void setClockRate(double rate) { clock_rate_ = rate; }

  /// A further place of the process on the network; it goes down with the process.
  void addCompanion(HostId host) { companions_.push_back(host); }

  void start();
  /// @param power_loss the machine goes down with it; see Network::detach().
  void kill(bool power_loss);
  void freeze();
  void thaw();
  void beginStop();

  bool running() const { return core_ != nullptr; }
  bool frozen() const { return frozen_; }
  HostId host() const { return host_; }
  Disk* disk() { return disk_; }
  /// The core of the present run; nullptr while it is down.
  runtime::ProcessCore* core() { return core_.get(); }
  std::uint64_t run() const { return run_; }
  TimePoint localTime() const;

  /// Runs the event on the process's thread: at once, after the thaw, or never if the process ends before.
  /// @param event gets the process's time.
  void execute(std::function<void(TimePoint now)> event);

  bool accepts() const override { return core_ != nullptr; }
  void onConnection(ConnectionId connection) override;
  void onConnected(ConnectionId connection) override;
  void onPacket(ConnectionId connection, const Packet& packet) override;
  void onClosed(ConnectionId connection) override;

 private:
  void flush();
  void sendMessages(const runtime::Actions& actions);
  void armTimer();
  void onTimerEvent(TimePoint due);
  void end(const std::string& reason);
  TimePoint toGlobal(TimePoint local) const;

  EventQueue& queue_;
  Network& network_;
  HostId host_;
  Disk* disk_;
  std::vector<HostId> companions_;
  CoreMaker maker_;
  MessageObserver* observer_ = nullptr;
  EndHandler on_end_;
  std::unique_ptr<runtime::ProcessCore> core_;
  std::uint64_t run_ = 0;
  bool frozen_ = false;
  /// True while an event runs, so that a nested one does not flush in the middle.
  bool busy_ = false;
  double clock_rate_ = 1;
  std::deque<std::function<void(TimePoint)>> frozen_events_;
  TimePoint armed_ = TimePoint::max();
  std::map<runtime::LinkId, ConnectionId> links_;
  std::map<ConnectionId, runtime::LinkId> connections_;
  std::uint64_t next_incoming_ = runtime::kFirstIncomingLink;
};

}  // namespace cometstand::simulator
