#include "rehearsal/bench/scenario.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <functional>
#include <map>
#include <thread>

#include "base/error.h"
#include "rehearsal/bench/run_report.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

/// Load of the scenarios that are not about overload, relative to the capacity of the slots.
constexpr double kUsualLoad = 0.6;
/// Load under which one target of seven can do its part badly, and the others can still carry it.
constexpr double kFaultLoad = 0.75;
/// Target that behaves badly.
constexpr std::size_t kFaultyTarget = 2;

/// What happens to the mesh while the load runs.
using Events = std::function<void(BenchMesh&)>;

struct LoadPart {
  /// Relative to the capacity of the slots.
  double load = kUsualLoad;
  Duration begin = Duration::zero();
  Duration duration = Duration::zero();
};

CallerOptions callerOptions(const BenchMesh& mesh, double rate, Duration duration, std::uint64_t seed) {
  CallerOptions options;
  options.servers = {mesh.proxyAddress()};
  options.rate = rate;
  options.duration = duration;
  options.seed = seed;
  options.name = "caller" + std::to_string(seed);
  return options;
}

RunOutcome runLoad(const Deployment& deployment, const ScenarioOptions& options,
                   const std::vector<LoadPart>& parts, const Events& events = {}) {
  BenchMesh mesh(deployment, options.seed);
  RunOutcome outcome;
  outcome.duration = options.duration;
  std::thread event_thread;
  if (events) event_thread = std::thread([&] { events(mesh); });
  std::vector<std::unique_ptr<BenchLoad>> loads;
  Duration passed = Duration::zero();
  for (const auto& part : parts) {
    std::this_thread::sleep_for(part.begin - passed);
    passed = part.begin;
    const auto seed = options.seed + loads.size();
    loads.push_back(std::make_unique<BenchLoad>(
        callerOptions(mesh, part.load * deployment.capacity(), part.duration, seed), deployment.workload));
  }
  for (const auto& load : loads) {
    for (const auto& record : load->finish().records()) outcome.callers.add(record);
  }
  if (event_thread.joinable()) event_thread.join();
  mesh.stop();
  outcome.proxy = mesh.metrics();
  outcome.targets = mesh.totals();
  return outcome;
}

RunOutcome runAt(double load, const Deployment& deployment, const ScenarioOptions& options,
                 const Events& events = {}) {
  return runLoad(deployment, options, {{load, Duration::zero(), options.duration}}, events);
}

ScenarioResult resultOf(const RunOutcome& outcome) { return {reportOf(outcome), outcome.violations()}; }

ScenarioResult steady(const Deployment& deployment, const ScenarioOptions& options) {
  return resultOf(runAt(kUsualLoad, deployment, options));
}

/// A fifth of the time, the load is more than the slots can carry.
ScenarioResult burst(const Deployment& deployment, const ScenarioOptions& options) {
  constexpr double kBaseLoad = 0.5;
  constexpr double kBurstLoad = 1;
  return resultOf(runLoad(deployment, options,
                          {{kBaseLoad, Duration::zero(), options.duration},
                           {kBurstLoad, options.duration * 2 / 5, options.duration / 5}}));
}

/// Compares a run in which one target behaves badly with one in which none does.
ScenarioResult faultyTarget(const Deployment& deployment, const ScenarioOptions& options,
                            const BackendBehavior& behavior) {
  const auto healthy = runAt(kFaultLoad, deployment, options);
  const auto faulty = runAt(kFaultLoad, deployment, options,
                            [&](BenchMesh& mesh) { mesh.setBehavior(kFaultyTarget, behavior); });
  auto result = resultOf(faulty);
  result.report["healthy_goodput_share"] = healthy.goodputShare();
  result.report["healthy_p99_us"] = healthy.callers.all().completed_latency.quantile(0.99).count();
  result.report["goodput_ratio"] = faulty.goodput() / std::max(1.0, healthy.goodput());
  result.report["share_of_faulty_target"] = faulty.shareOf(kFaultyTarget);
  result.violations += healthy.violations();
  return result;
}

ScenarioResult slowTarget(const Deployment& deployment, const ScenarioOptions& options) {
  BackendBehavior behavior;
  behavior.slow_factor = 5;
  return faultyTarget(deployment, options, behavior);
}

/// Reports no load at all, while it is slow.
ScenarioResult lyingTarget(const Deployment& deployment, const ScenarioOptions& options) {
  BackendBehavior behavior;
  behavior.slow_factor = 5;
  behavior.load_lie = 0;
  return faultyTarget(deployment, options, behavior);
}

