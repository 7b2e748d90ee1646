#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/certificates/certificate_maker.h"
#include "rehearsal/fleet/configuration_text.h"
#include "rehearsal/fleet/deployment.h"
#include "rehearsal/fleet/load.h"
#include "rehearsal/fleet/member.h"
#include "rehearsal/fleet/operator_console.h"
#include "rehearsal/fleet/settings_text.h"
#include "rehearsal/standin/execution_record.h"

namespace cometstand::rehearsal {

struct FleetOptions {
  Deployment deployment;
  /// For settings, data folders, logs and reports; made anew.
  std::filesystem::path folder;
  /// Where the programs stand, such as build/bin.
  std::filesystem::path programs;
  unsigned stores = 3;
  unsigned proxies_per_zone = 2;
  /// How long a leaving back end goes on before it ends.
  Duration backend_linger = std::chrono::seconds(3);
};

/// A whole fleet of one deployment as real processes on loopback, over mutual TLS. It owns them: when it
/// goes, they are killed. Not thread-safe; use it from the thread that made it.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);

  /// Starts everything, gives it the first configuration, and waits until that is in force on every proxy and
  /// every proxy serves.
  void start();

  const FleetOptions& options() const { return options_; }
  const Deployment& deployment() const { return options_.deployment; }

  std::vector<Member*> members(MemberRole role);
  std::vector<const Member*> members(MemberRole role) const;
  Member& member(const std::string& name);

  /// Starts a member's process, with its data folder as it is.
  void startMember(Member& member);
  /// @return a store replica that is no voter yet: it has a new identifier and an empty data folder.
  Member& addStore(std::uint64_t id);

  /// @return the leader, once a quorum confirms one.
  Member& waitForLeader();
  /// Waits until the leader hears from the replica.
  void waitForReplica(const Member& store);
  /// @return the identifier of a store member.
  std::uint64_t storeId(const Member& store) const;

  /// @return a console of the administrator, of the tenant's first operator, or of its rival.
  OperatorConsole administrator() { return console(bootstrap_); }
  OperatorConsole tenantOperator() { return console(operators_[0]); }
  OperatorConsole otherOperator() { return console(operators_[1]); }

  /// Starts a caller that spreads the requests of all routes over all proxies.
  Load startLoad(const std::string& name, double rate);
  Load startLoad(const std::string& name, double rate, const Workload& workload);

  /// @return true if the proxy answers a GET for the path with `completed`.
  bool serves(const Member& proxy, const std::string& path) const;

  /// @return what all back ends ran, those that were stopped included.
  ExecutionRecord executed() const;

  /// @return names of members whose log has the text.
  std::vector<std::string> logsWith(const std::string& text) const;

  std::filesystem::path executedFile(const Member& backend) const;

 private:
  void plan();
  void add(MemberRole role, const std::string& name, const std::string& zone, const std::string& program,
           const std::string& service = "");
  void makeCertificates();
  MemberTls tlsOf(const std::string& name) const;
  void writeSettings();
  void writeStoreSettings(const Member& store, std::uint64_t id);
  std::vector<std::string> backendArguments(const Member& backend) const;
  OperatorConsole console(const OperatorIdentity& identity) const;
  void configure();
  void waitUntilServing();

  FleetOptions options_;
  FleetFolder folder_;
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<StoreReplica> first_voters_;
  std::vector<StoreReplica> replicas_;
  OperatorIdentity bootstrap_;
  std::vector<OperatorIdentity> operators_;
  BootstrapCredential bootstrap_credential_;
  std::unique_ptr<certificates::CertificateMaker> certificates_;
  std::map<std::string, std::unique_ptr<boost::asio::ssl::context>> operator_tls_;
};

/// @return the folder of the running program, where the other programs stand too.
std::filesystem::path ownProgramFolder();

}  // namespace cometstand::rehearsal
