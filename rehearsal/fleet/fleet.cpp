#include "rehearsal/fleet/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "base/error.h"
#include "net/tls_context.h"
#include "rehearsal/fleet/http_client.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::rehearsal {

namespace {

constexpr int kCertificateDays = 2;
constexpr const char* kMeshTenant = "mesh";

std::string tokenOf(const std::string& name) { return "token-of-" + name; }

runtime::Address addressOf(const Member& member) { return {"127.0.0.1", member.port().port()}; }

}  // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)), folder_{std::filesystem::absolute(options_.folder)} {
  std::filesystem::remove_all(folder_.path);
  std::filesystem::create_directories(folder_.path);
  bootstrap_ = {kMeshTenant, "bootstrap", tokenOf("bootstrap")};
  operators_ = {{deployment().tenant, "anna", tokenOf("anna")},
                {deployment().tenant, "piotr", tokenOf("piotr")}};
  const HashedToken hashed = hashFreshly(bootstrap_.token);
  bootstrap_credential_ = {hashed.salt, hashed.token_hash};
  plan();
  makeCertificates();
  writeSettings();
}

void Fleet::plan() {
  const auto& zones = deployment().zones;
  add(MemberRole::MachineList, "machine-list", zones.front(), "cometstand-machine-list");
  unsigned zone_index = 0;
  for (const auto& service : deployment().services) {
    for (unsigned target = 1; target <= service.targets; ++target) {
      const auto& zone = zones[zone_index++ % zones.size()];
      add(MemberRole::Backend, fmt::format("{}-{}", service.name, target), zone, "cometstand-backend",
          service.name);
    }
  }
  for (unsigned id = 1; id <= options_.stores; ++id) {
    add(MemberRole::Store, fmt::format("store-{}", id), zones[(id - 1) % zones.size()], "cometstand-store");
    first_voters_.push_back({id, members_.back().get()});
  }
  replicas_ = first_voters_;
  for (const auto& zone : zones) add(MemberRole::Relay, "relay-" + zone, zone, "cometstand-relay");
  for (const auto& zone : zones) {
    for (unsigned number = 1; number <= options_.proxies_per_zone; ++number) {
      add(MemberRole::Proxy, fmt::format("proxy-{}-{}", zone, number), zone, "cometstand-proxy");
    }
  }
}

void Fleet::add(MemberRole role, const std::string& name, const std::string& zone, const std::string& program,
                const std::string& service) {
  members_.push_back(std::make_unique<Member>(
      io_, folder_, MemberPlan{role, name, zone, service, options_.programs / program}));
}

void Fleet::makeCertificates() {
  certificates_ =
      std::make_unique<certificates::CertificateMaker>(folder_.path / "certificates", kCertificateDays);
  for (const auto* store : members(MemberRole::Store)) certificates_->make({"store", store->name(), ""});
  for (const auto* relay : members(MemberRole::Relay)) certificates_->make({"relay", relay->name(), ""});
  for (const auto* proxy : members(MemberRole::Proxy)) certificates_->make({"proxy", proxy->name(), ""});
  for (const auto& one : {bootstrap_, operators_[0], operators_[1]}) {
    certificates_->make({"operator", one.name, one.tenant});
    const MemberTls files = tlsOf(one.name);
    operator_tls_[one.name] = net::makeTlsContext({files.certificate, files.key, files.authority});
  }
}

MemberTls Fleet::tlsOf(const std::string& name) const {
  return {certificates_->certificateFile(name).string(), certificates_->keyFile(name).string(),
          certificates_->authorityFile().string()};
}

void Fleet::writeStoreSettings(const Member& store, std::uint64_t id) {
  const CommonText common{store, deployment().region, tlsOf(store.name())};
  store.writeSettings(storeSettings(common, id, first_voters_, bootstrap_credential_));
}

void Fleet::writeSettings() {
  for (const auto& replica : replicas_) writeStoreSettings(*replica.member, replica.id);
  const auto stores = std::as_const(*this).members(MemberRole::Store);
  const auto relays = std::as_const(*this).members(MemberRole::Relay);
  for (const auto* relay : relays) {
    const CommonText common{*relay, deployment().region, tlsOf(relay->name())};
    relay->writeSettings(relaySettings(common, deployment(), stores, relays, member("machine-list")));
  }
  for (const auto* proxy : members(MemberRole::Proxy)) {
    const CommonText common{*proxy, deployment().region, tlsOf(proxy->name())};
    proxy->writeSettings(proxySettings(common, tokenOf(proxy->name()), relays));
  }
}

std::vector<Member*> Fleet::members(MemberRole role) {
  std::vector<Member*> found;
  for (const auto& member : members_) {
    if (member->plan().role == role) found.push_back(member.get());
  }
  return found;
}

std::vector<const Member*> Fleet::members(MemberRole role) const {
  std::vector<const Member*> found;
  for (const auto& member : members_) {
    if (member->plan().role == role) found.push_back(member.get());
  }
  return found;
}

Member& Fleet::member(const std::string& name) {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [&name](const auto& member) { return member->name() == name; });
  if (found != members_.end()) return **found;
  throw Error(ErrorKind::NotFound, fmt::format("the fleet has no member '{}'", name), "check the name");
}

std::filesystem::path Fleet::executedFile(const Member& backend) const {
  return folder_.path / (backend.name() + ".executed.json");
}