/// Sheds everything at once, and reports no load: a magnet for work.
ScenarioResult sheddingTarget(const Deployment& deployment, const ScenarioOptions& options) {
  BackendBehavior behavior;
  behavior.shed_all = true;
  behavior.load_lie = 0;
  return faultyTarget(deployment, options, behavior);
}

ScenarioResult rollingRestart(const Deployment& deployment, const ScenarioOptions& options) {
  // Each restart lasts a second, the linger time of a target.
  const auto all_targets = std::chrono::seconds(deployment.targets) + options.duration;
  ScenarioOptions longer = options;
  longer.duration = all_targets;
  return resultOf(runAt(kUsualLoad, deployment, longer, [&](BenchMesh& mesh) {
    for (std::size_t target = 0; target < deployment.targets; ++target) mesh.restart(target);
  }));
}

/// Goodput at twice the slots' capacity, relative to the best goodput at any lower load.
ScenarioResult overload(const Deployment& deployment, const ScenarioOptions& options) {
  constexpr double kOverload = 2;
  ScenarioResult result;
  double peak = 0;
  json::array curve;
  for (const double load : {0.8, 0.9, 1.0, 1.2, kOverload}) {
    const auto outcome = runAt(load, deployment, options);
    if (load < kOverload) peak = std::max(peak, outcome.goodput());
    curve.push_back(json::object{{"load", load}, {"goodput_per_second", outcome.goodput()}});
    result.report = reportOf(outcome);
    result.violations += outcome.violations();
    result.report["goodput_ratio"] = outcome.goodput() / peak;
  }
  result.report["curve"] = std::move(curve);
  return result;
}

/// Two callers at once, one through the proxy and one straight to the targets, at the rate of one node of the
/// size to design for: 1.5 million calls a second over 14,000 nodes.
ScenarioResult addedLatency(const Deployment& deployment, const ScenarioOptions& options) {
  constexpr double kCallsPerNode = 107;
  Deployment quick = deployment;
  quick.service_time = {ServiceTimeShape::Constant, std::chrono::milliseconds(1), 0};
  std::erase_if(quick.workload.kinds, [](const RequestKind& kind) { return !kind.repeatable; });
  BenchMesh mesh(quick, options.seed);
  const auto through = callerOptions(mesh, kCallsPerNode, options.duration, options.seed);
  auto straight = callerOptions(mesh, kCallsPerNode, options.duration, options.seed + 1);
  straight.servers = mesh.targetAddresses();
  BenchLoad proxied(through, quick.workload);
  BenchLoad direct(straight, quick.workload);
  RunOutcome outcome;
  outcome.duration = options.duration;
  outcome.callers = proxied.finish();
  const auto& direct_latency = direct.finish().all().completed_latency;
  mesh.stop();
  outcome.proxy = mesh.metrics();
  outcome.targets = mesh.totals();
  auto result = resultOf(outcome);
  for (const auto& [name, share] :
       std::map<std::string, double>{{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}}) {
    const auto without = direct_latency.quantile(share);
    const auto with = outcome.callers.all().completed_latency.quantile(share);
    result.report["direct_" + name + "_us"] = without.count();
    result.report["added_" + name + "_us"] = (with - without).count();
  }
  return result;
}

using Scenario = std::function<ScenarioResult(const Deployment&, const ScenarioOptions&)>;

const std::map<std::string, Scenario>& scenarios() {
  static const std::map<std::string, Scenario> all{{"steady", steady},
                                                   {"burst", burst},
                                                   {"slow_target", slowTarget},
                                                   {"lying_target", lyingTarget},
                                                   {"overload", overload},
                                                   {"rolling_restart", rollingRestart},
                                                   {"added_latency", addedLatency},
                                                   {"shedding_target", sheddingTarget}};
  return all;
}

}  // namespace

std::vector<std::string> scenarioNames() {
  std::vector<std::string> names;
  for (const auto& [name, run] : scenarios()) names.push_back(name);
  return names;
}

ScenarioResult runScenario(const std::string& name, const Deployment& deployment,
                           const ScenarioOptions& options) {
  const auto found = scenarios().find(name);
  if (found == scenarios().end()) {
    throw Error(ErrorKind::Invalid, "no scenario is named '" + name + "'", "see --help for the names");
  }
  auto result = found->second(deployment, options);
  result.report["scenario"] = name;
  result.report["deployment"] = deployment.name;
  result.report["seed"] = options.seed;
  result.report["violations"] = result.violations;
  return result;
}

}  // namespace cometstand::rehearsal
