// cometstand-memory-store: stands in for the store where relays and proxies are measured alone.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "rehearsal/scale/events.h"
#include "rehearsal/scale/memory_store.h"
#include "rehearsal/standin/program_options.h"
#include "runtime/process_runner.h"

namespace {

void run(const cometstand::runtime::Address& address) {
  boost::asio::io_context io(1);
  cometstand::rehearsal::MemoryStore store;
  cometstand::runtime::ProcessRunner runner(io, store, {address, {}, nullptr});
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&runner](boost::system::error_code error, int) {
    if (!error) runner.beginStop();
  });
  runner.start();
  io.run();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Stand-in for the store, without disk and replicas.", ' ',
                        cometstand::rehearsal::kKitVersion);
    cometstand::rehearsal::Option<std::string> host(line, "host", "IP address to listen on", "127.0.0.1",
                                                    "ip");
    cometstand::rehearsal::Option<std::uint16_t> port(line, "port", "Port to listen on", 0, "port");
    line.parse(argc, argv);
    cometstand::setLogLevel(cometstand::LogLevel::Error);
    run({*host, *port});
    return 0;
  } catch (const std::exception& error) {
    cometstand::logEvent(cometstand::rehearsal::kScaleFailed, {{"reason", error.what()}});
    return 1;
  }
}