std::vector<std::string> Fleet::backendArguments(const Member& backend) const {
  const auto milliseconds = [](Duration duration) {
    return fmt::format("{}", static_cast<double>(duration.count()) / 1000);
  };
  return {"--name",
          backend.name(),
          "--listen",
          backend.port().text(),
          "--slots",
          fmt::format("{}", deployment().slots),
          "--connections",
          fmt::format("{}", deployment().connections),
          "--connection-cost-ms",
          milliseconds(deployment().connection_cost),
          "--probe-cost-ms",
          milliseconds(deployment().probe_cost),
          "--service-time-ms",
          milliseconds(deployment().service_time),
          "--linger-ms",
          milliseconds(options_.backend_linger),
          "--executed-file",
          executedFile(backend).string()};
}

void Fleet::startMember(Member& member) {
  switch (member.plan().role) {
    case MemberRole::MachineList:
      member.start({"--listen", member.port().text()});
      return;
    case MemberRole::Backend:
      member.start(backendArguments(member));
      return;
    case MemberRole::Store:
    case MemberRole::Relay:
    case MemberRole::Proxy:
      member.start({"--settings", member.settingsFile().string()});
      return;
  }
}

Member& Fleet::addStore(std::uint64_t id) {
  const std::string name = fmt::format("store-{}", id);
  add(MemberRole::Store, name, deployment().zones.front(), "cometstand-store");
  Member& store = *members_.back();
  replicas_.push_back({id, &store});
  certificates_->make({"store", name, ""});
  writeStoreSettings(store, id);
  return store;
}

void Fleet::start() {
  for (const auto& member : members_) {
    const bool is_store = member->plan().role == MemberRole::Store;
    if (is_store) {
      // Only the very first start makes the cluster: docs/OPERATIONS.md.
      member->start({"--settings", member->settingsFile().string(), "--set", "store.bootstrap=true"});
    } else {
      startMember(*member);
    }
  }
  waitForLeader();
  configure();
  waitUntilServing();
}

void Fleet::configure() {
  std::vector<NodeToken> nodes;
  for (const auto* proxy : members(MemberRole::Proxy)) nodes.push_back({proxy, tokenOf(proxy->name())});
  administrator().mustRun(meshChange(deployment(), operators_, nodes));
  const auto backends = std::as_const(*this).members(MemberRole::Backend);
  const auto version = tenantOperator().mustRun(tenantChange(deployment(), backends));
  administrator().waitInForce(version);
}

void Fleet::waitUntilServing() {
  for (const auto* proxy : members(MemberRole::Proxy)) {
    for (const auto& route : deployment().routes) {
      if (route.requests.method != "GET") continue;
      waitUntil(fmt::format("{} serves {}", proxy->name(), route.requests.path),
                [&] { return serves(*proxy, route.requests.path); });
    }
  }
}

OperatorConsole Fleet::console(const OperatorIdentity& identity) const {
  std::vector<runtime::Address> stores;
  for (const auto* store : members(MemberRole::Store)) stores.push_back(addressOf(*store));
  return {identity, stores, operator_tls_.at(identity.name).get()};
}

Member& Fleet::waitForLeader() {
  auto console = administrator();
  const CommandResult replicas = console.run("show replicas");
  for (std::size_t row = 0; row < replicas.reply.rows.size(); ++row) {
    if (replicas.cell(row, "role") == "leader") return member(replicas.cell(row, "name"));
  }
  throw Error(ErrorKind::Unavailable, "show replicas names no leader: " + replicas.text(),
              "look into the stores' logs in the fleet's folder");
}

void Fleet::waitForReplica(const Member& store) {
  auto console = administrator();
  waitUntil(fmt::format("{} follows the leader", store.name()), [&] {
    const CommandResult replicas = console.run("show replicas");
    for (std::size_t row = 0; row < replicas.reply.rows.size(); ++row) {
      if (replicas.cell(row, "name") == store.name()) return replicas.cell(row, "state") == "active";
    }
    return false;
  });
}

std::uint64_t Fleet::storeId(const Member& store) const {
  const auto found = std::find_if(replicas_.begin(), replicas_.end(),
                                  [&store](const StoreReplica& replica) { return replica.member == &store; });
  return found == replicas_.end() ? 0 : found->id;
}

Load Fleet::startLoad(const std::string& name, double rate) {
  return startLoad(name, rate, workloadOf(deployment()));
}

Load Fleet::startLoad(const std::string& name, double rate, const Workload& workload) {
  LoadOptions load;
  load.name = name;
  load.caller_program = options_.programs / "cometstand-caller";
  load.folder = folder_.path;
  load.workload = workload;
  load.rate = rate;
  for (const auto* proxy : members(MemberRole::Proxy)) {
    load.proxies.push_back(proxy->callerPort().endpoint());
  }
  return Load(load);
}

bool Fleet::serves(const Member& proxy, const std::string& path) const {
  const auto answer = askOverHttp(proxy.callerPort().endpoint(), {"GET", deployment().host, path, ""});
  return answer && answer->status == 200 && answer->outcome == "completed";
}

ExecutionRecord Fleet::executed() const {
  ExecutionRecord executed;
  for (const auto* backend : members(MemberRole::Backend)) {
    const auto answer = askOverHttp(backend->port().endpoint(), {"GET", "", "/executed", ""});
    const std::string text = answer ? answer->body : readTextFile(executedFile(*backend));
    executed.addJson(boost::json::parse(text).at("requests"));
  }
  return executed;
}

std::vector<std::string> Fleet::logsWith(const std::string& text) const {
  std::vector<std::string> names;
  for (const auto& member : members_) {
    if (member->logText().find(text) != std::string::npos) names.push_back(member->name());
  }
  return names;
}

std::filesystem::path ownProgramFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

}  // namespace cometstand::rehearsal
