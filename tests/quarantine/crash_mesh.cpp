#include "crash_mesh.h"

#include <algorithm>

namespace cometstand::quarantine::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "desk";
constexpr const char* kHost = "desk.example";
constexpr unsigned kSlots = 6;
constexpr Duration kHeartbeatInterval = milliseconds(1'500);
constexpr Duration kMinimalDelay = milliseconds(1);
/// Range of the time that a target is down after a crash.
constexpr Duration kMinDowntime = milliseconds(2'500);
constexpr Duration kMaxDowntime = milliseconds(5'000);

wire::MeshConfigurationT makeConfiguration() {
  wire::MeshConfigurationT configuration;
  for (const char* name : {"read", "write"}) {
    auto route = std::make_shared<wire::MeshRouteT>();
    route->name = name;
    route->host = kHost;
    route->path_prefix = std::string("/") + name + "/";
    route->repeatable = route->name == "read";
    route->timeout_ms = 1'500;
    route->objective_ms = 600;
    route->priority = 1;
    route->max_attempts = 2;
    auto share = std::make_shared<wire::TrafficShareT>();
    share->service = kService;
    share->weight = 1;
    route->shares.push_back(share);
    configuration.routes.push_back(route);
  }
  auto service = std::make_shared<wire::MeshServiceT>();
  service->name = kService;
  configuration.services.push_back(service);
  return configuration;
}

}  // namespace

CrashMesh::CrashMesh(std::uint64_t seed, MeshShape shape)
    : random_(seed), shape_(shape), store_group_(network, random_, shape.stores) {
  store_group_.configure(makeConfiguration());
  for (std::size_t i = 0; i < shape_.sidecars; ++i) addSidecar();
  network.runFor(seconds(4));
}

void CrashMesh::addSidecar() {
  auto& machine = machines_.emplace_back();
  machine.mesh = this;
  machine.name = "node-" + std::to_string(machines_.size());
  sidecar::SidecarOptions options;
  options.node = machine.name;
  options.service = kService;
  options.advertise = rollout::test::addressOf(100 + machines_.size());
  options.seeds = store_group_.seeds();
  machine.id = network.add(options.advertise, [this, options, &machine] {
    machine.running.clear();
    machine.calls.clear();
    return std::make_unique<sidecar::SidecarCore>(options, random_.uniform(0, UINT64_MAX), machine, machine);
  });
  sidecars.push_back(machine.id);
  network.start(machine.id);
  startTarget(machine);
  scheduleHeartbeats(machine);
  scheduleCalls(machine);
}

void CrashMesh::startTarget(Machine& machine) {
  machine.is_up = true;
  machine.sequence = 0;
  machine.instance = "i-" + std::to_string(next_instance_++);
  sendHeartbeat(machine);
}

/// All requests at the target end at once with an unknown outcome.
void CrashMesh::crashTarget(Machine& machine) {
  if (!machine.is_up) return;
  machine.is_up = false;
  const auto running = machine.running;
  for (const auto& [run, cancelled_run] : running)
    reportResult(machine, run, wire::ForwardOutcome::Unknown, Duration::zero());
  const Duration downtime = random_.uniform(kMinDowntime, kMaxDowntime);
  network.at(network.now() + downtime, [this, &machine] { startTarget(machine); });
}

void CrashMesh::crashTargets(std::size_t count) {
  for (std::size_t i = 0; i < std::min(count, machines_.size()); ++i) crashTarget(machines_[i]);
}

void CrashMesh::sendHeartbeat(Machine& machine) {
  if (!machine.is_up) return;
  network.call(machine.id, [this, &machine] {
    sidecar::Heartbeat heartbeat;
    heartbeat.incarnation.id = machine.instance;
    heartbeat.service = kService;
    heartbeat.version = "v1";
    heartbeat.slots = kSlots;
    heartbeat.sequence = ++machine.sequence;
    sidecarAt(machine.id).onHeartbeat(heartbeat, network.now());
  });
}

void CrashMesh::scheduleHeartbeats(Machine& machine) {
  network.at(network.now() + kHeartbeatInterval, [this, &machine] {
    sendHeartbeat(machine);
    scheduleHeartbeats(machine);
  });
}

std::string CrashMesh::randomPath() {
  constexpr std::uint64_t kKinds = 4;
  const auto kind = random_.uniform(0, kKinds - 1);
  if (kind == 0) return "/write/" + std::to_string(next_call_);
  if (kind == 1) return "/read/" + std::to_string(random_.uniform(1, shape_.contents));
  return "/read/popular";
}

void CrashMesh::scheduleCalls(Machine& machine) {
  const Duration pause = random_.uniform(Duration::zero(), 2 * shape_.call_interval);
  network.at(network.now() + pause, [this, &machine] {
    call(machine, randomPath());
    scheduleCalls(machine);
  });
}

void CrashMesh::call(Machine& machine, const std::string& path) {
  network.call(machine.id, [this, &machine, path] {
    const sidecar::CallId id{next_call_};
    sidecar::Call call;
    call.host = kHost;
    call.request.caller_service = kService;
    call.request.target = path;
    call.request.method = "GET";
    call.request.request_id = std::to_string(next_call_++);
    machine.calls[id] = path;
    sidecarAt(machine.id).onCall(id, std::move(call), network.now());
  });
}

void CrashMesh::sendOnce(const std::string& path) {
  call(machines_.at(random_.uniform(0, machines_.size() - 1)), path);
}

void CrashMesh::sendRepeatedly(const std::string& path, Duration interval) {
  network.at(network.now() + interval, [this, path, interval] {
    sendOnce(path);
    sendRepeatedly(path, interval);
  });
}

void CrashMesh::reportResult(Machine& machine, sidecar::RunId run, wire::ForwardOutcome outcome,
                             Duration after) {
  network.at(network.now() + after, [this, &machine, run, outcome] {
    if (machine.running.erase(run) == 0) return;
    network.call(machine.id, [this, &machine, run, outcome] {
      sidecar::RunResult result;
      result.reply.outcome = outcome;
      if (outcome == wire::ForwardOutcome::Answered) result.reply.status = 200;
      if (outcome == wire::ForwardOutcome::NotRun) result.reply.reason = wire::NotRunReason::TargetDown;
      sidecarAt(machine.id).onRunResult(run, std::move(result), network.now());
    });
  });
}

void CrashMesh::Machine::run(sidecar::RunRequest order) {
  const auto& path = order.request->target;
  running[order.id] = {path};
  if (!is_up || order.instance != instance) {
    mesh->reportResult(*this, order.id, wire::ForwardOutcome::NotRun, kMinimalDelay);
    return;
  }
  mesh->records_[path].begun.push_back(mesh->network.now());
  const Duration time = mesh->random_.uniform(milliseconds(60), milliseconds(180));
  if (!mesh->poison_.contains(path)) {
    mesh->reportResult(*this, order.id, wire::ForwardOutcome::Answered, time);
    return;
  }
  mesh->network.at(mesh->network.now() + time, [this, path, victim = instance] {
    if (victim != instance || !is_up) return;
    mesh->records_[path].ended.push_back(mesh->network.now());
    mesh->crashTarget(*this);
  });
}

void CrashMesh::Machine::probe() {
  mesh->network.at(mesh->network.now() + kMinimalDelay, [this] {
    const auto outcome = is_up ? sidecar::ProbeOutcome::Accepted : sidecar::ProbeOutcome::Refused;
    mesh->network.call(id, [this, outcome] { mesh->sidecarAt(id).onProbed(outcome, mesh->network.now()); });
  });
}

void CrashMesh::Machine::answer(sidecar::CallId id, sidecar::CallAnswer answer) {
  const auto found = calls.find(id);
  if (found == calls.end()) return;
  auto& record = mesh->records_[found->second];
  calls.erase(found);
  switch (answer.outcome) {
    case sidecar::CallOutcome::Answered:
      ++record.answered;
      return;
    case sidecar::CallOutcome::NotRun:
      ++record.not_run;
      return;
    case sidecar::CallOutcome::Quarantined:
      ++record.quarantined;
      return;
    default:
      ++record.failed;
      return;
  }
}

std::size_t CrashMesh::begunAfterThirdCrash(const std::string& path, Duration after) {
  constexpr std::size_t kThird = 2;
  const auto& record = records_[path];
  if (record.ended.size() <= kThird) return 0;
  const TimePoint bound = record.ended[kThird] + after;
  return static_cast<std::size_t>(std::count_if(record.begun.begin(), record.begun.end(),
                                                [bound](TimePoint begun) { return begun > bound; }));
}

CrashMesh::PathRecord CrashMesh::harmlessRequests() const {
  PathRecord sum;
  for (const auto& [path, record] : records_) {
    if (!record.ended.empty()) continue;
    sum.answered += record.answered;
    sum.not_run += record.not_run;
    sum.failed += record.failed;
    sum.quarantined += record.quarantined;
  }
  return sum;
}

}  // namespace cometstand::quarantine::test
