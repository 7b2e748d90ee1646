#pragma once

#include <deque>

#include "rehearsal/simulator/http_client.h"
#include "rehearsal/simulator/machine_list.h"
#include "rehearsal/simulator/process.h"
#include "relay/relay_core.h"

namespace cometstand::simulator {

/// Stands for relay::Prober over the simulated network: the same rounds, limits and parsing.
class RelayProber {
 public:
  RelayProber(EventQueue& queue, Network& network, HostId host, Process& relay, const MachineList& machines);

  /// Begins the rounds; they end only with the run.
  void start();

 private:
  void beginRound();
  void probeNext();
  relay::RelayCore* core();

  EventQueue& queue_;
  HttpClient client_;
  Process& relay_;
  const MachineList& machines_;
  std::deque<relay::ProbeTarget> waiting_;
  std::size_t in_flight_ = 0;
  /// The run of the relay that the present round belongs to.
  std::uint64_t run_ = 0;
};

}  // namespace cometstand::simulator
