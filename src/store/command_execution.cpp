// Member functions of CommandService that execute each type of command.
#include <fmt/format.h>

#include <algorithm>

#include "base/error.h"
#include "config/object_key.h"
#include "store/command_service.h"
#include "store/evacuation_commands.h"

namespace cometstand::store {

void CommandService::execute(const ExecutionContext& execution, const command::ShowVersion& /*query*/) {
  sendReply(context_, execution.requester, showVersion(context_.state));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowRoute& query) {
  sendReply(context_, execution.requester, showRoute(context_.state, execution.identity.scope, query));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowRoutes& /*query*/) {
  sendReply(context_, execution.requester, showRoutes(context_.state, execution.identity.scope));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowServices& /*query*/) {
  sendReply(context_, execution.requester, showServices(context_.state, execution.identity.scope));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowNodes& /*query*/) {
  sendReply(context_, execution.requester, showNodes(context_.state, execution.identity.scope));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowTenants& /*query*/) {
  sendReply(context_, execution.requester, showTenants(context_.state, execution.identity.scope));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowSecrets& /*query*/) {
  sendReply(context_, execution.requester, showSecrets(context_.state, execution.identity.scope));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowChanges& query) {
  sendReply(context_, execution.requester, showChanges(context_.state, execution.identity.scope, query));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowReplicas& /*query*/) {
  sendReply(context_, execution.requester, dependencies_.replicas.showReplicas());
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowQuarantine& /*query*/) {
  requireAdministrator(execution);
  sendReply(context_, execution.requester, showQuarantine(context_.state));
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowProxies& query) {
  const auto render = [&state = context_.state, scope = execution.identity.scope,
                       query](const wire::StatusReplyT& status) {
    return showProxies(state, scope, query, status);
  };
  dependencies_.statuses.begin(execution.requester, dependencies_.readers.links(), wire::StatusRequestT(),
                               render, execution.now);
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowEndpoints& query) {
  const auto render = [&state = context_.state, scope = execution.identity.scope,
                       query](const wire::StatusReplyT& status) {
    return showEndpoints(state, scope, query, status);
  };
  wire::StatusRequestT request;
  request.proxies = false;
  request.tenant = query.service.tenant.empty() ? execution.identity.scope.tenant : query.service.tenant;
  request.service = query.service.name;
  dependencies_.statuses.begin(execution.requester, dependencies_.readers.links(), request, render,
                               execution.now);
}

void CommandService::execute(const ExecutionContext& execution, const command::WaitInForce& query) {
  dependencies_.waits.add(execution.requester, query.version, query.timeout, execution.now);
}

void CommandService::requireAdministrator(const ExecutionContext& execution) {
  if (execution.identity.scope.administrator) return;
  throw Error(ErrorKind::Forbidden, "only an administrator of the mesh may do that",
              "ask an administrator of the mesh");
}

void CommandService::sendStopOrder(const ExecutionContext& execution, const wire::StopOrderT& order) {
  const auto links = dependencies_.readers.links();
  if (links.empty()) {
    throw Error(ErrorKind::Unavailable, "no relay reads from the store",
                "send the command again once one does", context_.options.retry_after);
  }
  for (const auto link : links) context_.actions.send(link, order, 0);
  sendReply(context_, execution.requester,
            makeTable(context_.state.catalog().version(), {"order", "name", "relays_told"},
                      {{wire::EnumNameStopKind(order.kind), order.name, std::to_string(links.size())}}));
}

void CommandService::execute(const ExecutionContext& execution, const command::DrainEndpoint& order) {
  const Scope& scope = execution.identity.scope;
  // Throws the same error as `show endpoints` if the service does not exist or belongs to another tenant.
  const auto endpoints = showEndpoints(context_.state, scope, {order.service}, {});
  const bool exists = std::any_of(endpoints.rows.begin(), endpoints.rows.end(),
                                  [&](const auto& row) { return row->cells.front() == order.endpoint; });
  if (!exists) {
    throw Error(ErrorKind::NotFound,
                fmt::format("service {} has no endpoint {}", order.service.name, order.endpoint),
                "see show endpoints");
  }
  wire::StopOrderT stop;
  stop.kind = wire::StopKind::Endpoint;
  stop.tenant = order.service.tenant.empty() ? scope.tenant : order.service.tenant;
  stop.name = order.service.name;
  stop.endpoint = order.endpoint;
  sendStopOrder(execution, stop);
}

void CommandService::execute(const ExecutionContext& execution, const command::StopProxy& order) {
  requireAdministrator(execution);
  const auto key = config::makeKey(wire::ObjectKind::Node, "", order.node);
  if (context_.state.catalog().find(key) == nullptr) {
    throw Error(ErrorKind::NotFound, fmt::format("{} does not exist", config::formatKey(key)),
                "check the name");
  }
  wire::StopOrderT stop;
  stop.kind = wire::StopKind::Proxy;
  stop.name = order.node;
  sendStopOrder(execution, stop);
}

void CommandService::execute(const ExecutionContext& execution, const command::StopRelay& order) {
  requireAdministrator(execution);
  wire::StopOrderT stop;
  stop.kind = wire::StopKind::Relay;
  stop.name = order.relay;
  sendStopOrder(execution, stop);
}

void CommandService::execute(const ExecutionContext& execution, const command::TransferLeader& order) {
  requireAdministrator(execution);
  dependencies_.replicas.transferLeader(execution.requester, order.replica, execution.now);
}

void CommandService::execute(const ExecutionContext& execution, const command::AddReplica& order) {
  requireAdministrator(execution);
  dependencies_.replicas.addReplica(execution.requester, order.replica, execution.now);
}

void CommandService::execute(const ExecutionContext& execution, const command::ReplaceReplica& order) {
  requireAdministrator(execution);
  dependencies_.replicas.replaceReplica(execution.requester, order.old_id, order.new_id, execution.now);
}

void CommandService::execute(const ExecutionContext& execution, const command::RemoveReplica& order) {
  requireAdministrator(execution);
  dependencies_.replicas.removeReplica(execution.requester, order.id, execution.now);
}

void CommandService::execute(const ExecutionContext& execution, const command::ReleaseContent& order) {
  requireAdministrator(execution);
  dependencies_.quarantine.releaseByOperator(execution.requester, order.content, execution.now);
}

void CommandService::execute(const ExecutionContext& execution, const command::ShowEvacuations& /*query*/) {
  requireAdministrator(execution);
  sendReply(context_, execution.requester, showEvacuations(context_.state));
}

void CommandService::execute(const ExecutionContext& execution, const command::EvacuateZone& order) {
  requireAdministrator(execution);
  wire::EvacuationOrderT evacuation;
  evacuation.zone = order.zone;
  evacuation.is_evacuated = order.is_evacuated;
  runEvacuationCommand(context_, dependencies_.evacuations, execution.requester, evacuation, execution.now);
}

}  // namespace cometstand::store
