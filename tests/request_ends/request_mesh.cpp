#include "request_mesh.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "mesh/configuration.h"
#include "mesh/tenant_table.h"

namespace cometstand::requests::test {
namespace {

using sidecar::CallOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kStores = 3;
constexpr std::size_t kFirstMachineAddress = 101;
constexpr std::size_t kTenants = 6;
constexpr double kTenantRate = 30;
constexpr const char* kService = "desk";
constexpr unsigned kSlots = 3;
constexpr Duration kHeartbeat = milliseconds(300);
/// Sum of the shares of all events.
constexpr std::size_t kAllShares = 200;
constexpr Duration kMaxEventPause = milliseconds(4);
constexpr Duration kMaxDeadline = milliseconds(120);
constexpr Duration kMaxShortDeadline = milliseconds(12);
constexpr Duration kMaxRunTime = milliseconds(60);
constexpr Duration kMaxMessageDelay = milliseconds(30);
constexpr Duration kMaxSuspension = milliseconds(150);
constexpr Duration kMaxDownTime = milliseconds(400);
/// All requests have ended this long after the last one began.
constexpr Duration kEndTime = seconds(4);
constexpr std::array<std::size_t, 3> kBodyBytes{0, 500, 40'000};
constexpr std::array<std::size_t, 3> kAnswerBytes{10, 20'000, 200'000};

std::string keyOf(std::size_t tenant) { return fmt::format("key-{}", tenant); }

std::shared_ptr<wire::MeshRouteT> makeRoute(const std::string& name, bool is_repeatable) {
  auto route = std::make_shared<wire::MeshRouteT>();
  route->name = name;
  route->host = "desk.example";
  route->path_prefix = "/" + name + "/";
  route->repeatable = is_repeatable;
  route->timeout_ms = 1'000;
  route->objective_ms = 300;
  route->max_attempts = 3;
  route->priority = 1;
  auto share = std::make_shared<wire::TrafficShareT>();
  share->service = kService;
  share->weight = 1;
  route->shares.push_back(share);
  return route;
}

}  // namespace

RequestMesh::RequestMesh(std::uint64_t seed)
    : random_(seed),
      stores_(network_, random_, kStores),
      events_{{120, [this](Machine& machine) { sendCall(machine); }},
              {60, [this](Machine& machine) { leave(machine); }},
              {6,
               [this](Machine& machine) {
                 network_.resetLinks(machine.process, machines_.at(pick(kSidecars)).process);
               }},
              {4, [this](Machine& machine) { suspend(machine.process); }},
              {4, [this](Machine&) { changeConfiguration(); }},
              {3, [this](Machine& machine) { restartTarget(machine); }},
              {1, [this](Machine& machine) { restart(machine); }},
              {1, [this](Machine&) { suspend(stores_.ids().at(pick(kStores))); }},
              {1, [this](Machine& machine) {
                 network_.resetLinks(machine.process, stores_.ids().at(pick(kStores)));
               }}} {
  stores_.configure(drawConfiguration());
  for (std::size_t i = 0; i < kSidecars; ++i) addMachine();
  network_.runFor(seconds(2));
  network_.setMessageDelay(
      [this](ProcessId, ProcessId, const wire::EnvelopeT& message) -> std::optional<Duration> {
        const bool is_grant = message.body.AsQuotaGrant() != nullptr;
        const bool is_late = is_disturbed_ && (is_grant || pick(20) == 0);
        return is_late ? random_.uniform(Duration::zero(), kMaxMessageDelay) : Duration::zero();
      });
}

/// Each version names other tenants, so that tenants come and go while their requests wait.
wire::MeshConfigurationT RequestMesh::drawConfiguration() {
  wire::MeshConfigurationT configuration;
  configuration.requires_key = true;
  configuration.routes.push_back(makeRoute("read", true));
  if (pick(4) != 0) configuration.routes.push_back(makeRoute("write", false));
  for (std::size_t number = 0; number < kTenants; ++number) {
    if (number != 0 && pick(4) == 0) continue;
    auto tenant = std::make_shared<wire::MeshTenantT>();
    tenant->name = fmt::format("tenant-{}", number);
    tenant->key_digests.push_back(*mesh::writeDigest(mesh::digestOfKey(keyOf(number))));
    tenant->priority = 1;
    tenant->requests_per_second = number == 0 ? 0 : kTenantRate;
    tenant->burst = tenant->requests_per_second;
    configuration.tenants.push_back(tenant);
  }
  auto service = std::make_shared<wire::MeshServiceT>();
  service->name = kService;
  configuration.services.push_back(service);
  return configuration;
}

void RequestMesh::addMachine() {
  auto& machine = machines_.emplace_back();
  machine.mesh = this;
  machine.number = machines_.size() - 1;
  sidecar::SidecarOptions options;
  options.node = fmt::format("node-{}", machine.number);
  options.service = kService;
  options.answer_credit = 8'192;
  options.advertise = rollout::test::addressOf(kFirstMachineAddress + machine.number);
  options.seeds = stores_.seeds();
  machine.process = network_.add(options.advertise, [this, options, &machine] {
    machine.running.clear();
    machine.open_calls.clear();
    return std::make_unique<sidecar::SidecarCore>(options, random_.uniform(0, UINT64_MAX), machine, machine);
  });
  network_.start(machine.process);
  sendHeartbeats(machine);
}

void RequestMesh::sendHeartbeats(Machine& machine) {
  network_.call(machine.process, [this, &machine] {
    sidecar::Heartbeat heartbeat;
    heartbeat.incarnation = {fmt::format("target-{}", machine.number), machine.target_start};
    heartbeat.service = kService;
    heartbeat.slots = kSlots;
    heartbeat.ready = true;
    heartbeat.sequence = ++machine.sequence;
    coreOf(machine).onHeartbeat(heartbeat, network_.now(), {});
  });
  network_.at(network_.now() + kHeartbeat, [this, &machine] { sendHeartbeats(machine); });
}

void RequestMesh::runFor(Duration time) {
  end_ = network_.now() + time;
  is_disturbed_ = true;
  scheduleNext();
  network_.runFor(time);
  is_disturbed_ = false;
  network_.runFor(kEndTime);
}

void RequestMesh::scheduleNext() {
  network_.at(network_.now() + random_.uniform(Duration::zero(), kMaxEventPause), [this] {
    if (network_.now() >= end_) return;
    happen();
    scheduleNext();
  });
}

void RequestMesh::happen() {
  auto& machine = machines_.at(pick(kSidecars));
  auto drawn = pick(kAllShares);
  for (const auto& event : events_) {
    if (drawn < event.share) {
      event.happen(machine);
      return;
    }
    drawn -= event.share;
  }
}

/// The target ends with all that it runs, and starts again.
void RequestMesh::restartTarget(Machine& machine) {
  for (const auto run : std::exchange(machine.running, {})) {
    network_.call(machine.process, [this, &machine, run] {
      sidecar::RunResult broken;
      broken.reply.outcome = wire::ForwardOutcome::Unknown;
      coreOf(machine).onRunResult(run, broken, network_.now());
    });
  }
  ++machine.target_start;
  machine.sequence = 0;
}

void RequestMesh::suspend(ProcessId process) {
  network_.suspend(process, random_.uniform(Duration::zero(), kMaxSuspension));
}

void RequestMesh::sendCall(Machine& machine) {
  const sidecar::CallId id{next_call_++};
  sidecar::Call call;
  call.host = "desk.example";
  call.key = mesh::digestOfKey(keyOf(pick(kTenants)));
  call.deadline = random_.uniform(milliseconds(1), pick(2) == 0 ? kMaxShortDeadline : kMaxDeadline);
  call.accepts_streaming = pick(2) == 0;
  call.request.method = "POST";
  call.request.target = pick(3) == 0 ? "/write/x" : "/read/x";
  call.request.request_id = fmt::format("request-{}", next_call_);
  call.request.body.resize(kBodyBytes.at(pick(kBodyBytes.size())));
  network_.call(machine.process, [this, &machine, id, call] {
    machine.open_calls.insert(id);
    coreOf(machine).onCall(id, call, network_.now());
  });
}

void RequestMesh::leave(Machine& machine) {
  if (machine.open_calls.empty()) return;
  const auto id =
      *std::next(machine.open_calls.begin(), static_cast<std::ptrdiff_t>(pick(machine.open_calls.size())));
  network_.call(machine.process, [this, &machine, id] {
    if (machine.open_calls.erase(id) == 0) return;
    ++left_;
    coreOf(machine).onCallerGone(id, network_.now());
  });
}

void RequestMesh::changeConfiguration() {
  const auto leader = stores_.leader();
  if (!leader) return;
  wire::MeshChangeT change;
  change.base_revision = revision_;
  change.revision = revision_ + 1;
  change.configuration = mesh::encodeConfiguration(drawConfiguration());
  network_.call(*leader, [this, change, leader = *leader] {
    stores_.at(leader).changeMesh(
        change,
        [this, revision = change.revision](const store::MeshAnswer& answer) {
          if (answer.kind == store::MeshAnswerKind::Done) revision_ = std::max(revision_, revision);
          if (answer.kind == store::MeshAnswerKind::Conflict)
            revision_ = std::max(revision_, answer.revision);
        },
        network_.now());
  });
}

void RequestMesh::restart(Machine& machine) {
  if (!network_.isRunning(machine.process)) return;
  network_.crash(machine.process);
  machine.running.clear();
  machine.open_calls.clear();
  network_.at(network_.now() + random_.uniform(Duration::zero(), kMaxDownTime),
              [this, &machine] { network_.start(machine.process); });
}

sidecar::RunResult RequestMesh::drawResult(const sidecar::RunRequest& order) {
  sidecar::RunResult result;
  result.reply.status = 200;
  result.reply.outcome = wire::ForwardOutcome::Answered;
  result.reply.body.resize(kAnswerBytes.at(pick(kAnswerBytes.size())));
  const auto drawn = pick(20);
  if (drawn == 0) {
    result.reply = {};
    result.reply.outcome = wire::ForwardOutcome::Unknown;
  } else if (drawn == 1) {
    result.reply = {};
    result.reply.outcome = wire::ForwardOutcome::NotRun;
    result.reply.reason = wire::NotRunReason::Full;
    result.reply.reached_target = true;
  }
  result.instance_mismatch = drawn == 1 && order.request->body.empty();
  return result;
}

void RequestMesh::Machine::run(sidecar::RunRequest order) {
  running.insert(order.id);
  const auto result = mesh->drawResult(order);
  const auto time = mesh->random_.uniform(Duration::zero(), kMaxRunTime);
  mesh->network_.at(mesh->network_.now() + time, [this, run = order.id, result] {
    if (running.erase(run) == 0) return;
    mesh->network_.call(
        process, [this, run, result] { mesh->coreOf(*this).onRunResult(run, result, mesh->network_.now()); });
  });
}

void RequestMesh::Machine::probe() {
  mesh->network_.at(mesh->network_.now() + milliseconds(1), [this] {
    mesh->network_.call(process, [this] {
      mesh->coreOf(*this).onProbed(sidecar::ProbeOutcome::Accepted, mesh->network_.now());
    });
  });
}

void RequestMesh::endCall(Machine& machine, sidecar::CallId id, CallOutcome outcome) {
  ++outcomes_[outcome];
  if (machine.open_calls.erase(id) == 0)
    wrong_answers_.push_back(fmt::format("request {} was answered twice", static_cast<std::uint64_t>(id)));
}

void RequestMesh::Machine::answer(sidecar::CallId id, sidecar::CallAnswer answer) {
  mesh->endCall(*this, id, answer.outcome);
}

void RequestMesh::Machine::beginAnswer(sidecar::CallId id, const wire::ForwardReplyT& head) {
  ++mesh->streamed_;
  mesh->readBytes(*this, id, head.body.size());
}

void RequestMesh::Machine::continueAnswer(sidecar::CallId id, const std::vector<std::uint8_t>& bytes,
                                          wire::BodyEnd end) {
  if (end == wire::BodyEnd::Open) {
    mesh->readBytes(*this, id, bytes.size());
  } else {
    mesh->endCall(*this, id, end == wire::BodyEnd::Whole ? CallOutcome::Answered : CallOutcome::Failed);
  }
}

/// The caller takes the bytes a little later, or never.
void RequestMesh::readBytes(Machine& machine, sidecar::CallId id, std::size_t bytes) {
  if (pick(10) == 0) return;
  network_.at(network_.now() + random_.uniform(Duration::zero(), milliseconds(10)),
              [this, &machine, id, bytes] {
                network_.call(machine.process, [this, &machine, id, bytes] {
                  coreOf(machine).onCallerRead(id, bytes, network_.now());
                });
              });
}

std::vector<std::string> RequestMesh::leftovers() {
  std::vector<std::string> left;
  for (const auto& machine : machines_) {
    const auto& core = coreOf(machine);
    const std::map<std::string, std::size_t> counts{
        {"requests", core.callsInFlight()},
        {"large answers", core.largeAnswersInFlight()},
        {"running", core.gate().running()},
        {"waiting", core.gate().waiting()},
        {"bodies", core.intake().size()},
        {"answers", core.answers().size()},
        {"requests without an answer", machine.open_calls.size()}};
    for (const auto& [what, count] : counts) {
      if (count > 0) left.push_back(fmt::format("sidecar {}: {} {}", machine.number, count, what));
    }
  }
  return left;
}

std::vector<std::string> RequestMesh::wrongAnswers() const { return wrong_answers_; }

std::size_t RequestMesh::ended(CallOutcome outcome) const {
  const auto found = outcomes_.find(outcome);
  return found == outcomes_.end() ? 0 : found->second;
}

}  // namespace cometstand::requests::test
