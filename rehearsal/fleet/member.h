#pragma once

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/fleet/child_process.h"
#include "rehearsal/fleet/reserved_port.h"

namespace cometstand::rehearsal {

enum class MemberRole : std::uint8_t { Store, Relay, Proxy, Backend, MachineList };

/// What never changes about a member.
struct MemberPlan {
  MemberRole role = MemberRole::Proxy;
  /// Unique in the fleet; also the name of its files.
  std::string name;
  std::string zone;
  /// For a back end: the service that it is a target of.
  std::string service;
  std::filesystem::path program;
};

/// The fleet's folder, which holds a settings file, a log and a data folder for each member.
struct FleetFolder {
  std::filesystem::path path;

  std::filesystem::path settingsFile(const std::string& name) const { return path / (name + ".toml"); }
  std::filesystem::path logFile(const std::string& name) const { return path / (name + ".log"); }
  std::filesystem::path dataFolder(const std::string& name) const { return path / (name + ".data"); }
};

/// One process of a fleet over all its runs: its name, ports and files stay the same.
class Member {
 public:
  Member(boost::asio::io_context& io, const FleetFolder& folder, MemberPlan plan);

  const MemberPlan& plan() const { return plan_; }
  const std::string& name() const { return plan_.name; }
  const std::string& zone() const { return plan_.zone; }

  /// Where it takes links from other processes; a stand-in's HTTP address.
  const ReservedPort& port() const { return port_; }
  /// Metrics and health.
  const ReservedPort& adminPort() const { return admin_port_; }
  /// Where a proxy takes callers' requests.
  const ReservedPort& callerPort() const { return caller_port_; }
  std::filesystem::path dataFolder() const { return folder_.dataFolder(name()); }
  std::filesystem::path settingsFile() const { return folder_.settingsFile(name()); }
  std::filesystem::path logFile() const { return folder_.logFile(name()); }

  /// Writes the settings file and starts the process with it.
  void writeSettings(const std::string& text) const;
  /// @param arguments in place of, or beside, the settings file.
  void start(const std::vector<std::string>& arguments);
  bool running() { return process_ && process_->running(); }

  /// SIGKILL.
  void kill();
  /// SIGTERM, then waits for the end.
  /// @throw Error(Timeout) if the process does not end.
  ProcessEnd stop();
  /// SIGTERM alone.
  void beginStop();
  ProcessEnd waitForEnd();
  /// SIGSTOP: the process is frozen as by a long pause of its machine.
  void freeze();
  void thaw();
  /// Removes the data folder with all it holds. The process must not run.
  void removeData() const;

  /// @return true if the admin address answers /ready with 200.
  bool ready();
  std::string logText() const;

 private:
  MemberPlan plan_;
  FleetFolder folder_;
  ReservedPort port_;
  ReservedPort admin_port_;
  ReservedPort caller_port_;
  std::unique_ptr<ChildProcess> process_;
};

/// @return the whole text of a file; empty if there is none.
std::string readTextFile(const std::filesystem::path& path);

/// @throw Error(InputOutput) if the file cannot be written.
void writeTextFile(const std::filesystem::path& path, const std::string& text);

}  // namespace cometstand::rehearsal
