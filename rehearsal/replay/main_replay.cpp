// cometstand-replay: plays recorded traces and compares what comes of them with the stated outcomes.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iterator>

#include "base/error.h"
#include "base/event_log.h"
#include "rehearsal/replay/replayer.h"

namespace {

using namespace cometstand;

constexpr int kExitDiffers = 1;
constexpr int kExitBadArguments = 2;

std::string readFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    throw Error(ErrorKind::InputOutput, fmt::format("cannot read {}", path), "name a trace that exists");
  }
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

/// @return true if every outcome is as stated.
bool playFile(const std::string& path) {
  const auto differences = replay::Replayer(replay::parseTrace(readFile(path))).run();
  for (const auto& each : differences) {
    if (each.line != 0) {
      fmt::print("{}:{}: {}\n", path, each.line, each.text);
    } else {
      fmt::print("{}: {}\n", path, each.text);
    }
  }
  if (differences.empty()) fmt::print("{}: as stated\n", path);
  return differences.empty();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Replays traces against a simulated fleet and prints each outcome that differs.", ' ',
                        "0.1.0");
    TCLAP::UnlabeledMultiArg<std::string> traces("trace", "Files of JSON lines", true, "TRACE", line);
    TCLAP::ValueArg<unsigned> log("", "log", "Log level: 0 debug to 3 errors", false, 3, "LEVEL", line);
    line.parse(argc, argv);
    setLogLevel(static_cast<LogLevel>(std::min(log.getValue(), 3U)));
    bool as_stated = true;
    for (const auto& path : traces.getValue()) as_stated = playFile(path) && as_stated;
    return as_stated ? 0 : kExitDiffers;
  } catch (const Error& error) {
    fmt::print(stderr, "{}: {}\n", error.what(), error.remedy());
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
  }
  return kExitBadArguments;
}
