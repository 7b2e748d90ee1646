#include "rehearsal/simulator/run.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "rehearsal/simulator/caller_workload.h"
#include "rehearsal/simulator/mesh_setup.h"
#include "rehearsal/simulator/operator_workload.h"

namespace cometstand::simulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSetupLimit = seconds(40);
constexpr Duration kStep = milliseconds(250);
constexpr Duration kWarmUp = seconds(3);
/// Faults whose end depends on commands or drains may outlast the window.
constexpr Duration kHealLimit = seconds(120);
/// Without faults an accepted version is in force everywhere within this time.
constexpr Duration kInForceLimit = seconds(3);
/// Commands and resends in work at the end.
constexpr Duration kDrainLimit = seconds(30);

/// One seed from start to end.
class Run {
 public:
  explicit Run(const RunOptions& options)
      : options_(options),
        fleet_(options.deployment, options.seed),
        setup_(fleet_),
        callers_(fleet_),
        operators_(fleet_),
        injector_(fleet_) {}

  RunReport run() {
    fleet_.start();
    if (setUp()) {
      callers_.start();
      operators_.start();
      fleet_.checkers().convergence.beginMeasuring();
      advance(kWarmUp);
      strike();
      advance(options_.settle_limit);
      checkConverged();
      beQuiet();
    }
    fleet_.checkers().finish();
    return report();
  }

 private:
  /// Lets simulated time pass. Costly invariants are looked at in between.
  void advance(Duration time) {
    const TimePoint end = fleet_.queue().now() + time;
    while (fleet_.queue().now() < end) {
      fleet_.queue().runUntil(std::min(end, fleet_.queue().now() + kStep));
      fleet_.checkInvariants();
    }
  }

  template <typename Condition>
  bool advanceUntil(Duration limit, Condition condition) {
    const TimePoint end = fleet_.queue().now() + limit;
    while (!condition() && fleet_.queue().now() < end) advance(kStep);
    return condition();
  }

  bool setUp() {
    setup_.start();
    const bool done = advanceUntil(kSetupLimit, [this] { return setup_.done(); });
    const bool in_force =
        done && advanceUntil(kSetupLimit, [this] { return everyProxyAt(setup_.version()); });
    if (!in_force) {
      fleet_.checkers().log.add("setup", fleet_.queue().now(),
                                fmt::format("the mesh was not set up: {}", setup_.refusal()));
    }
    return in_force;
  }

  bool everyProxyAt(std::uint64_t version) {
    for (const auto& name : fleet_.names("proxy")) {
      const auto* node = dynamic_cast<const ProxyNode*>(fleet_.machine(name).process->core());
      if (node == nullptr || node->control().asOf() < version) return false;
    }
    return true;
  }

  void strike() {
    plan_ = makeFaultPlan(fleet_, fleet_.random(), options_.faults, options_.fault_window);
    const TimePoint begin = fleet_.queue().now();
    for (const auto& fault : plan_) {
      fleet_.queue().at(begin + fault.at, [this, fault] { injector_.inject(fault); });
    }
    advance(options_.fault_window);
    if (!advanceUntil(kHealLimit, [this] { return injector_.active() == 0; })) {
      fleet_.checkers().log.add("recovery", fleet_.queue().now(), "a repair or planned stop never ended");
    }
  }

  void beQuiet() {
    callers_.expectCompletion();
    operators_.expectCompletion();
    advance(options_.quiet_time);
    callers_.stop();
    operators_.stop();
    advanceUntil(kDrainLimit, [this] { return callers_.inWork() == 0 && operators_.inWork() == 0; });
    advance(kInForceLimit);
    checkConverged();
  }

  void checkConverged() {
    const TimePoint now = fleet_.queue().now();
    fleet_.checkers().convergence.checkConverged(now - kInForceLimit, now);
  }

  RunReport report() {
    auto& checkers = fleet_.checkers();
    RunReport report;
    report.seed = options_.seed;
    report.versions_accepted = checkers.convergence.newestAccepted();
    report.faults = injector_.counts();
    report.plan = plan_;
    report.completed = checkers.requests.count(wire::Outcome::Completed);
    report.not_run = checkers.requests.count(wire::Outcome::NotRun);
    report.unknown = checkers.requests.count(wire::Outcome::Unknown);
    report.unanswered = checkers.requests.unanswered();
    report.violations = checkers.log.first();
    report.violation_count = checkers.log.count();
    report.convergence = checkers.convergence.times();
    for (std::size_t kind = 0; kind < kLinkKinds; ++kind) {
      report.control_bytes.push_back(fleet_.network().bytes(static_cast<LinkKind>(kind)));
    }
    report.events = fleet_.queue().eventsRun();
    fleet_.network().mixDigest(report.completed);
    fleet_.network().mixDigest(report.versions_accepted);
    fleet_.network().mixDigest(report.violation_count);
    report.digest = fleet_.network().digest();
    return report;
  }

  const RunOptions& options_;
  Fleet fleet_;
  MeshSetup setup_;
  CallerWorkload callers_;
  OperatorWorkload operators_;
  FaultInjector injector_;
  std::vector<Fault> plan_;
};

double inMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

}  // namespace

RunReport runSeed(const RunOptions& options) { return Run(options).run(); }

std::string toJsonLine(const RunReport& report) {
  namespace json = boost::json;
  json::object faults;
  for (const auto& [kind, count] : report.faults) faults[faultName(kind)] = count;
  json::array violations;
  for (const auto& each : report.violations) {
    violations.push_back({{"check", each.check},
                          {"at_ms", inMilliseconds(each.when.time_since_epoch())},
                          {"text", each.text}});
  }
  static constexpr std::array<const char*, kLinkKinds> kNames{
      "store_to_store", "relay_to_store", "relay_to_relay", "proxy_to_relay", "operator", "http"};
  json::object bytes;
  for (std::size_t kind = 0; kind < report.control_bytes.size(); ++kind) {
    bytes[kNames[kind]] = report.control_bytes[kind];
  }
  const json::object line{{"seed", report.seed},
                          {"versions_accepted", report.versions_accepted},
                          {"faults", faults},
                          {"requests",
                           {{"completed", report.completed},
                            {"not_run", report.not_run},
                            {"unknown", report.unknown},
                            {"unanswered", report.unanswered}}},
                          {"violations", report.violation_count},
                          {"first_violations", violations},
                          {"convergence_ms",
                           {{"p50", inMilliseconds(report.convergence.p50)},
                            {"p99", inMilliseconds(report.convergence.p99)},
                            {"max", inMilliseconds(report.convergence.max)}}},
                          {"control_bytes", bytes},
                          {"events", report.events},
                          {"digest", fmt::format("{:016x}", report.digest)}};
  return json::serialize(line);
}

}  // namespace cometstand::simulator
