#include "statement_mesh.h"

#include <algorithm>

#include "mesh/configuration.h"

namespace cometstand::limits::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kStores = 3;
constexpr const char* kService = "desk";
constexpr Duration kHeartbeat = milliseconds(300);
/// A response that comes later acknowledges nothing.
constexpr Duration kAcknowledgementTime = seconds(1);
constexpr Duration kStopTime = seconds(4);
constexpr Duration kRestartTime = milliseconds(300);
constexpr std::size_t kFirstMachineAddress = 101;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr const char* kLimitField = "limit";
constexpr const char* kLeavingField = "leaving";
constexpr const char* kStartField = "start";

void addField(wire::ForwardReplyT& reply, const char* name, const std::string& value) {
  auto field = std::make_shared<wire::HttpFieldT>();
  field->name = name;
  field->value = value;
  reply.fields.push_back(std::move(field));
}

std::optional<std::string> findField(const wire::ForwardReplyT& reply, const std::string& name) {
  const auto found = std::find_if(reply.fields.begin(), reply.fields.end(),
                                  [&name](const auto& field) { return field->name == name; });
  return found == reply.fields.end() ? std::nullopt : std::optional((*found)->value);
}

}  // namespace

StatementMesh::StatementMesh(std::uint64_t seed, double calls_per_second)
    : random_(seed),
      stores_(network, random_, kStores),
      mean_pause_(static_cast<Duration::rep>(kMicrosecondsPerSecond / calls_per_second)) {
  stores_.configure(makeConfiguration());
  for (std::size_t i = 0; i < kMachines; ++i) addMachine();
  network.runFor(seconds(2));
  sendCalls();
}

