#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/scale/child_process.h"
#include "rehearsal/scale/command_client.h"
#include "rehearsal/scale/port_reservation.h"
#include "rehearsal/scale/scale_options.h"

namespace cometstand::rehearsal {

/// What all hollow processes answered to `status` together.
struct HollowStatus {
  std::uint64_t connected = 0;
  std::uint64_t ready = 0;
  std::uint64_t recovering = 0;
  std::uint64_t lowest_as_of = 0;
};

/// The processes of one scale run.
class ScaleFleet {
 public:
  explicit ScaleFleet(const ScaleOptions& options);
  ~ScaleFleet();

  ScaleFleet(const ScaleFleet&) = delete;
  ScaleFleet& operator=(const ScaleFleet&) = delete;

  /// Starts stores, relays and hollow processes; the hollow proxies wait for the command `start`.
  void start();

  /// @return ports of all hollow back ends, in the order of the targets that they stand for.
  const std::vector<std::uint16_t>& backendPorts() const { return backend_ports_; }

  const std::vector<runtime::Address>& stores() const { return stores_; }
  CommandClient makeClient() const;

  /// Starts the proxies that are processes of the product.
  void startRealProxies();

  /// Gives one command to all hollow processes. @return their answers.
  std::vector<boost::json::object> askAll(const std::string& line);
  /// Gives one command to one hollow process.
  boost::json::object ask(std::size_t process, const std::string& line);
  std::size_t hollowProcesses() const { return hollow_.size(); }
  HollowStatus status();

  const std::vector<std::unique_ptr<ChildProcess>>& controlProcesses() const { return control_; }
  const std::vector<std::unique_ptr<ChildProcess>>& hollow() const { return hollow_; }

 private:
  void startStores();
  void startRelays();
  void startHollow();
  std::string program(const char* name) const;
  std::string logOf(const std::string& name) const;
  std::string writeFile(const std::string& name, const std::string& text) const;
  std::string storeSettings(std::size_t index) const;
  std::string relaySettings(std::size_t index) const;
  std::string proxySettings(std::size_t node);

  const ScaleOptions& options_;
  std::filesystem::path folder_;
  bool remove_folder_ = false;
  PortReservation ports_;
  std::vector<runtime::Address> stores_;
  std::vector<runtime::Address> relays_;
  std::vector<std::uint16_t> backend_ports_;
  std::vector<std::unique_ptr<ChildProcess>> control_;
  std::vector<std::unique_ptr<ChildProcess>> hollow_;
};

}  // namespace cometstand::rehearsal
