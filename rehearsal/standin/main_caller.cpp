// cometstand-caller: a caller stand-in for rehearsals.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/error.h"
#include "rehearsal/standin/caller.h"
#include "rehearsal/standin/events.h"
#include "rehearsal/standin/listen_address.h"
#include "rehearsal/standin/program_options.h"

namespace {

namespace json = boost::json;
using cometstand::rehearsal::CallerOptions;
using cometstand::rehearsal::Option;
using cometstand::rehearsal::Workload;

struct ProgramOptions {
  CallerOptions caller;
  Workload workload;
  std::string report_file;
  bool list_requests = false;
};

Workload readWorkload(const std::string& path) {
  if (path.empty()) {
    cometstand::rehearsal::RequestKind kind;
    kind.name = "get";
    return {{kind}};
  }
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    throw cometstand::Error(cometstand::ErrorKind::InputOutput, "cannot read '" + path + "'",
                            "name a readable workload file");
  }
  return cometstand::rehearsal::parseWorkload(json::parse(text.str()));
}

ProgramOptions parseCommandLine(int argc, char** argv) {
  TCLAP::CmdLine line("Caller stand-in of the cometstand rehearsal kit.", ' ',
                      cometstand::rehearsal::kKitVersion);
  TCLAP::MultiArg<std::string> servers("", "server", "Proxy, or back end, to call; may be repeated", true,
                                       "ip:port", line);
  Option<std::string> name(line, "name", "Starts each request identifier", "caller", "text");
  Option<double> rate(line, "rate", "Arrivals a second", 50, "per second");
  Option<double> duration(line, "duration-ms", "Time of the arrivals", 10'000, "ms");
  Option<std::uint64_t> seed(line, "seed", "Seed of arrivals and request kinds", 1, "number");
  Option<std::string> workload(line, "workload", "JSON file with the request kinds", "", "path");
  Option<std::string> report(line, "report", "Where the JSON report goes; standard output if not given", "",
                             "path");
  TCLAP::SwitchArg list_requests("", "list-requests", "List each request in the report", line);
  line.parse(argc, argv);

  ProgramOptions options;
  for (const auto& server : servers.getValue()) {
    options.caller.servers.push_back(cometstand::rehearsal::parseEndpoint(server));
  }
  options.caller.name = *name;
  options.caller.rate = *rate;
  options.caller.duration = cometstand::rehearsal::fromMilliseconds(*duration);
  options.caller.seed = *seed;
  options.workload = readWorkload(*workload);
  options.report_file = *report;
  options.list_requests = list_requests.getValue();
  return options;
}

void run(const ProgramOptions& options) {
  boost::asio::io_context io(1);
  cometstand::rehearsal::Caller caller(io, options.caller, options.workload);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&caller](boost::system::error_code error, int) {
    if (!error) caller.stop();
  });
  caller.whenDone([&signals] { signals.cancel(); });
  caller.start();
  io.run();
  const std::string report = json::serialize(caller.report().toJson(options.list_requests));
  if (options.report_file.empty()) {
    std::cout << report << '\n';
  } else {
    std::ofstream(options.report_file) << report << '\n';
  }
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
