#include "rollout_mesh.h"

#include <algorithm>
#include <stdexcept>

namespace cometstand::rollout::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kStoreCount = 3;
constexpr std::size_t kSidecarCount = 8;
constexpr unsigned kSlotsPerTarget = 6;
constexpr Duration kHeartbeatInterval = milliseconds(1'500);
constexpr Duration kColdTime = seconds(2);
/// Mean time between two requests of the callers of one sidecar.
constexpr Duration kMeanCallInterval = milliseconds(20);
constexpr std::size_t kFaultyResponses = 50;
constexpr double kPerMille = 1'000;

wire::MeshConfigurationT makeConfiguration(Duration route_timeout) {
  wire::MeshConfigurationT configuration;
  for (const char* name : {"read", "write"}) {
    auto route = std::make_shared<wire::MeshRouteT>();
    route->name = name;
    route->host = "desk.example";
    route->path_prefix = std::string("/") + name + "/";
    route->repeatable = route->name == "read";
    route->timeout_ms = static_cast<std::uint32_t>(ceilMilliseconds(route_timeout));
    route->objective_ms = 800;
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

RolloutMesh::RolloutMesh(std::uint64_t seed, Behaviour new_version)
    : random_(seed), new_version_(std::move(new_version)), store_group_(network, random_, kStoreCount) {
  store_group_.configure(makeConfiguration(new_version_.route_timeout));
  for (std::size_t i = 0; i < kSidecarCount; ++i) old_sidecars.push_back(addSidecar("v1"));
  network.runFor(seconds(4));
  pollPhases();
}

ProcessId RolloutMesh::addSidecar(const std::string& version) {
  auto& machine = machines_.emplace_back();
  machine.mesh = this;
  machine.version = version;
  machine.instance = version + "-" + std::to_string(machines_.size());
  sidecar::SidecarOptions options;
  options.node = machine.instance;
  options.service = kService;
  options.advertise = addressOf(100 + machines_.size());
  options.seeds = store_group_.seeds();
  machine.id = network.add(options.advertise, [this, options, &machine] {
    machine.running.clear();
    return std::make_unique<sidecar::SidecarCore>(options, random_.uniform(0, UINT64_MAX), machine, machine);
  });
  network.start(machine.id);
  sendHeartbeat(machine, version == "v1" ? Duration::zero() : kColdTime);
  scheduleHeartbeats(machine);
  scheduleCalls(machine);
  return machine.id;
}

void RolloutMesh::order(Duration time) {
  duration = time;
  const auto id = store_group_.requireLeader();
  wire::RolloutOrderT order;
  order.service = kService;
  order.version = "v2";
  order.duration_ms = static_cast<std::uint32_t>(ceilMilliseconds(time));
  bool is_done = false;
  network.call(id, [&] {
    storeAt(id).orderRollout(
        order,
        [&is_done](const store::RolloutAnswer& answer) {
          is_done = answer.kind == store::RolloutAnswerKind::Done;
        },
        network.now());
  });
  ordered_at = network.now();
  network.runFor(milliseconds(100));
  if (!is_done) throw std::logic_error("the order was not acknowledged");
  for (std::size_t i = 0; i < kSidecarCount; ++i) {
    network.at(network.now() + milliseconds(100 * i), [this] { new_sidecars.push_back(addSidecar("v2")); });
  }
}

std::optional<wire::RolloutPhase> RolloutMesh::phase() {
  const auto id = leader();
  if (!id) return std::nullopt;
  const auto record = storeAt(*id).stateMachine().rollouts().find(kService);
  return record == nullptr ? std::nullopt : std::optional(record->phase);
}

const std::set<sidecar::RunId>& RolloutMesh::runsAt(ProcessId sidecar) const {
  return std::find_if(machines_.begin(), machines_.end(),
                      [sidecar](const auto& machine) { return machine.id == sidecar; })
      ->running;
}

std::string RolloutMesh::reason() {
  const auto id = leader();
  const auto record = id ? storeAt(*id).stateMachine().rollouts().find(kService) : nullptr;
  return record == nullptr ? "" : record->reason;
}

void RolloutMesh::sendHeartbeat(Machine& machine, Duration cold_time) {
  network.call(machine.id, [&] {
    sidecar::Heartbeat heartbeat;
    heartbeat.incarnation.id = machine.instance;
    heartbeat.service = kService;
    heartbeat.version = machine.version;
    heartbeat.slots = kSlotsPerTarget;
    heartbeat.sequence = ++machine.sequence;
    heartbeat.cold_remaining = cold_time;
    sidecarAt(machine.id).onHeartbeat(heartbeat, network.now());
  });
}

void RolloutMesh::scheduleHeartbeats(Machine& machine) {
  network.at(network.now() + kHeartbeatInterval, [this, &machine] {
    sendHeartbeat(machine, Duration::zero());
    scheduleHeartbeats(machine);
  });
}

void RolloutMesh::scheduleCalls(Machine& machine) {
  const Duration pause = random_.uniform(Duration::zero(), 2 * kMeanCallInterval);
  network.at(network.now() + pause, [this, &machine] {
    network.call(machine.id, [&] {
      sidecar::Call call;
      call.host = "desk.example";
      call.request.target = random_.uniform(0, 2) == 0 ? "/write/x" : "/read/x";
      call.request.method = "GET";
      call.request.request_id = std::to_string(next_call_);
      sidecarAt(machine.id).onCall(sidecar::CallId{next_call_++}, std::move(call), network.now());
    });
    scheduleCalls(machine);
  });
}

/// Polls every running store: a phase counts as reported as soon as any of them would report it to an
/// operator.
void RolloutMesh::pollPhases() {
  for (const auto id : stores()) {
    if (!network.isRunning(id)) continue;
    const auto record = storeAt(id).stateMachine().rollouts().find(kService);
    if (record != nullptr) recordPhase(record->phase);
  }
  network.at(network.now() + milliseconds(1), [this] { pollPhases(); });
}

void RolloutMesh::recordPhase(wire::RolloutPhase phase) {
  if (phase == wire::RolloutPhase::RolledBack) rolled_back_ = true;
  if (phase != wire::RolloutPhase::Succeeded || std::exchange(succeeded_, true)) return;
  for (const auto& machine : machines_) {
    if (machine.version == "v1" && !partitioned.contains(machine.id))
      observed.old_version_requests_after_success += machine.running.size();
  }
}

void RolloutMesh::recordRunStart(const Machine& machine) {
  if (partitioned.contains(machine.id)) return;
  const TimePoint now = network.now();
  const bool is_new = machine.version == "v2";
  if (duration != Duration::zero() && now <= ordered_at + duration) {
    ++observed.requests_since_order;
    if (is_new) ++observed.new_version_requests_since_order;
  }
  if (is_new) observed.last_new_version_request_at = now;
  if (succeeded_ && !is_new) ++observed.old_version_requests_after_success;
  if (rolled_back_ && is_new) ++observed.new_version_requests_after_rollback;
}

bool RolloutMesh::isFaultyRun(const Machine& machine, const wire::ForwardRequestT& request) const {
  if (machine.version == "v1" || !new_version_.isFaulty()) return false;
  const bool matches_time = network.now() >= ordered_at + new_version_.fault_delay;
  const bool matches_load = machine.running.size() >= new_version_.fault_min_load;
  const bool matches_route =
      new_version_.fault_route.empty() || request.target.starts_with("/" + new_version_.fault_route + "/");
  return matches_time && matches_load && matches_route;
}

void RolloutMesh::Machine::run(sidecar::RunRequest order) {
  running.insert(order.id);
  mesh->recordRunStart(*this);
  const bool is_faulty = mesh->isFaultyRun(*this, *order.request);
  const double factor = (is_faulty ? mesh->new_version_.run_time_factor : 1) *
                        static_cast<double>(mesh->random_.uniform(500, 1'500)) / kPerMille;
  const bool fails = is_faulty && static_cast<double>(mesh->random_.uniform(0, 999)) / kPerMille <
                                      mesh->new_version_.failure_share;
  const auto& behaviour = mesh->new_version_;
  const bool may_run_long = behaviour.long_run_every != 0 && mesh->long_runs_at.value_or(id) == id;
  const bool is_long = may_run_long && mesh->random_.uniform(1, behaviour.long_run_every) == 1;
  const auto time =
      is_long ? behaviour.long_run_time : std::chrono::duration_cast<Duration>(behaviour.run_time * factor);
  mesh->network.at(mesh->network.now() + time, [this, run = order.id, fails, is_faulty] {
    if (!running.contains(run)) return;
    if (is_faulty && (fails || mesh->new_version_.run_time_factor > 1) &&
        ++mesh->observed.faulty_responses == kFaultyResponses) {
      mesh->observed.fiftieth_faulty_response_at = mesh->network.now();
    }
    mesh->finish(*this, run, fails);
  });
}

void RolloutMesh::finish(Machine& machine, sidecar::RunId run, bool fails) {
  machine.running.erase(run);
  network.call(machine.id, [&] {
    sidecar::RunResult result;
    result.reply.outcome = wire::ForwardOutcome::Answered;
    result.reply.status = fails ? 500 : 200;
    sidecarAt(machine.id).onRunResult(run, std::move(result), network.now());
  });
}

}  // namespace cometstand::rollout::test
