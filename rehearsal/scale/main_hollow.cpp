// cometstand-hollow: many hollow proxies and back ends in one process, driven by a scale run over standard
// input and output. The process ends when its standard input does.
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <istream>

#include "base/error.h"
#include "rehearsal/scale/events.h"
#include "rehearsal/scale/hollow_host.h"
#include "rehearsal/standin/program_options.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace rehearsal = cometstand::rehearsal;

void printLine(const json::value& value) {
  const auto line = json::serialize(value) + "\n";
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

/// @return the relays that the file names, one "ZONE ADDRESS PORT" a line.
std::vector<cometstand::proxy::RelayAddress> readRelays(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw cometstand::Error(cometstand::ErrorKind::InputOutput, "cannot read " + path,
                            "name a file that lists the relays");
  }
  std::vector<cometstand::proxy::RelayAddress> relays;
  cometstand::proxy::RelayAddress relay;
  while (file >> relay.zone >> relay.address.host >> relay.address.port) relays.push_back(relay);
  return relays;
}

/// Reads commands until the input ends, and answers each.
class CommandReader {
 public:
  CommandReader(asio::io_context& io, rehearsal::HollowHost& host)
      : io_(io), host_(host), input_(io, ::dup(STDIN_FILENO)) {}

  void readNext() {
    asio::async_read_until(input_, buffer_, '\n', [this](boost::system::error_code error, std::size_t) {
      if (error) {
        io_.stop();
        return;
      }
      std::istream stream(&buffer_);
      std::string line;
      std::getline(stream, line);
      printLine(host_.execute(line));
      readNext();
    });
  }

 private:
  asio::io_context& io_;
  rehearsal::HollowHost& host_;
  asio::posix::stream_descriptor input_;
  asio::streambuf buffer_;
};

void run(const rehearsal::HollowHostOptions& options) {
  asio::io_context io(1);
  rehearsal::HollowHost host(io, options);
  json::array ports;
  for (const auto port : host.backendPorts()) ports.push_back(port);
  printLine(json::object{{"backend_ports", ports}});
  CommandReader reader(io, host);
  reader.readNext();
  io.run();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Hollow proxies and back ends of a scale run.", ' ', rehearsal::kKitVersion);
    rehearsal::Option<std::size_t> first(line, "first", "Number of the first proxy", 0, "number");
    rehearsal::Option<std::size_t> count(line, "count", "Proxies", 1, "number");
    rehearsal::Option<std::size_t> zones(line, "zones", "Zones of the mesh", 1, "number");
    rehearsal::Option<std::size_t> backends(line, "backends", "Back ends", 1, "number");
    rehearsal::Option<std::string> relays(line, "relays", "File that lists the relays", "", "file");
    rehearsal::Option<std::uint64_t> seed(line, "seed", "Seed of pauses and choices", 1, "number");
    line.parse(argc, argv);
    cometstand::setLogLevel(cometstand::LogLevel::Error);
    run({*first, *count, *zones, *backends, readRelays(*relays), *seed});
    return 0;
  } catch (const std::exception& error) {
    cometstand::logEvent(rehearsal::kScaleFailed, {{"reason", error.what()}});
    return 1;
  }
}
