#include "quota_mesh.h"

#include <algorithm>

#include "mesh/configuration.h"
#include "mesh/tenant_table.h"
#include "store/quota_ledger.h"

namespace cometstand::quota::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kStores = 3;
constexpr unsigned kSlots = 40;
constexpr const char* kService = "desk";
constexpr Duration kHeartbeat = milliseconds(1'500);
/// Interval between moves of the hot spot.
constexpr Duration kHotSpotInterval = milliseconds(900);
constexpr std::uint64_t kHotSpotPercent = 60;
/// Time within which a configuration takes effect on all reachable machines.
constexpr Duration kConfigurationApplyTime = seconds(2);
constexpr double kMicrosecondsPerSecond = 1e6;

std::string keyOf(const std::string& tenant) { return "key-of-" + tenant; }

}  // namespace

QuotaMesh::QuotaMesh(std::uint64_t seed, std::vector<TenantLoad> tenants)
    : random_(seed), store_group_(network, random_, kStores), tenants_(std::move(tenants)) {
  for (const auto& tenant : tenants_)
    limits_[tenant.name].push_back({network.now(), network.now(), tenant.requests_per_second, tenant.burst});
  store_group_.configure(makeConfiguration());
  for (std::size_t i = 0; i < kSidecars; ++i) addSidecar();
  // Lets all tokens of earlier leaderships expire and the buckets fill.
  network.runFor(seconds(4));
}

wire::MeshConfigurationT QuotaMesh::makeConfiguration() const {
  wire::MeshConfigurationT configuration;
  auto route = std::make_shared<wire::MeshRouteT>();
  route->name = "read";
  route->host = "desk.example";
  route->path_prefix = "/read/";
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
  configuration.requires_key = true;
  for (const auto& load : tenants_) {
    auto tenant = std::make_shared<wire::MeshTenantT>();
    tenant->name = load.name;
    tenant->key_digests.push_back(*mesh::writeDigest(mesh::digestOfKey(keyOf(load.name))));
    tenant->priority = 1;
    tenant->requests_per_second = limits_.at(load.name).back().requests_per_second;
    tenant->burst = limits_.at(load.name).back().burst;
    configuration.tenants.push_back(tenant);
  }
  return configuration;
}

void QuotaMesh::addSidecar() {
  auto& machine = machines_.emplace_back();
  machine.mesh = this;
  machine.number = machines_.size() - 1;
  sidecar::SidecarOptions options;
  options.node = "node-" + std::to_string(machine.number);
  options.service = kService;
  options.advertise = rollout::test::addressOf(100 + machines_.size());
  options.seeds = store_group_.seeds();
  machine.id = network.add(options.advertise, [this, options, &machine] {
    machine.running.clear();
    return std::make_unique<sidecar::SidecarCore>(options, random_.uniform(0, UINT64_MAX), machine, machine);
  });
  sidecars_.push_back(machine.id);
  network.start(machine.id);
  sendHeartbeats(machine);
}

void QuotaMesh::sendHeartbeats(Machine& machine) {
  network.call(machine.id, [&] {
    sidecar::Heartbeat heartbeat;
    heartbeat.incarnation.id = "target-" + std::to_string(machine.number);
    heartbeat.service = kService;
    heartbeat.slots = kSlots;
    heartbeat.sequence = ++machine.sequence;
    coreOf(machine).onHeartbeat(heartbeat, network.now());
  });
  network.at(network.now() + kHeartbeat, [this, &machine] { sendHeartbeats(machine); });
}

void QuotaMesh::startCalls() {
  for (const auto& load : tenants_) sendCalls(load);
  moveHotSpot();
}

void QuotaMesh::moveHotSpot() {
  hot_spot_ = random_.uniform(0, kSidecars - 1);
  network.at(network.now() + kHotSpotInterval, [this] { moveHotSpot(); });
}

QuotaMesh::Machine& QuotaMesh::pickMachine() {
  if (!target_sidecars_.empty())
    return machines_.at(target_sidecars_.at(random_.uniform(0, target_sidecars_.size() - 1)));
  const bool is_to_hot_spot = random_.uniform(1, 100) <= kHotSpotPercent;
  return machines_.at(is_to_hot_spot ? hot_spot_ : random_.uniform(0, kSidecars - 1));
}

