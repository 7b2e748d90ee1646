// The part of CommandService that carries out each kind of command.
#include <fmt/format.h>

#include <algorithm>

#include "base/error.h"
#include "config/object_key.h"
#include "store/command_service.h"
#include "store/evacuation_commands.h"

namespace cometstand::store {

void CommandService::run(const Call& call, const command::ShowVersion& /*query*/) {
  sendReply(context_, call.asker, showVersion(context_.state));
}

void CommandService::run(const Call& call, const command::ShowRoute& query) {
  sendReply(context_, call.asker, showRoute(context_.state, call.identity.scope, query));
}

void CommandService::run(const Call& call, const command::ShowRoutes& /*query*/) {
  sendReply(context_, call.asker, showRoutes(context_.state, call.identity.scope));
}

void CommandService::run(const Call& call, const command::ShowServices& /*query*/) {
  sendReply(context_, call.asker, showServices(context_.state, call.identity.scope));
}

void CommandService::run(const Call& call, const command::ShowNodes& /*query*/) {
  sendReply(context_, call.asker, showNodes(context_.state, call.identity.scope));
}

void CommandService::run(const Call& call, const command::ShowTenants& /*query*/) {
  sendReply(context_, call.asker, showTenants(context_.state, call.identity.scope));
}

void CommandService::run(const Call& call, const command::ShowSecrets& /*query*/) {
  sendReply(context_, call.asker, showSecrets(context_.state, call.identity.scope));
}

void CommandService::run(const Call& call, const command::ShowChanges& query) {
  sendReply(context_, call.asker, showChanges(context_.state, call.identity.scope, query));
}

void CommandService::run(const Call& call, const command::ShowReplicas& /*query*/) {
  sendReply(context_, call.asker, parts_.replicas.showReplicas());
}

void CommandService::run(const Call& call, const command::ShowQuarantine& /*query*/) {
  requireAdministrator(call);
  sendReply(context_, call.asker, showQuarantine(context_.state));
}

void CommandService::run(const Call& call, const command::ShowProxies& query) {
  const auto render = [&state = context_.state, scope = call.identity.scope,
                       query](const wire::StatusReplyT& status) {
    return showProxies(state, scope, query, status);
  };
  parts_.statuses.begin(call.asker, parts_.readers.links(), wire::StatusRequestT(), render, call.now);
}

void CommandService::run(const Call& call, const command::ShowEndpoints& query) {
  const auto render = [&state = context_.state, scope = call.identity.scope,
                       query](const wire::StatusReplyT& status) {
    return showEndpoints(state, scope, query, status);
  };
  wire::StatusRequestT request;
  request.proxies = false;
  request.tenant = query.service.tenant.empty() ? call.identity.scope.tenant : query.service.tenant;
  request.service = query.service.name;
  parts_.statuses.begin(call.asker, parts_.readers.links(), request, render, call.now);
}

void CommandService::run(const Call& call, const command::WaitInForce& query) {
  parts_.waits.add(call.asker, query.version, query.timeout, call.now);
}

void CommandService::requireAdministrator(const Call& call) {
  if (call.identity.scope.administrator) return;
  throw Error(ErrorKind::Forbidden, "only an administrator of the mesh may do that",
              "ask an administrator of the mesh");
}

void CommandService::sendStopOrder(const Call& call, const wire::StopOrderT& order) {
  const auto links = parts_.readers.links();
  if (links.empty()) {
    throw Error(ErrorKind::Unavailable, "no relay reads from the store",
                "send the command again once one does", context_.options.retry_after);
  }
  for (const auto link : links) context_.actions.send(link, order, 0);
  sendReply(context_, call.asker,
            makeTable(context_.state.catalog().version(), {"order", "name", "relays_told"},
                      {{wire::EnumNameStopKind(order.kind), order.name, std::to_string(links.size())}}));
}

void CommandService::run(const Call& call, const command::DrainEndpoint& order) {
  const Scope& scope = call.identity.scope;
  // Fails like the query if the service is not there or not the operator's.
  const auto endpoints = showEndpoints(context_.state, scope, {order.service}, {});
  const bool is_known = std::any_of(endpoints.rows.begin(), endpoints.rows.end(),
                                    [&](const auto& row) { return row->cells.front() == order.endpoint; });
  if (!is_known) {
    throw Error(ErrorKind::NotFound,
                fmt::format("service {} has no endpoint {}", order.service.name, order.endpoint),
                "see show endpoints");
  }
  wire::StopOrderT stop;
  stop.kind = wire::StopKind::Endpoint;
  stop.tenant = order.service.tenant.empty() ? scope.tenant : order.service.tenant;
  stop.name = order.service.name;
  stop.endpoint = order.endpoint;
  sendStopOrder(call, stop);
}

void CommandService::run(const Call& call, const command::StopProxy& order) {
  requireAdministrator(call);
  const auto key = config::makeKey(wire::ObjectKind::Node, "", order.node);
  if (context_.state.catalog().find(key) == nullptr) {
    throw Error(ErrorKind::NotFound, fmt::format("{} does not exist", config::formatKey(key)),
                "check the name");
  }
  wire::StopOrderT stop;
  stop.kind = wire::StopKind::Proxy;
  stop.name = order.node;
  sendStopOrder(call, stop);
}

void CommandService::run(const Call& call, const command::StopRelay& order) {
  requireAdministrator(call);
  wire::StopOrderT stop;
  stop.kind = wire::StopKind::Relay;
  stop.name = order.relay;
  sendStopOrder(call, stop);
}

void CommandService::run(const Call& call, const command::TransferLeader& order) {
  requireAdministrator(call);
  parts_.replicas.transferLeader(call.asker, order.replica, call.now);
}

void CommandService::run(const Call& call, const command::AddReplica& order) {
  requireAdministrator(call);
  parts_.replicas.addReplica(call.asker, order.replica, call.now);
}

void CommandService::run(const Call& call, const command::ReplaceReplica& order) {
  requireAdministrator(call);
  parts_.replicas.replaceReplica(call.asker, order.old_id, order.new_id, call.now);
}

void CommandService::run(const Call& call, const command::RemoveReplica& order) {
  requireAdministrator(call);
  parts_.replicas.removeReplica(call.asker, order.id, call.now);
}

void CommandService::run(const Call& call, const command::ReleaseContent& order) {
  requireAdministrator(call);
  parts_.quarantine.releaseByOperator(call.asker, order.content, call.now);
}

void CommandService::run(const Call& call, const command::ShowEvacuations& /*query*/) {
  requireAdministrator(call);
  sendReply(context_, call.asker, showEvacuations(context_.state));
}

void CommandService::run(const Call& call, const command::EvacuateZone& order) {
  requireAdministrator(call);
  wire::EvacuationOrderT evacuation;
  evacuation.zone = order.zone;
  evacuation.is_evacuated = order.is_evacuated;
  runEvacuationCommand(context_, parts_.evacuations, call.asker, evacuation, call.now);
}

}  // namespace cometstand::store
