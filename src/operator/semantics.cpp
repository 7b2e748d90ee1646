#include <algorithm>
#include <memory>
#include <type_traits>

#include "operator/command.h"

namespace cometstand::command {
namespace {

wire::ObjectKind kindOf(wire::ObjectSpec type) {
  switch (type) {
    case wire::ObjectSpec::CredentialSpec:
      return wire::ObjectKind::Credential;
    case wire::ObjectSpec::NodeSpec:
      return wire::ObjectKind::Node;
    case wire::ObjectSpec::ServiceSpec:
      return wire::ObjectKind::Service;
    case wire::ObjectSpec::RouteSpec:
      return wire::ObjectKind::Route;
    case wire::ObjectSpec::SecretSpec:
      return wire::ObjectKind::Secret;
    case wire::ObjectSpec::TenantSpec:
    case wire::ObjectSpec::NONE:
      break;
  }
  return wire::ObjectKind::Tenant;
}

std::shared_ptr<wire::ObjectKeyT> keyOf(wire::ObjectKind kind, const ObjectName& name,
                                        const std::string& own_tenant) {
  auto key = std::make_shared<wire::ObjectKeyT>();
  key->kind = kind;
  if (kind == wire::ObjectKind::Tenant) {
    key->tenant = name.name;
    return key;
  }
  key->name = name.name;
  if (kind != wire::ObjectKind::Node) key->tenant = name.tenant.empty() ? own_tenant : name.tenant;
  return key;
}

std::shared_ptr<wire::OperationT> toOperation(const PutObject& put, const std::string& own_tenant) {
  auto operation = std::make_shared<wire::OperationT>();
  operation->key = keyOf(kindOf(put.spec.type), put.name, own_tenant);
  operation->object = std::make_shared<wire::ObjectT>();
  operation->object->key = operation->key;
  operation->object->spec = put.spec;
  return operation;
}

std::shared_ptr<wire::OperationT> toOperation(const DeleteObject& step, const std::string& own_tenant) {
  auto operation = std::make_shared<wire::OperationT>();
  operation->key = keyOf(step.kind, step.name, own_tenant);
  return operation;
}

template <typename Value>
bool compare(const Value& left, Comparison comparison, const Value& right) {
  switch (comparison) {
    case Comparison::Equal:
      return left == right;
    case Comparison::NotEqual:
      return left != right;
    case Comparison::Less:
      return left < right;
    case Comparison::LessOrEqual:
      return left <= right;
    case Comparison::Greater:
      return left > right;
    case Comparison::GreaterOrEqual:
      return left >= right;
  }
  return false;
}

bool meets(const ProxyCondition& condition, const wire::ProxyStatusT& proxy) {
  switch (condition.field) {
    case ProxyField::Zone:
      return compare(proxy.zone, condition.comparison, condition.text);
    case ProxyField::Node:
      return compare(proxy.node, condition.comparison, condition.text);
    case ProxyField::Version:
      return compare(proxy.as_of, condition.comparison, condition.number);
    case ProxyField::ViewVersion:
      return compare(proxy.view_version, condition.comparison, condition.number);
  }
  return false;
}

template <typename Type, typename... Types>
constexpr bool kIsOneOf = (std::is_same_v<Type, Types> || ...);

}  // namespace

bool isQuery(const Command& command) {
  return std::visit(
      [](const auto& one) {
        using Type = std::decay_t<decltype(one)>;
        return kIsOneOf<Type, ShowVersion, ShowProxies, ShowRoute, ShowRoutes, ShowServices, ShowEndpoints,
                        ShowChanges, ShowNodes, ShowTenants, ShowSecrets, ShowReplicas, ShowQuarantine,
                        ShowEvacuations, WaitInForce>;
      },
      command);
}

wire::TransactionT toTransaction(const Change& change, const std::string& own_tenant) {
  wire::TransactionT transaction;
  transaction.if_version = change.if_version;
  for (const auto& step : change.steps) {
    transaction.operations.push_back(
        std::visit([&](const auto& one) { return toOperation(one, own_tenant); }, step));
  }
  return transaction;
}

bool matches(const ShowProxies& query, const wire::ProxyStatusT& proxy) {
  return std::all_of(query.conditions.begin(), query.conditions.end(),
                     [&](const ProxyCondition& condition) { return meets(condition, proxy); });
}

}  // namespace cometstand::command
