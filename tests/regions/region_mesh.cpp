#include "region_mesh.h"

#include "mesh/configuration.h"

namespace cometstand::regions::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kStores = 3;
constexpr unsigned kSlots = 6;
constexpr Duration kHeartbeatInterval = milliseconds(1'500);
constexpr Duration kRunTime = milliseconds(100);
constexpr Duration kCrossRegionLatency = milliseconds(30);
/// Time after which the kernel closes a connection with unacknowledged bytes.
constexpr Duration kConnectionTimeout = seconds(2);
constexpr std::size_t kSmallAnswerBytes = 400;
constexpr std::size_t kFrameBytes = 300;

Duration durationOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::size_t sizeOf(const wire::EnvelopeT& message) {
  if (const auto* reply = message.body.AsForwardReply()) return kFrameBytes + reply->body.size();
  if (const auto* request = message.body.AsForwardRequest()) return kFrameBytes + request->body.size();
  return kFrameBytes;
}

}  // namespace

RegionMesh::RegionMesh(MeshSetup setup)
    : setup_(std::move(setup)), random_(setup_.seed), stores_(network, random_, kStores) {
  network.setMessageDelay([this](ProcessId from, ProcessId to, const wire::EnvelopeT& message) {
    return latencyOf(from, to, message);
  });
  restrictTo(setup_.restricted_regions);
  for (std::size_t i = 0; i < kSidecarsPerRegion; ++i) {
    addMachine("east");
    addMachine("west");
  }
  network.runFor(seconds(6));
  resetCounters();
}

wire::MeshConfigurationT RegionMesh::makeConfiguration() const {
  wire::MeshConfigurationT configuration;
  for (const char* name : {"read", "large", "kept"}) {
    auto route = std::make_shared<wire::MeshRouteT>();
    route->name = name;
    route->host = "desk.example";
    route->path_prefix = std::string("/") + name + "/";
    route->repeatable = true;
    route->timeout_ms = 2'000;
    route->objective_ms = 1'000;
    route->priority = route->name == "large" ? 2 : 1;
    route->max_attempts = 2;
    auto share = std::make_shared<wire::TrafficShareT>();
    share->service = "desk";
    share->weight = 1;
    route->shares.push_back(share);
    if (route->name == "kept") route->regions = setup_.restricted_regions;
    configuration.routes.push_back(route);
  }
  auto service = std::make_shared<wire::MeshServiceT>();
  service->name = "desk";
  configuration.services.push_back(service);
  return configuration;
}

void RegionMesh::restrictTo(std::vector<std::string> regions) {
  setup_.restricted_regions = std::move(regions);
  stores_.configure(makeConfiguration(), revision_);
  ++revision_;
}

void RegionMesh::addMachine(const std::string& region) {
  auto& machine = machines_.emplace_back();
  machine.mesh = this;
  machine.region = region;
  machine.name = region + std::to_string(machines_.size());
  sidecar::SidecarOptions options;
  options.node = machine.name;
  options.zone = region + "-a";
  options.zones = mesh::ZoneMap({"east-a=east", "west-a=west"});
  options.region_link_bandwidth = setup_.configured_link_bandwidth;
  options.service = "desk";
  options.advertise = rollout::test::addressOf(100 + machines_.size());
  options.seeds = stores_.seeds();
  machine.id = network.add(options.advertise, [this, options, &machine] {
    return std::make_unique<sidecar::SidecarCore>(options, random_.uniform(0, UINT64_MAX), machine, machine);
  });
  regions_[machine.id] = region;
  network.start(machine.id);
  scheduleHeartbeats(machine);
  scheduleCalls(machine);
}

void RegionMesh::scheduleHeartbeats(Machine& machine) {
  network.call(machine.id, [&] {
    sidecar::Heartbeat heartbeat;
    heartbeat.incarnation.id = machine.name;
    heartbeat.service = "desk";
    heartbeat.slots = kSlots;
    heartbeat.ready = true;
    heartbeat.sequence = ++machine.sequence;
    sidecarOf(machine).onHeartbeat(heartbeat, network.now());
  });
  network.at(network.now() + kHeartbeatInterval, [this, &machine] { scheduleHeartbeats(machine); });
}

std::string RegionMesh::drawRoute() {
  const auto drawn = random_.uniform(0, 9);
  if (drawn < 2) return "large";
  return drawn < 4 && !setup_.restricted_regions.empty() ? "kept" : "read";
}

