#include <fmt/format.h>
#include <fmt/ranges.h>

#include <string>

#include "config/object_key.h"
#include "operator/binary_text.h"
#include "operator/command.h"
#include "settings/units.h"

namespace cometstand::command {
namespace {

std::string print(const ObjectName& name) {
  return name.tenant.empty() ? name.name : fmt::format("{}/{}", name.tenant, name.name);
}

std::string_view print(wire::RequestClass request_class) {
  switch (request_class) {
    case wire::RequestClass::Interactive:
      return "interactive";
    case wire::RequestClass::Commit:
      return "commit";
    case wire::RequestClass::Bulk:
      return "bulk";
    case wire::RequestClass::Leisure:
      return "leisure";
  }
  return "interactive";
}

std::string_view print(ProxyField field) {
  switch (field) {
    case ProxyField::Zone:
      return "zone";
    case ProxyField::Node:
      return "node";
    case ProxyField::Version:
      return "version";
    case ProxyField::ViewVersion:
      return "view_version";
  }
  return "zone";
}

std::string_view print(Comparison comparison) {
  switch (comparison) {
    case Comparison::Equal:
      return "=";
    case Comparison::NotEqual:
      return "!=";
    case Comparison::Less:
      return "<";
    case Comparison::LessOrEqual:
      return "<=";
    case Comparison::Greater:
      return ">";
    case Comparison::GreaterOrEqual:
      return ">=";
  }
  return "=";
}

std::string print(const ProxyCondition& condition) {
  const bool is_text = condition.field == ProxyField::Zone || condition.field == ProxyField::Node;
  return fmt::format("{} {} {}", print(condition.field), print(condition.comparison),
                     is_text ? condition.text : fmt::format("{}", condition.number));
}

/// @return the option with a space before it, or nothing for an empty value.
std::string option(std::string_view keyword, const std::string& value) {
  return value.empty() ? std::string() : fmt::format(" {} {}", keyword, value);
}

std::string printSpec(const wire::TenantSpecT& spec) {
  return fmt::format(" max_in_flight {}", spec.max_in_flight);
}

std::string printSpec(const wire::CredentialSpecT& spec) {
  return fmt::format(" token_hash {} salt {}{}", encodeHex(spec.token_hash), encodeHex(spec.salt),
                     spec.administrator ? " administrator" : "");
}

std::string printSpec(const wire::NodeSpecT& spec) {
  return fmt::format(" zone {} tenants ({}){}{}", spec.zone, fmt::join(spec.tenants, ", "),
                     option("token_hash", encodeHex(spec.token_hash)), option("salt", encodeHex(spec.salt)));
}

std::string printSpec(const wire::ServiceSpecT& spec) {
  std::string text = " {";
  for (const auto& endpoint : spec.endpoints) {
    text += fmt::format(" endpoint {} at {} zone {} slots {} connections {};", endpoint->name,
                        settings::formatAddress({endpoint->address, endpoint->port}), endpoint->zone,
                        endpoint->slots, endpoint->max_connections);
  }
  return text + " }";
}

std::string printSpec(const wire::RouteSpecT& spec) {
  return fmt::format("{} path {}{} to {}{} class {} timeout {}ms retries {}{}", option("host", spec.host),
                     spec.path_prefix, option("method", spec.method), spec.service,
                     option("secret", spec.secret), print(spec.request_class), spec.timeout_ms,
                     spec.max_retries, spec.repeatable ? " repeatable" : "");
}

std::string printSpec(const wire::SecretSpecT& spec) {
  return fmt::format(" base64 \"{}\"", encodeBase64(spec.value));
}

std::string printStep(const PutObject& put) {
  const auto head = [&](std::string_view kind) { return fmt::format("put {} {}", kind, print(put.name)); };
  switch (put.spec.type) {
    case wire::ObjectSpec::TenantSpec:
      return head("tenant") + printSpec(*put.spec.AsTenantSpec());
    case wire::ObjectSpec::CredentialSpec:
      return head("credential") + printSpec(*put.spec.AsCredentialSpec());
    case wire::ObjectSpec::NodeSpec:
      return head("node") + printSpec(*put.spec.AsNodeSpec());
    case wire::ObjectSpec::ServiceSpec:
      return head("service") + printSpec(*put.spec.AsServiceSpec());
    case wire::ObjectSpec::RouteSpec:
      return head("route") + printSpec(*put.spec.AsRouteSpec());
    case wire::ObjectSpec::SecretSpec:
      return head("secret") + printSpec(*put.spec.AsSecretSpec());
    case wire::ObjectSpec::NONE:
      break;
  }
  return {};
}

std::string printStep(const DeleteObject& step) {
  return fmt::format("delete {} {}", config::objectKindName(step.kind), print(step.name));
}

/// Prints each kind of command.
struct Printer {
  std::string operator()(const ShowVersion& /*command*/) const { return "show version"; }
  std::string operator()(const ShowRoutes& /*command*/) const { return "show routes"; }
  std::string operator()(const ShowServices& /*command*/) const { return "show services"; }
  std::string operator()(const ShowNodes& /*command*/) const { return "show nodes"; }
  std::string operator()(const ShowTenants& /*command*/) const { return "show tenants"; }
  std::string operator()(const ShowSecrets& /*command*/) const { return "show secrets"; }
  std::string operator()(const ShowReplicas& /*command*/) const { return "show replicas"; }
  std::string operator()(const ShowQuarantine& /*command*/) const { return "show quarantine"; }
  std::string operator()(const ShowEvacuations& /*command*/) const { return "show evacuations"; }

