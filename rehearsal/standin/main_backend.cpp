// cometstand-backend: a back-end stand-in for rehearsals.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>

#include "base/error.h"
#include "rehearsal/standin/backend.h"
#include "rehearsal/standin/events.h"
#include "rehearsal/standin/listen_address.h"
#include "rehearsal/standin/program_options.h"

namespace {

using cometstand::rehearsal::BackendOptions;
using cometstand::rehearsal::fromMilliseconds;
using cometstand::rehearsal::Option;

struct ProgramOptions {
  BackendOptions backend;
  std::string executed_file;
};

ProgramOptions parseCommandLine(int argc, char** argv) {
  TCLAP::CmdLine line("Back-end stand-in of the cometstand rehearsal kit.", ' ',
                      cometstand::rehearsal::kKitVersion);
  Option<std::string> name(line, "name", "Name in logs and reports", "backend", "text");
  Option<std::string> listen(line, "listen", "Address to serve; port 0 lets the system pick one",
                             "127.0.0.1:0", "ip:port");
  Option<unsigned> slots(line, "slots", "Requests in work at once", 6, "count");
  Option<unsigned> queue(line, "queue", "Requests that may wait for a slot", 12, "count");
  Option<unsigned> connections(line, "connections", "Connections held at once", 130, "count");
  Option<double> connection_cost(line, "connection-cost-ms", "Time for each new connection", 1, "ms");
  Option<double> probe_cost(line, "probe-cost-ms", "Time that a probe keeps a slot", 0, "ms");
  Option<double> service_time(line, "service-time-ms", "Mean time of a request", 10, "ms");
  Option<std::string> shape(line, "service-time-shape", "constant, exponential or lognormal", "exponential",
                            "shape");
  Option<double> cold_time(line, "cold-time-ms", "Time after the start in which service is slower", 0, "ms");
  Option<double> cold_factor(line, "cold-factor", "Slowdown at the start", 3, "factor");
  Option<double> linger(line, "linger-ms", "Shortest drain", 3000, "ms");
  Option<std::uint64_t> seed(line, "seed", "Seed of service times and faults", 1, "number");
  Option<std::string> executed_file(line, "executed-file",
                                    "Where the record of what ran is written at the end", "", "path");
  line.parse(argc, argv);

  ProgramOptions options;
  options.executed_file = *executed_file;
  auto& backend = options.backend;
  backend.name = *name;
  backend.listen = cometstand::rehearsal::parseEndpoint(*listen);
  backend.slots = *slots;
  backend.queue_limit = *queue;
  backend.max_connections = *connections;
  backend.connection_cost = fromMilliseconds(*connection_cost);
  backend.probe_cost = fromMilliseconds(*probe_cost);
  backend.service_time.mean = fromMilliseconds(*service_time);
  backend.service_time.shape = cometstand::rehearsal::parseServiceTimeShape(*shape);
  backend.cold_time = fromMilliseconds(*cold_time);
  backend.cold_factor = *cold_factor;
  backend.linger_time = fromMilliseconds(*linger);
  backend.seed = *seed;
  return options;
}

void run(const ProgramOptions& options) {
  boost::asio::io_context io(1);
  cometstand::rehearsal::Backend backend(io, options.backend);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&backend](boost::system::error_code error, int) {
    if (!error) backend.beginLeaving();
  });
  backend.start();
  io.run();
  if (options.executed_file.empty()) return;
  std::ofstream(options.executed_file) << boost::json::serialize(backend.executedJson()) << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  try {
    run(parseCommandLine(argc, argv));
    return 0;
  } catch (const std::exception& error) {
    cometstand::logEvent(cometstand::rehearsal::kStandinFailed, {{"reason", error.what()}});
    return 1;
  }
}