void RegionMesh::scheduleCalls(Machine& machine) {
  const Duration mean = durationOf(1 / setup_.calls_per_second.at(machine.region));
  network.at(network.now() + random_.uniform(Duration::zero(), 2 * mean), [this, &machine] {
    network.call(machine.id, [&] {
      const auto route = drawRoute();
      const sidecar::CallId id{next_call_++};
      machine.calls[id] = route;
      sidecar::Call call;
      call.host = "desk.example";
      call.request.target = "/" + route + "/x";
      call.request.method = "GET";
      call.request.request_id = std::to_string(next_call_);
      sidecarOf(machine).onCall(id, std::move(call), network.now());
    });
    scheduleCalls(machine);
  });
}

void RegionMesh::Machine::run(sidecar::RunRequest order) {
  running.insert(order.id);
  const bool is_large = order.request->target.starts_with("/large/");
  if (order.request->target.starts_with("/kept/")) {
    ++mesh->restricted_runs[region];
    // A sidecar that has just started has no configuration yet and accepts the senders' choice of region.
    const auto& routes = mesh->sidecarOf(*this).routes();
    const auto route = routes == nullptr ? nullptr : routes->findByName("kept");
    if (route != nullptr && !mesh::isAllowedRegion(route->regions, region)) ++mesh->disallowed_runs;
  }
  const Duration time = mesh->random_.uniform(kRunTime / 2, kRunTime * 3 / 2);
  mesh->network.at(mesh->network.now() + time, [this, run = order.id, is_large] {
    if (running.erase(run) == 0) return;
    mesh->network.call(id, [&] {
      sidecar::RunResult result;
      result.reply.outcome = wire::ForwardOutcome::Answered;
      result.reply.status = 200;
      result.reply.body.resize(is_large ? mesh->setup_.large_answer_bytes : kSmallAnswerBytes);
      mesh->sidecarOf(*this).onRunResult(run, std::move(result), mesh->network.now());
    });
  });
}

void RegionMesh::Machine::answer(sidecar::CallId call, sidecar::CallAnswer answer) {
  auto& outcomes = mesh->outcomes_[{region, calls.at(call)}];
  calls.erase(call);
  if (answer.outcome == sidecar::CallOutcome::Answered) {
    ++outcomes.answered;
  } else if (answer.outcome == sidecar::CallOutcome::NotRun) {
    ++outcomes.not_run;
  } else {
    ++outcomes.other;
  }
}

void RegionMesh::setPartitioned(bool is_partitioned) {
  is_partitioned_ = is_partitioned;
  if (is_partitioned) {
    network.at(network.now() + kConnectionTimeout, [this] { resetCrossRegionLinks(); });
  } else {
    resetCrossRegionLinks();
  }
}

void RegionMesh::resetCrossRegionLinks() {
  std::vector<ProcessId> ids = stores_.ids();
  for (const auto& machine : machines_) ids.push_back(machine.id);
  for (const ProcessId left : ids) {
    for (const ProcessId right : ids) {
      if (regionOf(left) != regionOf(right)) network.resetLinks(left, right);
    }
  }
}

void RegionMesh::resetCounters() {
  cross_region_requests = 0;
  outcomes_.clear();
  restricted_runs.clear();
  bytes_sent_by_region.clear();
  max_queue_time = Duration::zero();
}

OutcomeCounts RegionMesh::outcomes(const std::string& region, const std::string& route) const {
  const auto found = outcomes_.find({region, route});
  return found == outcomes_.end() ? OutcomeCounts() : found->second;
}

OutcomeCounts RegionMesh::outcomes(const std::string& region) const {
  OutcomeCounts sum;
  for (const char* route : {"read", "large", "kept"}) {
    const auto part = outcomes(region, route);
    sum.answered += part.answered;
    sum.not_run += part.not_run;
    sum.other += part.other;
  }
  return sum;
}

std::string RegionMesh::regionOf(ProcessId id) const {
  const auto known = regions_.find(id);
  return known == regions_.end() ? "east" : known->second;
}

std::optional<Duration> RegionMesh::latencyOf(ProcessId from, ProcessId to, const wire::EnvelopeT& message) {
  const auto region = regionOf(from);
  if (region == regionOf(to)) return Duration::zero();
  if (is_partitioned_) return std::nullopt;
  if (message.body.AsForwardRequest() != nullptr) ++cross_region_requests;
  const auto bytes = static_cast<double>(sizeOf(message));
  bytes_sent_by_region[region] += bytes;
  auto& free_at = link_free_at_[region];
  const TimePoint begin = std::max(network.now(), free_at);
  max_queue_time = std::max(max_queue_time, begin - network.now());
  free_at = begin + durationOf(bytes / setup_.link_bandwidth);
  return kCrossRegionLatency + (free_at - network.now());
}

}  // namespace cometstand::regions::test
