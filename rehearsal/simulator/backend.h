#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/random.h"
#include "rehearsal/simulator/network.h"

namespace cometstand::simulator {

/// What a back end's record and the checkers hear of one back end.
class BackendObserver {
 public:
  virtual ~BackendObserver() = default;
  /// A request of the given host reached the back end; it may still refuse it.
  virtual void onWorkArrived(const std::string& backend, const std::string& from,
                             const proxy::CallerRequest& request) = 0;
  /// Work on it began: what "ran" means to every check.
  virtual void onWorkBegun(const std::string& backend, const HttpRequest& request) = 0;
};

/// How a back end behaves; may change at any moment.
struct BackendBehavior {
  Duration service_minimum = std::chrono::milliseconds(2);
  Duration service_maximum = std::chrono::milliseconds(20);
  /// Every service time is multiplied by this for a while after a start.
  double cold_factor = 4;
  Duration cold_time = std::chrono::seconds(5);
  /// Processor time of one health probe, and of a new connection.
  Duration probe_cost = std::chrono::milliseconds(1);
  Duration connection_cost = std::chrono::milliseconds(1);
  /// Sheds every request.
  bool shed_all = false;
  /// Health and load are answered as they were this long ago.
  Duration lag = Duration::zero();
  /// Health says live, load says idle, whatever is true.
  bool lies = false;
  bool probes_hang = false;
  /// While leaving, runs what it still gets, as one that knows nothing of its own stop.
  bool runs_while_leaving = false;
};

/// A model of one target: slots and a queue, cold start, drain, shedding, health and load that lag or lie,
/// cancellation by a closed connection, deadlines.
class Backend : public NetworkPeer {
 public:
  Backend(EventQueue& queue, Network& network, HostId host, unsigned slots, std::uint64_t seed,
          BackendObserver& observer);

  void start();
  void kill();
  void beginLeaving();
  bool running() const { return running_; }
  bool leaving() const { return leaving_; }
  void setBehavior(const BackendBehavior& behavior) { behavior_ = behavior; }
  const BackendBehavior& behavior() const { return behavior_; }
  const std::string& name() const { return network_.nameOf(host_); }

  bool accepts() const override { return running_; }
  void onConnection(ConnectionId) override {}
  void onConnected(ConnectionId) override {}
  void onPacket(ConnectionId connection, const Packet& packet) override;
  void onClosed(ConnectionId connection) override;

 private:
  struct Work {
    ConnectionId connection;
    std::shared_ptr<const HttpRequest> request;
    TimePoint deadline;
  };
  /// What health and load said from a moment on.
  struct Sample {
    TimePoint when;
    const char* state;
    double load;
  };

  void answerHealth(ConnectionId connection);
  void takeWork(Work work);
  void startWaiting();
  void run(Work work);
  void finish(const Work& work);
  void refuse(ConnectionId connection, const char* reason);
  void respond(ConnectionId connection, proxy::BackendResponse response);
  const char* state() const;
  double load() const;
  void sample();
  Sample reported() const;

  EventQueue& queue_;
  Network& network_;
  HostId host_;
  unsigned slots_;
  RandomSource random_;
  BackendObserver& observer_;
  BackendBehavior behavior_;
  bool running_ = false;
  bool leaving_ = false;
  std::uint64_t incarnation_ = 0;
  TimePoint started_;
  unsigned busy_ = 0;
  std::deque<Work> waiting_;
  std::deque<Sample> samples_;
};

}  // namespace cometstand::simulator
