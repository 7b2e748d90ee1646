#pragma once

#include <optional>
#include <string>

#include "operator/command.h"
#include "store/command_forwarder.h"
#include "store/evacuation_service.h"
#include "store/in_force_waits.h"
#include "store/log_writer.h"
#include "store/quarantine_controller.h"
#include "store/queries.h"
#include "store/reader_hub.h"
#include "store/replica_admin.h"
#include "store/status_collector.h"
#include "store/store_context.h"

namespace cometstand::store {

/// The components of a replica that execute commands. All references outlive the CommandService.
struct CommandDependencies {
  ReaderHub& readers;
  LogWriter& writer;
  StatusCollector& statuses;
  InForceWaits& waits;
  ReplicaAdmin& replicas;
  CommandForwarder& forwarder;
  QuarantineController& quarantine;
  EvacuationService& evacuations;
};

/// Handles operators' commands: parses them and forwards them to the leader, which authenticates the operator
/// and executes the command. The state machine checks a change again at its log position. For every other
/// command, and for a failed authentication, the leader replies only after a quorum has confirmed its
/// leadership since the command arrived.
class CommandService {
 public:
  CommandService(StoreContext& context, CommandDependencies dependencies)
      : context_(context), dependencies_(dependencies) {}

  void onCommand(const Requester& requester, const wire::CommandRequestT& request, TimePoint now);
  void beginStop() { stopping_ = true; }

 private:
  /// An authenticated operator.
  struct Identity {
    Scope scope;
    /// Catalog version of the credential; 0 for the bootstrap credential.
    std::uint64_t credential_version = 0;
  };
  struct Command {
    wire::CommandRequestT request;
    command::Command parsed;
  };

  /// Execution of one command on a leader that a quorum has confirmed.
  struct ExecutionContext {
    Requester requester;
    Identity identity;
    TimePoint now;
  };

  void processOnLeader(const Requester& requester, std::shared_ptr<const Command> command, TimePoint now);
  void addChange(const Requester& requester, const Command& command, const Identity& identity, TimePoint now);
  std::optional<Identity> authenticate(const wire::CommandRequestT& request) const;
  Duration forwardTimeLimit(const command::Command& command) const;

  // One overload for each type of command, defined in command_execution.cpp.
  void execute(const ExecutionContext& execution, const command::ShowVersion& query);
  void execute(const ExecutionContext& execution, const command::ShowProxies& query);
  void execute(const ExecutionContext& execution, const command::ShowRoute& query);
  void execute(const ExecutionContext& execution, const command::ShowRoutes& query);
  void execute(const ExecutionContext& execution, const command::ShowServices& query);
  void execute(const ExecutionContext& execution, const command::ShowEndpoints& query);
  void execute(const ExecutionContext& execution, const command::ShowChanges& query);
  void execute(const ExecutionContext& execution, const command::ShowNodes& query);
  void execute(const ExecutionContext& execution, const command::ShowTenants& query);
  void execute(const ExecutionContext& execution, const command::ShowSecrets& query);
  void execute(const ExecutionContext& execution, const command::ShowReplicas& query);
  void execute(const ExecutionContext& execution, const command::ShowQuarantine& query);
  void execute(const ExecutionContext& execution, const command::WaitInForce& query);
  void execute(const ExecutionContext& execution, const command::DrainEndpoint& order);
  void execute(const ExecutionContext& execution, const command::StopProxy& order);
  void execute(const ExecutionContext& execution, const command::StopRelay& order);
  void execute(const ExecutionContext& execution, const command::TransferLeader& order);
  void execute(const ExecutionContext& execution, const command::AddReplica& order);
  void execute(const ExecutionContext& execution, const command::ReplaceReplica& order);
  void execute(const ExecutionContext& execution, const command::RemoveReplica& order);
  void execute(const ExecutionContext& execution, const command::ReleaseContent& order);
  void execute(const ExecutionContext& execution, const command::ShowEvacuations& query);
  void execute(const ExecutionContext& execution, const command::EvacuateZone& order);
  /// @throw Error(Forbidden)
  static void requireAdministrator(const ExecutionContext& execution);
  /// @throw Error(Unavailable) if no relay is connected.
  void sendStopOrder(const ExecutionContext& execution, const wire::StopOrderT& order);

  StoreContext& context_;
  CommandDependencies dependencies_;
  bool stopping_ = false;
};

}  // namespace cometstand::store
