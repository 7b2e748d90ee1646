#include "rehearsal/simulator/mesh_setup.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "config/token.h"
#include "rehearsal/simulator/operator_workload.h"

namespace cometstand::simulator {
namespace {

constexpr Duration kCommandLimit = std::chrono::seconds(30);
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
/// Nodes put by one transaction.
constexpr std::size_t kNodesByCommand = 100;

std::string hexadecimal(const std::vector<std::uint8_t>& bytes) {
  return fmt::format("{:02x}", fmt::join(bytes, ""));
}

std::string credentialStep(const std::string& name, const std::string& tenant) {
  return fmt::format("put credential {}/{} token_hash {} salt {};", tenant, name,
                     hexadecimal(config::hashToken(bootstrapSalt(), operatorToken(name))),
                     hexadecimal(bootstrapSalt()));
}

std::string tenantCommand(const Deployment& deployment) {
  std::string steps;
  for (const auto& tenant : {deployment.tenant, deployment.other_tenant}) {
    steps += fmt::format(" put tenant {};", tenant);
    for (unsigned number = 1; number <= deployment.operators; ++number) {
      steps += " " + credentialStep(fmt::format("operator-{}-{}", tenant, number), tenant);
    }
  }
  return fmt::format("change {{{} }}", steps);
}

std::vector<std::string> nodeCommands(Fleet& fleet) {
  const auto& deployment = fleet.deployment();
  std::vector<std::string> commands;
  std::string steps;
  std::size_t count = 0;
  for (const auto& name : fleet.names("proxy")) {
    const bool serves_both = count % 2 == 0;
    const auto tenants =
        serves_both ? fmt::format("{}, {}", deployment.tenant, deployment.other_tenant) : deployment.tenant;
    steps += fmt::format(" put node {} zone {} tenants ({});", name, fleet.machine(name).zone, tenants);
    if (++count % kNodesByCommand == 0) {
      commands.push_back(fmt::format("change {{{} }}", std::exchange(steps, "")));
    }
  }
  if (!steps.empty()) commands.push_back(fmt::format("change {{{} }}", steps));
  return commands;
}

std::string serviceCommand(Fleet& fleet, const ServiceLayout& service) {
  std::string endpoints;
  for (const auto& backend : fleet.backends()) {
    if (backend.service != service.name) continue;
    endpoints +=
        fmt::format(" endpoint {} at {}:{} zone {} slots {} connections 130;", backend.name,
                    backend.address.host, backend.address.port, backend.zone, fleet.deployment().slots);
  }
  std::string steps = fmt::format(" put service {}/{} {{{} }};", service.tenant, service.name, endpoints);
  steps += fmt::format(" put secret {0}/{1}-key value \"key-of-{1}\";", service.tenant, service.name);
  for (const auto& call : fleet.deployment().calls) {
    if (call.service != service.name) continue;
    steps += fmt::format(
        " put route {}/{} host {}.example path /{} method {} to {} secret {}-key class {} timeout {}ms{};",
        service.tenant, call.route, service.name, call.route, call.method, service.name, service.name,
        call.request_class, call.timeout_ms, call.repeatable ? " repeatable" : "");
  }
  return fmt::format("change {{{} }}", steps);
}

}  // namespace

std::vector<std::string> setupCommands(Fleet& fleet) {
  std::vector<std::string> commands{tenantCommand(fleet.deployment())};
  for (auto& command : nodeCommands(fleet)) commands.push_back(std::move(command));
  for (const auto& service : fleet.deployment().services) commands.push_back(serviceCommand(fleet, service));
  return commands;
}

MeshSetup::MeshSetup(Fleet& fleet) : fleet_(fleet), commands_(setupCommands(fleet)) {
  const OperatorIdentity administrator{"mesh", "bootstrap", std::string(kBootstrapToken)};
  fleet.addOperator(kAdministrator, administrator);
  fleet.addOperator(kRepairer, administrator);
}

void MeshSetup::start() { sendNext(); }

void MeshSetup::sendNext() {
  if (done()) return;
  fleet_.withOperator(kAdministrator, [this](OperatorClient& client, TimePoint now) {
    client.submit(commands_[next_], kCommandLimit, now, [this](const CommandResult& result) {
      if (result.outcome == wire::Outcome::Completed) {
        ++next_;
        version_ = result.version;
      } else {
        refusal_ = result.message;
      }
      fleet_.queue().after(kRetryPause, [this] { sendNext(); });
    });
  });
}

}  // namespace cometstand::simulator
