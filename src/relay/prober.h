#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <vector>

#include "base/time.h"
#include "relay/endpoint_monitor.h"

namespace cometstand::relay {

/// Settings of Prober.
struct ProberOptions {
  /// Pause between the starts of two rounds over all targets.
  Duration interval = std::chrono::seconds(2);
  /// A probe without an answer in this time has failed.
  Duration time_limit = std::chrono::seconds(1);
  /// Probes in flight at once.
  std::size_t concurrency = 8;
  /// Where the platform serves its machine list; none if the host is empty.
  runtime::Address machine_list;
};

/// Asks endpoints for `GET /healthz`, and the platform for `GET /machines`, over HTTP. Decides nothing:
/// results go to the handlers. Runs on one io_context thread.
class Prober {
 public:
  struct Handlers {
    std::function<std::vector<ProbeTarget>()> targets;
    std::function<void(const view::EndpointId&, const ProbeResult&)> on_result;
    std::function<void(const std::vector<MachineState>&)> on_machines;
  };

  Prober(boost::asio::io_context& io, ProberOptions options, Handlers handlers);

  void start();
  /// Ends the rounds; probes in flight run out.
  void stop();

 private:
  void beginRound();
  void probeNext();
  void askMachineList();

  boost::asio::io_context& io_;
  ProberOptions options_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  std::deque<ProbeTarget> waiting_;
  std::size_t in_flight_ = 0;
  bool stopped_ = false;
};

/// @return what the body of an endpoint's `/healthz` says; not answered if it is malformed.
ProbeResult parseHealth(const std::string& body);

/// @return the machines that the body of `/machines` lists; lines that cannot be read are left out.
std::vector<MachineState> parseMachines(const std::string& body);

}  // namespace cometstand::relay
