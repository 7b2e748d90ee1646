#pragma once

#include <optional>
#include <string>

#include "operator/command.h"
#include "store/command_forwarder.h"
#include "store/in_force_waits.h"
#include "store/log_writer.h"
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

  void lead(const Asker& asker, std::shared_ptr<const Command> command, TimePoint now);
  void carryOut(const Asker& asker, const Command& command, const Identity& identity, TimePoint now);
  void addChange(const Asker& asker, const Command& command, const Identity& identity, TimePoint now);
  std::optional<Identity> authenticate(const wire::CommandRequestT& request) const;
  Duration forwardLimit(const command::Command& command) const;
  void requireAdministrator(const Identity& identity) const;
  void requireNode(const std::string& node) const;
  void sendStopOrder(const Asker& asker, const wire::StopOrderT& order);

  template <typename Query>
  void run(const Query& query, const Asker& asker, const Identity& identity, TimePoint now);

  StoreContext& context_;
  CommandParts parts_;
  bool stopping_ = false;
};

}  // namespace cometstand::store