  std::string operator()(const ShowProxies& command) const {
    std::string text = "show proxies";
    std::string_view separator = " where ";
    for (const auto& condition : command.conditions) {
      text += fmt::format("{}{}", separator, print(condition));
      separator = " and ";
    }
    return text;
  }

  std::string operator()(const ShowRoute& command) const {
    return fmt::format("show route {}{}", command.path, option("host", command.host));
  }
  std::string operator()(const ShowEndpoints& command) const {
    return "show endpoints of " + print(command.service);
  }
  std::string operator()(const ShowChanges& command) const {
    return fmt::format("show changes last {}", command.last);
  }

  std::string operator()(const Change& command) const {
    std::string text = "change ";
    if (command.if_version != 0) text += fmt::format("if version {} ", command.if_version);
    text += "{";
    for (const auto& step : command.steps) {
      text += " " + std::visit([](const auto& one) { return printStep(one); }, step) + ";";
    }
    return text + " }";
  }

  std::string operator()(const DrainEndpoint& command) const {
    return fmt::format("drain endpoint {}/{}", print(command.service), command.endpoint);
  }
  std::string operator()(const StopProxy& command) const { return "stop proxy " + command.node; }
  std::string operator()(const StopRelay& command) const { return "stop relay " + command.relay; }
  std::string operator()(const TransferLeader& command) const {
    return fmt::format("transfer leader to {}", command.replica);
  }
  std::string operator()(const AddReplica& command) const {
    const auto& replica = command.replica;
    return fmt::format("add replica {} {} at {} region {}", replica.id, replica.name,
                       settings::formatAddress(replica.address), replica.region);
  }
  std::string operator()(const ReplaceReplica& command) const {
    return fmt::format("replace replica {} with {}", command.old_id, command.new_id);
  }
  std::string operator()(const RemoveReplica& command) const {
    return fmt::format("remove replica {}", command.id);
  }
  std::string operator()(const ReleaseContent& command) const { return "release content " + command.content; }
  std::string operator()(const EvacuateZone& command) const {
    return fmt::format("{} zone {}", command.is_evacuated ? "evacuate" : "restore", command.zone);
  }
  std::string operator()(const WaitInForce& command) const {
    return fmt::format("wait version {} in force timeout {}", command.version,
                       settings::formatDuration(command.timeout));
  }
};

}  // namespace

std::string printCommand(const Command& command) { return std::visit(Printer{}, command); }

}  // namespace cometstand::command
