#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/fleet/child_process.h"
#include "rehearsal/standin/caller_report.h"
#include "rehearsal/standin/workload.h"

namespace cometstand::rehearsal {

struct LoadOptions {
  /// Starts each request identifier; unique among all loads of a fleet.
  std::string name;
  std::filesystem::path caller_program;
  /// Where the workload, the log and the report go.
  std::filesystem::path folder;
  std::vector<boost::asio::ip::tcp::endpoint> proxies;
  Workload workload;
  /// Arrivals a second.
  double rate = 100;
  std::uint64_t seed = 1;
};

/// A running caller stand-in (open loop) that goes on until it is finished.
class Load {
 public:
  /// Starts the caller.
  explicit Load(const LoadOptions& options);

  /// Ends the arrivals, waits for every request's outcome and reads the report.
  /// @throw Error(Timeout) if requests stay without an outcome.
  std::vector<CallRecord> finish();

 private:
  LoadOptions options_;
  std::filesystem::path report_file_;
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace cometstand::rehearsal
