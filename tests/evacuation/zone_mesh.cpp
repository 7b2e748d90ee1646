#include "zone_mesh.h"

#include <algorithm>

namespace cometstand::evacuation::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "desk";
constexpr const char* kHost = "desk.example";
constexpr std::size_t kSidecarsPerZone = 3;
constexpr std::size_t kFirstSidecarAddress = 100;
constexpr Duration kOrderRetryInterval = milliseconds(200);

wire::MeshConfigurationT makeConfiguration() {
  wire::MeshConfigurationT configuration;
  auto route = std::make_shared<wire::MeshRouteT>();
  route->name = "write";
  route->host = kHost;
  route->path_prefix = "/";
  route->timeout_ms = 1'500;
  route->objective_ms = 600;
  route->max_attempts = 2;
  auto share = std::make_shared<wire::TrafficShareT>();
  share->service = kService;
  share->weight = 1;
  route->shares.push_back(share);
  configuration.routes.push_back(route);
  auto service = std::make_shared<wire::MeshServiceT>();
  service->name = kService;
  configuration.services.push_back(service);
  return configuration;
}

}  // namespace

ZoneMesh::ZoneMesh(std::uint64_t seed)
    : random_(seed), store_group_(network, random_, 3, mesh::ZoneMap({"zone-1=east", "zone-2=east"})) {
  store_group_.configure(makeConfiguration());
  for (std::size_t i = 0; i < kSidecarsPerZone; ++i) {
    for (const char* zone : {kFirstZone, kSecondZone}) addSidecar(zone);
  }
  network.runFor(seconds(4));
  // Sidecars refuse all calls before they have their first configuration; these are not counted.
  answered = 0;
  refused = 0;
}

ProcessId ZoneMesh::addSidecar(const std::string& zone) {
  auto& machine = machines_.emplace_back();
  machine.mesh = this;
  machine.name = "node-" + std::to_string(machines_.size());
  machine.zone = zone;
  sidecar::SidecarOptions options;
  options.node = machine.name;
  options.service = kService;
  options.zone = zone;
  options.advertise = rollout::test::addressOf(kFirstSidecarAddress + machines_.size());
  options.seeds = store_group_.seeds();
  machine.id = network.add(options.advertise, [this, options, &machine] {
    machine.running.clear();
    return std::make_unique<sidecar::SidecarCore>(options, random_.uniform(0, UINT64_MAX), machine, machine);
  });
  network.start(machine.id);
  sendHeartbeats(machine);
  sendCalls(machine);
  return machine.id;
}

std::vector<ProcessId> ZoneMesh::sidecarsIn(const std::string& zone) const {
  std::vector<ProcessId> ids;
  for (const auto& machine : machines_) {
    if (machine.zone == zone) ids.push_back(machine.id);
  }
  return ids;
}

void ZoneMesh::sendHeartbeats(Machine& machine) {
  network.call(machine.id, [this, &machine] {
    sidecar::Heartbeat heartbeat;
    heartbeat.incarnation.id = "i-" + machine.name;
    heartbeat.service = kService;
    heartbeat.slots = 6;
    heartbeat.sequence = ++machine.sequence;
    sidecarAt(machine.id).onHeartbeat(heartbeat, network.now());
  });
  network.at(network.now() + milliseconds(1'500), [this, &machine] { sendHeartbeats(machine); });
}

void ZoneMesh::sendCalls(Machine& machine) {
  network.at(network.now() + random_.uniform(milliseconds(0), milliseconds(80)), [this, &machine] {
    network.call(machine.id, [this, &machine] {
      sidecar::Call call;
      call.host = kHost;
      call.request.caller_service = kService;
      call.request.target = "/" + std::to_string(next_call_);
      call.request.method = "POST";
      call.request.request_id = std::to_string(next_call_);
      sidecarAt(machine.id).onCall(sidecar::CallId{next_call_++}, std::move(call), network.now());
    });
    sendCalls(machine);
  });
}

void ZoneMesh::Machine::run(sidecar::RunRequest order) {
  running.insert(order.id);
  mesh->run_starts_[zone].push_back(mesh->network.now());
  mesh->network.at(mesh->network.now() + mesh->run_time, [this, run = order.id] {
    if (running.erase(run) == 0) return;
    mesh->network.call(id, [this, run] {
      sidecar::RunResult result;
      result.reply.outcome = wire::ForwardOutcome::Answered;
      result.reply.status = 200;
      mesh->sidecarAt(id).onRunResult(run, std::move(result), mesh->network.now());
    });
  });
}

void ZoneMesh::Machine::answer(sidecar::CallId /*id*/, sidecar::CallAnswer answer) {
  if (answer.outcome == sidecar::CallOutcome::Answered) {
    ++mesh->answered;
  } else if (answer.outcome == sidecar::CallOutcome::NotRun) {
    ++mesh->refused;
  } else {
    ++mesh->failed;
  }
}

void ZoneMesh::orderAt(ProcessId store, const std::string& zone, bool is_evacuated) {
  network.call(store, [this, store, zone, is_evacuated] {
    wire::EvacuationOrderT order;
    order.zone = zone;
    order.is_evacuated = is_evacuated;
    store_group_.at(store).orderEvacuation(
        order, [this](const store::EvacuationAnswer& result) { answer = result.kind; }, network.now());
  });
}

bool ZoneMesh::orderUntilDone(const std::string& zone, bool is_evacuated, Duration limit) {
  for (const TimePoint end = network.now() + limit; network.now() < end;) {
    answer.reset();
    if (const auto store = leader()) orderAt(*store, zone, is_evacuated);
    network.runFor(kOrderRetryInterval);
    if (answer == store::EvacuationAnswerKind::Done) return true;
  }
  return false;
}

std::size_t ZoneMesh::runsStartedIn(const std::string& zone, TimePoint since) const {
  const auto found = run_starts_.find(zone);
  if (found == run_starts_.end()) return 0;
  const auto first = std::lower_bound(found->second.begin(), found->second.end(), since);
  return static_cast<std::size_t>(std::distance(first, found->second.end()));
}

}  // namespace cometstand::evacuation::test