wire::MeshConfigurationT StatementMesh::makeConfiguration() {
  wire::MeshConfigurationT configuration;
  auto route = std::make_shared<wire::MeshRouteT>();
  route->name = "read";
  route->host = "desk.example";
  route->path_prefix = "/read/";
  route->repeatable = true;
  route->timeout_ms = 1'000;
  route->objective_ms = 500;
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

void StatementMesh::addMachine() {
  auto& machine = machines_.emplace_back();
  machine.mesh = this;
  machine.number = machines_.size() - 1;
  machine.start = next_start_++;
  sidecar::SidecarOptions options;
  options.node = "node-" + std::to_string(machine.number);
  options.service = kService;
  options.advertise = rollout::test::addressOf(kFirstMachineAddress + machine.number);
  options.seeds = stores_.seeds();
  machine.process = network.add(options.advertise, [this, options, &machine] {
    machine.running.clear();
    return std::make_unique<sidecar::SidecarCore>(options, random_.uniform(0, UINT64_MAX), machine, machine);
  });
  network.start(machine.process);
  sendHeartbeats(machine);
}

mesh::Incarnation StatementMesh::incarnationOf(const Machine& machine) {
  return {"target-" + std::to_string(machine.number), machine.start + 1};
}

sidecar::LeaveNoticeHandler StatementMesh::acknowledgementFor(const Machine& machine) {
  return [this, start = machine.start, sent_at = network.now()](bool is_committed) {
    const bool is_timely = network.now() < sent_at + kAcknowledgementTime;
    if (is_committed && is_timely) shutdowns_.onAcknowledged(start, network.now());
  };
}

void StatementMesh::sendHeartbeat(Machine& machine) {
  sidecar::Heartbeat heartbeat;
  heartbeat.incarnation = incarnationOf(machine);
  heartbeat.service = kService;
  heartbeat.slots = kSlots;
  heartbeat.ready = machine.announcement == Announcement::Ready;
  heartbeat.sequence = ++machine.sequence;
  const auto handler = heartbeat.ready ? sidecar::LeaveNoticeHandler() : acknowledgementFor(machine);
  const bool is_delayed = delays_heartbeats_ && random_.uniform(0, 4) == 0;
  const Duration delay =
      is_delayed ? random_.uniform(Duration::zero(), kMaxHeartbeatDelay) : Duration::zero();
  network.at(network.now() + delay, [this, &machine, heartbeat, handler] {
    network.call(machine.process, [this, &machine, heartbeat, handler] {
      coreOf(machine).onHeartbeat(heartbeat, network.now(), handler);
    });
  });
}

void StatementMesh::sendDeregistration(Machine& machine) {
  if (shutdowns_.isAcknowledged(machine.start)) return;
  const auto incarnation = incarnationOf(machine);
  const auto handler = acknowledgementFor(machine);
  network.call(machine.process, [this, &machine, incarnation, handler] {
    coreOf(machine).onDeregistered(incarnation, network.now(), handler);
  });
}

void StatementMesh::sendHeartbeats(Machine& machine) {
  if (machine.announcement == Announcement::Deregistered) {
    sendDeregistration(machine);
  } else {
    sendHeartbeat(machine);
  }
  network.at(network.now() + kHeartbeat, [this, &machine] { sendHeartbeats(machine); });
}

void StatementMesh::sendCalls() {
  network.at(network.now() + random_.uniform(Duration::zero(), 2 * mean_pause_), [this] {
    auto& machine = machines_.at(random_.uniform(0, kMachines - 1));
    const std::uint64_t number = next_call_++;
    calls_[number] = {machine.number, network.now()};
    network.call(machine.process, [this, &machine, number] {
      sidecar::Call call;
      call.host = "desk.example";
      call.request.target = "/read/x";
      call.request.method = "GET";
      call.request.request_id = std::to_string(number);
      coreOf(machine).onCall(sidecar::CallId{number}, std::move(call), network.now());
    });
    sendCalls();
  });
}

void StatementMesh::setLimit(MachineNumber machine, std::optional<double> rate) {
  machines_.at(machine).limit = rate;
  checker_.onLimit(machines_.at(machine).start, rate, network.now());
}

void StatementMesh::announceDraining(MachineNumber machine) {
  machines_.at(machine).announcement = Announcement::Draining;
}

void StatementMesh::deregister(MachineNumber machine) {
  machines_.at(machine).announcement = Announcement::Deregistered;
}

void StatementMesh::restartTarget(MachineNumber number) {
  auto& machine = machines_.at(number);
  machine.start = next_start_++;
  machine.limit.reset();
  machine.is_leaving = false;
  machine.announcement = Announcement::Ready;
  machine.sequence = 0;
  machine.running.clear();
}

void StatementMesh::restartSidecar(MachineNumber number, Duration down) {
  const auto process = machines_.at(number).process;
  if (!network.isRunning(process)) return;
  network.crash(process);
  checker_.onRestarted(number);
  network.at(network.now() + down, [this, process] { network.start(process); });
}

void StatementMesh::stopSidecar(MachineNumber number) {
  const auto& machine = machines_.at(number);
  network.call(machine.process, [&] { coreOf(machine).beginStop(network.now()); });
  network.at(network.now() + kStopTime, [this, number] { restartSidecar(number, kRestartTime); });
}

void StatementMesh::suspendSidecar(MachineNumber number, Duration time) {
  network.suspend(machines_.at(number).process, time);
  checker_.onSuspended(number);
  network.at(network.now() + time, [this, number] { checker_.onSuspended(number); });
}

void StatementMesh::cutOff(MachineNumber number, Duration time) {
  network.partition(machines_.at(number).process);
  checker_.onCutOff(number);
  network.at(network.now() + time, [this, number] {
    network.heal(machines_.at(number).process);
    resetLinks(number);
    checker_.onCutOff(number);
  });
}

void StatementMesh::resetLinks(MachineNumber number) {
  const auto process = machines_.at(number).process;
  for (const auto& other : machines_) network.resetLinks(process, other.process);
  for (const auto store : stores_.ids()) network.resetLinks(process, store);
}

void StatementMesh::restartStores(Duration down) {
  for (const auto store : stores_.ids()) {
    if (!network.isRunning(store)) continue;
    network.crash(store);
    network.at(network.now() + down, [this, store] { network.start(store); });
  }
}

void StatementMesh::restartEverything(Duration down) {
  restartStores(down);
  for (MachineNumber machine = 0; machine < kMachines; ++machine) restartSidecar(machine, down);
}

void StatementMesh::Machine::run(sidecar::RunRequest order) {
  const auto& call = mesh->calls_.at(std::stoull(order.request->request_id));
  arrivals.push_back(mesh->network.now());
  mesh->shutdowns_.onArrival(start, mesh->network.now());
  mesh->checker_.onArrival(call.machine, start, call.at, mesh->network.now());
  running.insert(order.id);
  mesh->network.at(mesh->network.now() + kRunTime,
                   [this, run = order.id, started_at = start] { finish(run, started_at); });
}

void StatementMesh::Machine::finish(sidecar::RunId run, StartNumber started_at) {
  if (running.erase(run) == 0) return;
  sidecar::RunResult result;
  if (started_at != start) {
    result.reply.outcome = wire::ForwardOutcome::Unknown;
  } else {
    result.reply.outcome = wire::ForwardOutcome::Answered;
    result.reply.status = 200;
    result.statement = sidecar::TargetStatement{limit, false, is_leaving};
    addField(result.reply, kStartField, std::to_string(start));
    if (limit) addField(result.reply, kLimitField, std::to_string(*limit));
    if (is_leaving) addField(result.reply, kLeavingField, "1");
  }
  mesh->network.call(
      process, [this, run, result] { mesh->coreOf(*this).onRunResult(run, result, mesh->network.now()); });
}

void StatementMesh::Machine::answer(sidecar::CallId id, sidecar::CallAnswer answer) {
  const TimePoint now = mesh->network.now();
  if (answer.outcome != sidecar::CallOutcome::Answered) {
    if (answer.outcome != sidecar::CallOutcome::NotRun) return;
    ++mesh->refused_;
    const Duration held = now - mesh->calls_.at(static_cast<std::uint64_t>(id)).at;
    mesh->longest_refusal_ = std::max(mesh->longest_refusal_, held);
    return;
  }
  ++mesh->answered_;
  const StartNumber target = std::stoull(findField(answer.reply, kStartField).value());
  if (findField(answer.reply, kLimitField)) mesh->checker_.onToldLimit(number, target, now);
  if (findField(answer.reply, kLeavingField)) mesh->checker_.onToldLeaving(number, target, now);
}

}  // namespace cometstand::limits::test
