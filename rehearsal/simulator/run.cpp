#include "rehearsal/simulator/run.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "rehearsal/simulator/rehearsal.h"

namespace cometstand::simulator {
namespace {

void strike(const RunOptions& options, Rehearsal& rehearsal, RunReport& report) {
  auto& fleet = rehearsal.fleet();
  report.plan = makeFaultPlan(fleet, fleet.random(), options.faults, options.fault_window);
  const TimePoint begin = fleet.queue().now();
  for (const auto& fault : report.plan) {
    fleet.queue().at(begin + fault.at, [&rehearsal, fault] { rehearsal.injector().inject(fault); });
  }
  rehearsal.advance(options.fault_window);
  rehearsal.heal();
}

void fillReport(Rehearsal& rehearsal, RunReport& report) {
  const auto& checkers = rehearsal.checkers();
  auto& network = rehearsal.fleet().network();
  report.versions_accepted = checkers.convergence.newestAccepted();
  report.faults = rehearsal.injector().counts();
  report.completed = checkers.requests.count(wire::Outcome::Completed);
  report.not_run = checkers.requests.count(wire::Outcome::NotRun);
  report.unknown = checkers.requests.count(wire::Outcome::Unknown);
  report.unanswered = checkers.requests.unanswered();
  report.violations = checkers.log.first();
  report.violation_count = checkers.log.count();
  report.convergence = checkers.convergence.times();
  for (std::size_t kind = 0; kind < kLinkKinds; ++kind) {
    report.control_bytes.push_back(network.bytes(static_cast<LinkKind>(kind)));
  }
  report.events = rehearsal.fleet().queue().eventsRun();
  network.mixDigest(report.completed);
  network.mixDigest(report.versions_accepted);
  network.mixDigest(report.violation_count);
  report.digest = network.digest();
}

double inMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

}  // namespace

RunReport runSeed(const RunOptions& options) {
  RunReport report;
  report.seed = options.seed;
  Rehearsal rehearsal(options.deployment, options.seed);
  if (rehearsal.setUp()) {
    strike(options, rehearsal, report);
    rehearsal.advance(options.settle_limit);
    rehearsal.beQuiet(options.quiet_time);
  }
  rehearsal.finish();
  fillReport(rehearsal, report);
  return report;
}

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
