#include "store/command_service.h"

#include <fmt/format.h>

#include <memory>
#include <type_traits>
#include <utility>

#include "base/error.h"
#include "config/object_digest.h"
#include "config/object_key.h"
#include "config/token.h"
#include "store/replies.h"
#include "store/request_id.h"

namespace cometstand::store {
void CommandService::onCommand(const Asker& asker, const wire::CommandRequestT& request, TimePoint now) {
  try {
    if (stopping_) {
      throw Error(ErrorKind::Stopping, "this replica is stopping", "send the command to another replica",
                  context_.options.retry_after);
    }
    auto command = std::make_shared<Command>(Command{request, command::parseCommand(request.text)});
    const bool is_change = std::holds_alternative<command::Change>(command->parsed);
    if (is_change && !requestTime(request.request_id)) {
      throw Error(ErrorKind::Invalid, "the request identifier is not of the form TIME-REST",
                  "begin it with the time in milliseconds since 1970 and a hyphen, such as "
                  "1767225600000-5f3a, and keep it for resends");
    }
    if (context_.isLeader()) {
      lead(asker, std::move(command), now);
    } else if (request.forwarded) {
      throw Error(ErrorKind::Unavailable, "this replica does not lead", "send the command again",
                  context_.options.retry_after);
    } else {
      parts_.forwarder.forward(asker, request, !command::isQuery(command->parsed),
                               forwardLimit(command->parsed), now);
    }
  } catch (const Error& error) {
    sendReply(context_, asker, notRun<wire::CommandReplyT>(error));
  }
}

Duration CommandService::forwardLimit(const command::Command& command) const {
  const auto& options = context_.options;
  Duration limit = options.command_time_limit + options.status_time_limit;
  if (const auto* wait = std::get_if<command::WaitInForce>(&command)) {
    limit += std::min(wait->timeout, options.max_wait);
  } else if (std::holds_alternative<command::ReplaceReplica>(command)) {
    limit += options.repair_time_limit;
  }
  return limit;
}

void CommandService::lead(const Asker& asker, std::shared_ptr<const Command> command, TimePoint now) {
  if (std::holds_alternative<command::Change>(command->parsed)) {
    // The log confirms the quorum, and the state machine checks the credential again at the log position.
    if (const auto identity = authenticate(command->request)) {
      addChange(asker, *command, *identity, now);
      return;
    }
  }
  context_.reads.ask(
      [this, asker, command = std::move(command)](bool confirmed, TimePoint confirmed_at) {
        try {
          if (!confirmed) {
            throw Error(ErrorKind::Unavailable, "this replica is not known to lead", "send the command again",
                        context_.options.retry_after);
          }
          const auto identity = authenticate(command->request);
          if (!identity) {
            throw Error(ErrorKind::Unauthenticated, "tenant, operator name or token is wrong",
                        "check the three, or ask an administrator for a new credential");
          }
          carryOut(asker, *command, *identity, confirmed_at);
        } catch (const Error& error) {
          sendReply(context_, asker, notRun<wire::CommandReplyT>(error));
        }
      },
      now);
}

std::optional<CommandService::Identity> CommandService::authenticate(
    const wire::CommandRequestT& request) const {
  const auto key = config::makeKey(wire::ObjectKind::Credential, request.tenant, request.operator_name);
  if (const auto object = context_.state.catalog().find(key)) {
    const auto* credential = object->spec.AsCredentialSpec();
    if (!config::verifyToken(credential->salt, credential->token_hash, request.token)) return std::nullopt;
    return Identity{{request.tenant, credential->administrator}, context_.state.catalog().versionOf(key)};
  }
  const auto& options = context_.options;
  const bool is_bootstrap =
      request.tenant == config::kMeshTenant && request.operator_name == kBootstrapOperator;
  if (!is_bootstrap || options.bootstrap_token_hash.empty()) return std::nullopt;
  if (!config::verifyToken(options.bootstrap_salt, options.bootstrap_token_hash, request.token))
    return std::nullopt;
  return Identity{{request.tenant, true}, 0};
}

void CommandService::addChange(const Asker& asker, const Command& command, const Identity& identity,
                               TimePoint now) {
  const auto& request = command.request;
  wire::ChangeCommandT change;
  change.request_id = request.request_id;
  change.tenant = request.tenant;
  change.operator_name = request.operator_name;
  change.credential_version = identity.credential_version;
  change.text_digest = std::make_shared<wire::Digest>(config::textDigest(request.text));
  change.transaction = std::make_shared<wire::TransactionT>(
      command::toTransaction(std::get<command::Change>(command.parsed), request.tenant));
  wire::StoreCommandT logged;
  logged.body.Set(std::move(change));
  parts_.writer.add(asker, std::move(logged), request.text.size(), now);
}

void CommandService::carryOut(const Asker& asker, const Command& command, const Identity& identity,
                              TimePoint now) {
  if (std::holds_alternative<command::Change>(command.parsed)) {
    addChange(asker, command, identity, now);
    return;
  }
  std::visit([&](const auto& one) { run(one, asker, identity, now); }, command.parsed);
}

void CommandService::requireAdministrator(const Identity& identity) const {
  if (identity.scope.administrator) return;
  throw Error(ErrorKind::Forbidden, "only an administrator of the mesh may do that",
              "ask an administrator of the mesh");
}

void CommandService::requireNode(const std::string& node) const {
  const auto key = config::makeKey(wire::ObjectKind::Node, "", node);
  if (context_.state.catalog().find(key) != nullptr) return;
  throw Error(ErrorKind::NotFound, fmt::format("{} does not exist", config::formatKey(key)),
              "check the name");
}

void CommandService::sendStopOrder(const Asker& asker, const wire::StopOrderT& order) {
  const auto links = parts_.readers.links();
  if (links.empty()) {
    throw Error(ErrorKind::Unavailable, "no relay reads from the store",
                "send the command again once one does", context_.options.retry_after);
  }
  for (const auto link : links) context_.actions.send(link, order, 0);
  sendReply(context_, asker,
            makeTable(context_.state.catalog().version(), {"order", "name", "relays_told"},
                      {{wire::EnumNameStopKind(order.kind), order.name, std::to_string(links.size())}}));
}

template <typename Query>
void CommandService::run(const Query& query, const Asker& asker, const Identity& identity, TimePoint now) {
  const auto& state = context_.state;
  const Scope& scope = identity.scope;
  using namespace command;
  if constexpr (std::is_same_v<Query, ShowVersion>) {
    sendReply(context_, asker, showVersion(state));
  } else if constexpr (std::is_same_v<Query, ShowRoute>) {
    sendReply(context_, asker, showRoute(state, scope, query));
  } else if constexpr (std::is_same_v<Query, ShowRoutes>) {
    sendReply(context_, asker, showRoutes(state, scope));
  } else if constexpr (std::is_same_v<Query, ShowServices>) {
    sendReply(context_, asker, showServices(state, scope));
  } else if constexpr (std::is_same_v<Query, ShowNodes>) {
    sendReply(context_, asker, showNodes(state, scope));
  } else if constexpr (std::is_same_v<Query, ShowTenants>) {
    sendReply(context_, asker, showTenants(state, scope));
  } else if constexpr (std::is_same_v<Query, ShowSecrets>) {
    sendReply(context_, asker, showSecrets(state, scope));
  } else if constexpr (std::is_same_v<Query, ShowChanges>) {
    sendReply(context_, asker, showChanges(state, scope, query));
  } else if constexpr (std::is_same_v<Query, ShowProxies>) {
    parts_.statuses.begin(
        asker, parts_.readers.links(),
        [&state, scope, query](const wire::StatusReplyT& status) {
          return showProxies(state, scope, query, status);
        },
        now);
  } else if constexpr (std::is_same_v<Query, ShowEndpoints>) {
    parts_.statuses.begin(
        asker, parts_.readers.links(),
        [&state, scope, query](const wire::StatusReplyT& status) {
          return showEndpoints(state, scope, query, status);
        },
        now);
  } else if constexpr (std::is_same_v<Query, ShowReplicas>) {
    sendReply(context_, asker, parts_.replicas.showReplicas());
  } else if constexpr (std::is_same_v<Query, WaitInForce>) {
    parts_.waits.add(asker, query.version, query.timeout, now);
  } else if constexpr (std::is_same_v<Query, DrainEndpoint>) {
    const std::string tenant = query.service.tenant.empty() ? scope.tenant : query.service.tenant;
    // Answers like showEndpoints() if the service is not there or not the operator's.
    const auto endpoints = showEndpoints(state, scope, {query.service}, {});
    const bool is_known = std::any_of(endpoints.rows.begin(), endpoints.rows.end(),
                                      [&](const auto& row) { return row->cells.front() == query.endpoint; });
    if (!is_known) {
      throw Error(ErrorKind::NotFound,
                  fmt::format("service {} has no endpoint {}", query.service.name, query.endpoint),
                  "see show endpoints");
    }
    wire::StopOrderT order;
    order.kind = wire::StopKind::Endpoint;
    order.tenant = tenant;
    order.name = query.service.name;
    order.endpoint = query.endpoint;
    sendStopOrder(asker, order);
  } else if constexpr (std::is_same_v<Query, Change>) {
    // Carried out through the log.
  } else {
    requireAdministrator(identity);
    if constexpr (std::is_same_v<Query, StopProxy>) {
      requireNode(query.node);
      wire::StopOrderT order;
      order.kind = wire::StopKind::Proxy;
      order.name = query.node;
      sendStopOrder(asker, order);
    } else if constexpr (std::is_same_v<Query, StopRelay>) {
      wire::StopOrderT order;
      order.kind = wire::StopKind::Relay;
      order.name = query.relay;
      sendStopOrder(asker, order);
    } else if constexpr (std::is_same_v<Query, TransferLeader>) {
      parts_.replicas.transferLeader(asker, query.replica, now);
    } else if constexpr (std::is_same_v<Query, AddReplica>) {
      parts_.replicas.addReplica(asker, query.replica, now);
    } else if constexpr (std::is_same_v<Query, ReplaceReplica>) {
      parts_.replicas.replaceReplica(asker, query.old_id, query.new_id, now);
    } else if constexpr (std::is_same_v<Query, RemoveReplica>) {
      parts_.replicas.removeReplica(asker, query.id, now);
    }
  }
}

}  // namespace cometstand::store
