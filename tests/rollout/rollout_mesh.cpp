#include "rollout_mesh.h"

#include <algorithm>
#include <stdexcept>

namespace cometstand::rollout::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kStores = 3;
constexpr std::size_t kSidecars = 8;
constexpr unsigned kSlots = 6;
constexpr Duration kHeartbeat = milliseconds(1'500);
constexpr Duration kColdTime = seconds(2);
/// Between two requests of one sidecar's callers, on average.
constexpr Duration kCallInterval = milliseconds(20);
constexpr std::size_t kBadAnswers = 50;
constexpr double kThousand = 1'000;

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
    : random_(seed), new_version_(std::move(new_version)), store_group_(network, random_, kStores) {
  store_group_.configure(makeConfiguration(new_version_.route_timeout));
  for (std::size_t i = 0; i < kSidecars; ++i) old_sidecars.push_back(addSidecar("v1"));
  network.runFor(seconds(4));
  watchState();
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
  beat(machine, version == "v1" ? Duration::zero() : kColdTime);
  keepBeating(machine);
  keepCalling(machine);
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
  for (std::size_t i = 0; i < kSidecars; ++i) {
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

void RolloutMesh::beat(Machine& machine, Duration cold) {
  network.call(machine.id, [&] {
    sidecar::Heartbeat heartbeat;
    heartbeat.incarnation.id = machine.instance;
    heartbeat.service = kService;
    heartbeat.version = machine.version;
    heartbeat.slots = kSlots;
    heartbeat.sequence = ++machine.sequence;
    heartbeat.cold_remaining = cold;
    sidecarAt(machine.id).onHeartbeat(heartbeat, network.now());
  });
}

void RolloutMesh::keepBeating(Machine& machine) {
  network.at(network.now() + kHeartbeat, [this, &machine] {
    beat(machine, Duration::zero());
    keepBeating(machine);
  });
}

void RolloutMesh::keepCalling(Machine& machine) {
  const Duration pause = random_.uniform(Duration::zero(), 2 * kCallInterval);
  network.at(network.now() + pause, [this, &machine] {
    network.call(machine.id, [&] {
      sidecar::Call call;
      call.host = "desk.example";
      call.request.target = random_.uniform(0, 2) == 0 ? "/write/x" : "/read/x";
      call.request.method = "GET";
      call.request.request_id = std::to_string(next_call_);
      sidecarAt(machine.id).onCall(sidecar::CallId{next_call_++}, std::move(call), network.now());
    });
    keepCalling(machine);
  });
}

/// Looks at every store: what any of them would tell an operator counts as said.
void RolloutMesh::watchState() {
  for (const auto id : stores()) {
    if (!network.isRunning(id)) continue;
    const auto record = storeAt(id).stateMachine().rollouts().find(kService);
    if (record != nullptr) noteState(record->phase);
  }
  network.at(network.now() + milliseconds(1), [this] { watchState(); });
}

void RolloutMesh::noteState(wire::RolloutPhase phase) {
  if (phase == wire::RolloutPhase::RolledBack) rolled_back_ = true;
  if (phase != wire::RolloutPhase::Succeeded || std::exchange(succeeded_, true)) return;
  for (const auto& machine : machines_) {
    if (machine.version == "v1" && !cut_off.contains(machine.id))
      observed.at_old_after_success += machine.running.size();
  }
}

void RolloutMesh::noteBegun(const Machine& machine) {
  if (cut_off.contains(machine.id)) return;
  const TimePoint now = network.now();
  const bool is_new = machine.version == "v2";
  if (duration != Duration::zero() && now <= ordered_at + duration) {
    ++observed.all_since_order;
    if (is_new) ++observed.new_since_order;
  }
  if (is_new) observed.last_new = now;
  if (succeeded_ && !is_new) ++observed.at_old_after_success;
  if (rolled_back_ && is_new) ++observed.at_new_after_rollback;
}

bool RolloutMesh::isPoor(const Machine& machine, const wire::ForwardRequestT& request) const {
  if (machine.version == "v1" || !new_version_.isBad()) return false;
  const bool is_time = network.now() >= ordered_at + new_version_.bad_after;
  const bool is_load = machine.running.size() >= new_version_.bad_from_load;
  const bool is_route =
      new_version_.bad_route.empty() || request.target.starts_with("/" + new_version_.bad_route + "/");
  return is_time && is_load && is_route;
}

void RolloutMesh::Machine::run(sidecar::RunRequest order) {
  running.insert(order.id);
  mesh->noteBegun(*this);
  const bool is_poor = mesh->isPoor(*this, *order.request);
  const double factor = (is_poor ? mesh->new_version_.slowness : 1) *
                        static_cast<double>(mesh->random_.uniform(500, 1'500)) / kThousand;
  const bool fails =
      is_poor && static_cast<double>(mesh->random_.uniform(0, 999)) / kThousand < mesh->new_version_.failing;
  const auto& behaviour = mesh->new_version_;
  const bool may_be_long = behaviour.long_run_every != 0 && mesh->long_runs_at.value_or(id) == id;
  const bool is_long = may_be_long && mesh->random_.uniform(1, behaviour.long_run_every) == 1;
  const auto time =
      is_long ? behaviour.long_run_time : std::chrono::duration_cast<Duration>(behaviour.run_time * factor);
  mesh->network.at(mesh->network.now() + time, [this, run = order.id, fails, is_poor] {
    if (!running.contains(run)) return;
    if (is_poor && (fails || mesh->new_version_.slowness > 1) &&
        ++mesh->observed.bad_answers == kBadAnswers) {
      mesh->observed.fiftieth_bad = mesh->network.now();
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
