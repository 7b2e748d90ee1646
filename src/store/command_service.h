#pragma once

#include <optional>
#include <string>

#include "operator/command.h"
#include "store/command_forwarder.h"
#include "store/evacuation_service.h"
#include "store/in_force_waits.h"
#include "store/log_writer.h"
#include "store/quarantine_keeper.h"
#include "store/queries.h"
#include "store/reader_hub.h"
#include "store/replica_admin.h"
#include "store/status_collector.h"
#include "store/store_context.h"

namespace cometstand::store {

/// The parts that carry commands out.
struct CommandParts {
  ReaderHub& readers;
  LogWriter& writer;
  StatusCollector& statuses;
  InForceWaits& waits;
  ReplicaAdmin& replicas;
  CommandForwarder& forwarder;
  QuarantineKeeper& quarantine;
  EvacuationService& evacuations;
};

/// Takes operators' commands: parses them, passes them on to the leader, and there checks the credential and
/// carries them out. A change is checked again at its place in the log. Everything else, refusals included,
/// is answered only after a quorum confirmed this leader since the command came.
class CommandService {
 public:
  CommandService(StoreContext& context, CommandParts parts) : context_(context), parts_(parts) {}

  void onCommand(const Asker& asker, const wire::CommandRequestT& request, TimePoint now);
  void beginStop() { stopping_ = true; }

 private:
  /// A credential that was checked.
  struct Identity {
    Scope scope;
    /// 0 for the bootstrap credential.
    std::uint64_t credential_version = 0;
  };
  struct Command {
    wire::CommandRequestT request;
    command::Command parsed;
  };

  /// A command that a quorum-confirmed leader carries out.
  struct Call {
    Asker asker;
    Identity identity;
    TimePoint now;
  };

  void lead(const Asker& asker, std::shared_ptr<const Command> command, TimePoint now);
  void addChange(const Asker& asker, const Command& command, const Identity& identity, TimePoint now);
  std::optional<Identity> authenticate(const wire::CommandRequestT& request) const;
  Duration forwardLimit(const command::Command& command) const;

  // command_execution.cpp: one overload a command.
  void run(const Call& call, const command::ShowVersion& query);
  void run(const Call& call, const command::ShowProxies& query);
  void run(const Call& call, const command::ShowRoute& query);
  void run(const Call& call, const command::ShowRoutes& query);
  void run(const Call& call, const command::ShowServices& query);
  void run(const Call& call, const command::ShowEndpoints& query);
  void run(const Call& call, const command::ShowChanges& query);
  void run(const Call& call, const command::ShowNodes& query);
  void run(const Call& call, const command::ShowTenants& query);
  void run(const Call& call, const command::ShowSecrets& query);
  void run(const Call& call, const command::ShowReplicas& query);
  void run(const Call& call, const command::ShowQuarantine& query);
  void run(const Call& call, const command::WaitInForce& query);
  void run(const Call& call, const command::DrainEndpoint& order);
  void run(const Call& call, const command::StopProxy& order);
  void run(const Call& call, const command::StopRelay& order);
  void run(const Call& call, const command::TransferLeader& order);
  void run(const Call& call, const command::AddReplica& order);
  void run(const Call& call, const command::ReplaceReplica& order);
  void run(const Call& call, const command::RemoveReplica& order);
  void run(const Call& call, const command::ReleaseContent& order);
  void run(const Call& call, const command::ShowEvacuations& query);
  void run(const Call& call, const command::EvacuateZone& order);
  /// @throw Error(Forbidden)
  static void requireAdministrator(const Call& call);
  /// @throw Error(Unavailable) if there is no reader.
  void sendStopOrder(const Call& call, const wire::StopOrderT& order);

  StoreContext& context_;
  CommandParts parts_;
  bool stopping_ = false;
};

}  // namespace cometstand::store