void QuotaMesh::sendCalls(const TenantLoad& load) {
  const Duration mean(static_cast<Duration::rep>(kMicrosecondsPerSecond / load.offered_per_second));
  network.at(network.now() + random_.uniform(Duration::zero(), 2 * mean), [this, &load] {
    auto& machine = pickMachine();
    network.call(machine.id, [&] {
      sidecar::Call call;
      call.host = "desk.example";
      call.key = mesh::digestOfKey(keyOf(load.name));
      call.request.target = "/read/x";
      call.request.method = "GET";
      call.request.request_id = std::to_string(next_call_);
      tenant_of_call_[next_call_] = load.name;
      coreOf(machine).onCall(sidecar::CallId{next_call_++}, std::move(call), network.now());
    });
    sendCalls(load);
  });
}

bool QuotaMesh::setLimit(const std::string& tenant, double requests_per_second, double burst) {
  const auto store = leader();
  if (!store) return false;
  limits_[tenant].push_back({network.now(), std::nullopt, requests_per_second, burst});
  const std::size_t index = limits_[tenant].size() - 1;
  wire::MeshChangeT change;
  change.revision = revision_ + 1;
  change.base_revision = revision_;
  change.document = {1};
  change.configuration = mesh::encodeConfiguration(makeConfiguration());
  change.digest = std::make_shared<wire::Digest>(change.revision, 1);
  // The call is deferred while the store is suspended.
  network.call(*store, [this, store = *store, change, tenant, index] {
    store_group_.at(store).changeMesh(
        change,
        [this, tenant, index, revision = change.revision](const store::MeshAnswer& answer) {
          if (answer.kind != store::MeshAnswerKind::Done) return;
          revision_ = revision;
          limits_[tenant].at(index).acknowledged_at = network.now();
        },
        network.now());
  });
  return true;
}

double QuotaMesh::boundAt(const std::string& tenant, TimePoint begin, TimePoint end) const {
  const store::QuotaBounds bounds;
  const double window = std::chrono::duration<double>(bounds.window).count();
  double max_requests = 0;
  TimePoint replaced = TimePoint::max();
  const auto& changes = limits_.at(tenant);
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    // A limit may be in force as soon as it is sent. The previous limit counts for one more window.
    const bool is_over =
        replaced != TimePoint::max() && replaced + kConfigurationApplyTime + bounds.window <= begin;
    if (change->sent_at <= end && !is_over)
      max_requests = std::max(max_requests, change->requests_per_second * window + change->burst);
    if (change->acknowledged_at) replaced = std::min(replaced, *change->acknowledged_at);
  }
  return max_requests * (1 + bounds.overshoot) + bounds.slack;
}

double QuotaMesh::maxExcess(const std::string& tenant) {
  auto& ran = accounts_[tenant].ran;
  std::sort(ran.begin(), ran.end());
  const store::QuotaBounds bounds;
  double max_excess = -bounds.slack;
  std::size_t first = 0;
  for (std::size_t last = 0; last < ran.size(); ++last) {
    while (ran[last] - ran[first] > bounds.window) ++first;
    max_excess =
        std::max(max_excess, static_cast<double>(last - first + 1) - boundAt(tenant, ran[first], ran[last]));
  }
  return max_excess;
}

void QuotaMesh::Machine::run(sidecar::RunRequest order) {
  running.insert(order.id);
  const std::uint64_t call = std::stoull(order.request->request_id);
  mesh->ran_.insert(call);
  mesh->accounts_[order.request->tenant].ran.push_back(mesh->network.now());
  mesh->network.at(mesh->network.now() + kRunTime, [this, run = order.id] {
    if (running.erase(run) == 0) return;
    mesh->network.call(id, [&] {
      sidecar::RunResult result;
      result.reply.outcome = wire::ForwardOutcome::Answered;
      result.reply.status = 200;
      mesh->coreOf(*this).onRunResult(run, std::move(result), mesh->network.now());
    });
  });
}

void QuotaMesh::Machine::answer(sidecar::CallId id, sidecar::CallAnswer answer) {
  const auto call = static_cast<std::uint64_t>(id);
  auto& account = mesh->accounts_[mesh->tenant_of_call_.at(call)];
  const bool is_over = answer.outcome == sidecar::CallOutcome::OverQuota;
  const bool is_refused = is_over || answer.outcome == sidecar::CallOutcome::NotRun;
  if (is_refused && mesh->ran_.contains(call)) ++account.refused_though_run;
  if (answer.outcome == sidecar::CallOutcome::Answered) {
    ++account.answered;
  } else if (is_over) {
    ++account.over_quota;
  } else {
    ++account.other;
  }
}

}  // namespace cometstand::quota::test
