#include "rehearsal/scale/scale_run.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/error.h"
#include "rehearsal/scale/events.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

constexpr Duration kStatusPoll = std::chrono::milliseconds(100);
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMicrosecondsPerMillisecond = 1000;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double milliseconds(Duration duration) { return seconds(duration) * kMillisecondsPerSecond; }

json::object distribution(const std::vector<double>& values) {
  return {{"p50", percentile(values, 0.5)},
          {"p99", percentile(values, 0.99)},
          {"max", percentile(values, 1)},
          {"count", values.size()}};
}

ScaleFleet& started(ScaleFleet& fleet) {
  fleet.start();
  return fleet;
}

}  // namespace

ScaleRun::ScaleRun(const ScaleOptions& options)
    : options_(options),
      random_(options.seed),
      fleet_(options),
      plan_(options.shape, started(fleet_).backendPorts()),
      client_(fleet_.makeClient()),
      reader_(fleet_.stores()) {}

json::object ScaleRun::run() {
  createCatalog();
  joinAll();
  watchIdle();
  makeChanges();
  if (options_.store_mode == StoreMode::Real) askQueries();
  if (options_.claims_in_flight > 0) takeClaims();
  if (options_.herd_restart > 0) restartHerd();
  return report();
}

void ScaleRun::createCatalog() {
  logEvent(kScalePhase, {{"phase", "creation"}});
  phase_start_ = takeReport().usage;
  for (const auto& command : plan_.creation()) {
    version_ = client_.execute(command, options_.phase_limit).version;
  }
  creation_seconds_ = seconds(SteadyClock::now() - phase_start_.at);
  endPhase("creation");
}

void ScaleRun::joinAll() {
  logEvent(kScalePhase, {{"phase", "join"}});
  const TimePoint begin = SteadyClock::now();
  fleet_.startRealProxies();
  fleet_.askAll("start");
  waitForStatus("all proxies to join", [this](const HollowStatus& status) {
    return status.connected == options_.hollowProxies() && status.ready == options_.hollowProxies() &&
           status.lowest_as_of >= version_;
  });
  join_seconds_ = seconds(SteadyClock::now() - begin);
  endPhase("join");
}

void ScaleRun::settle() {
  const TimePoint deadline = SteadyClock::now() + options_.phase_limit;
  std::uint64_t before = 0;
  std::uint64_t records = 0;
  do {
    before = records;
    std::this_thread::sleep_for(2 * options_.probe_interval);
    records = takeReport().usage.hollow.at("endpoint_records");
  } while (records != before && SteadyClock::now() < deadline);
  endPhase("settling");
}

void ScaleRun::watchIdle() {
  settle();
  logEvent(kScalePhase, {{"phase", "idle"}});
  std::this_thread::sleep_for(options_.idle);
  endPhase("idle");
}

void ScaleRun::makeChanges() {
  logEvent(kScalePhase, {{"phase", "changes"}});
  for (std::size_t i = 0; i < options_.changes; ++i) {
    const auto change = plan_.change(i, random_);
    AcceptedChange accepted;
    accepted.fan_out = change.fan_out;
    accepted.sent = SteadyClock::now();
    accepted.version = client_.execute(change.text, options_.phase_limit).version;
    accepted.accepted = SteadyClock::now();
    version_ = accepted.version;
    accepted_.push_back(accepted);
    churnStep(i);
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  (accepted.sent + options_.change_interval - SteadyClock::now()));
  }
  waitForStatus("the last change to be in force",
                [this](const HollowStatus& status) { return status.lowest_as_of >= version_; });
  // A proxy that comes back without its disk takes a view of the newest version, which is no convergence: so
  // what follows this phase does not count.
  after_changes_ = endPhase("changes");
}

void ScaleRun::churnStep(std::size_t change) {
  const auto due = [&](std::size_t count) {
    return count * (change + 1) / options_.changes - count * change / options_.changes;
  };
  const auto process = random_.uniform(0, fleet_.hollowProcesses() - 1);
  if (const auto count = due(options_.churn); count > 0)
    fleet_.ask(process, "churn " + std::to_string(count));
  if (const auto count = due(options_.sightings); count > 0)
    fleet_.ask(process, "sight " + std::to_string(count));
}

/// What operators ask after a change: is it in force everywhere, and what runs where.
void ScaleRun::askQueries() {
  logEvent(kScalePhase, {{"phase", "queries"}});
  const auto timed = [this](const std::string& command) {
    const TimePoint begin = SteadyClock::now();
    const auto reply = client_.execute(command, options_.phase_limit);
    return json::object{{"ms", milliseconds(SteadyClock::now() - begin)}, {"rows", reply.rows.size()}};
  };
  queries_["wait_in_force"] = timed("wait version " + std::to_string(version_) + " in force timeout 60s");
  queries_["show_proxies"] = timed("show proxies");
  queries_["show_version"] = timed("show version");
  endPhase("queries");
}

void ScaleRun::takeClaims() {
  logEvent(kScalePhase, {{"phase", "claims"}});
  const auto processes = fleet_.hollowProcesses();
  const auto each = (options_.claims_in_flight + processes - 1) / processes;
  const TimePoint begin = SteadyClock::now();
  fleet_.askAll("claims " + std::to_string(each));
  std::this_thread::sleep_for(options_.claims_time);
  endPhase("claims");
  std::uint64_t granted = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::vector<double> times;
  for (const auto& answer : fleet_.askAll("claim-report")) {
    granted += answer.at("granted").to_number<std::uint64_t>();
    not_run += answer.at("not_run").to_number<std::uint64_t>();
    unknown += answer.at("unknown").to_number<std::uint64_t>();
    for (const auto& time : answer.at("times_us").as_array())
      times.push_back(time.to_number<double>() / kMicrosecondsPerMillisecond);
  }
  const double duration = seconds(SteadyClock::now() - begin);
  claims_ = {{"in_flight", each * processes},
             {"seconds", duration},
             {"granted", granted},
             {"granted_a_second", static_cast<double>(granted) / duration},
             {"not_run", not_run},
             {"unknown", unknown},
             {"grant_ms", distribution(times)}};
  fleet_.askAll("claims 0");
}

void ScaleRun::restartHerd() {
  logEvent(kScalePhase, {{"phase", "herd restart"}});
  const TimePoint begin = SteadyClock::now();
  std::uint64_t restarted = 0;
  const auto command =
      "restart " + std::to_string(options_.herd_restart) + " " + std::to_string(options_.herd_disk_loss);
  for (const auto& answer : fleet_.askAll(command)) {
    restarted += answer.at("restarted").to_number<std::uint64_t>();
  }
  waitForStatus("the herd to come back", [this](const HollowStatus& status) {
    return status.recovering == 0 && status.connected == options_.hollowProxies();
  });
  const auto report = endPhase("herd restart");
  recovered_all_ = report.usage.hollow.at("recovered") >= restarted;
  herd_ = {{"restarted", restarted},
           {"recovered", report.usage.hollow.at("recovered")},
           {"seconds", restarted == 0 ? 0 : seconds(report.recovered_last - begin)}};
}

void ScaleRun::waitForStatus(const std::string& what, const std::function<bool(const HollowStatus&)>& done) {
  const TimePoint deadline = SteadyClock::now() + options_.phase_limit;
  while (!done(fleet_.status())) {
    if (SteadyClock::now() >= deadline) {
      const auto status = fleet_.status();
      throw Error(
          ErrorKind::Timeout,
          fmt::format("waited in vain for {}: {} connected, {} ready, {} recovering, as_of {} of {}", what,
                      status.connected, status.ready, status.recovering, status.lowest_as_of, version_),
          "see the logs in the run's folder (--work-folder), or raise --phase-limit-seconds");
    }
    std::this_thread::sleep_for(kStatusPoll);
  }
}

FleetReport ScaleRun::takeReport() {
  auto report = readReport(fleet_);
  report.usage.reader_bytes = reader_.bytesReceived();
  report.usage.reader_messages = reader_.messagesReceived();
  return report;
}

FleetReport ScaleRun::endPhase(const std::string& name) {
  auto report = takeReport();
  phases_.push_back(phaseToJson(name, phase_start_, report.usage));
  phase_start_ = report.usage;
  return report;
}

json::object ScaleRun::convergenceToJson() const {
  std::vector<double> in_force;
  std::vector<double> applied;
  std::vector<double> acceptance;
  for (const auto& change : accepted_) {
    const auto found = after_changes_.versions.find(change.version);
    if (found == after_changes_.versions.end()) continue;
    acceptance.push_back(milliseconds(change.accepted - change.sent));
    in_force.push_back(milliseconds(found->second.in_force_last - change.accepted));
    if (found->second.applied_count > 0)
      applied.push_back(milliseconds(found->second.applied_last - change.accepted));
  }
  return {{"command_ms", distribution(acceptance)},
          {"applied_on_last_interested_proxy_ms", distribution(applied)},
          {"known_in_force_on_last_proxy_ms", distribution(in_force)}};
}

/// Convergence by how many proxies a change concerns.
json::array ScaleRun::fanOutToJson() const {
  std::map<std::size_t, std::vector<double>> by_fan_out;
  for (const auto& change : accepted_) {
    const auto found = after_changes_.versions.find(change.version);
    if (found == after_changes_.versions.end() || found->second.applied_count == 0) continue;
    by_fan_out[change.fan_out].push_back(milliseconds(found->second.applied_last - change.accepted));
  }
  json::array rows;
  for (const auto& [fan_out, values] : by_fan_out) {
    rows.push_back(json::object{{"proxies", fan_out}, {"applied_ms", distribution(values)}});
  }
  return rows;
}

json::object ScaleRun::report() {
  const auto last = takeReport();
  const bool is_everywhere = std::all_of(accepted_.begin(), accepted_.end(), [&](const auto& change) {
    const auto found = after_changes_.versions.find(change.version);
    return found != after_changes_.versions.end() && found->second.in_force_count == options_.hollowProxies();
  });
  const auto moved_back = last.usage.hollow.at("views_moved_back");
  const auto& shape = options_.shape;
  return {{"proxies", shape.proxies},
          {"real_proxies", options_.real_proxies},
          {"services", shape.services},
          {"zones", shape.zones},
          {"tenants", shape.tenants},
          {"tenants_per_node", shape.tenants_per_node},
          {"stores", options_.stores},
          {"relays", options_.relayCount()},
          {"store_mode", options_.store_mode == StoreMode::Real ? "real" : "memory"},
          {"processes",
           options_.stores + options_.relayCount() + options_.real_proxies + options_.hollowProcesses()},
          {"view_objects_a_proxy", static_cast<double>(last.usage.hollow.at("view_objects")) /
                                       static_cast<double>(options_.hollowProxies())},
          {"creation_seconds", creation_seconds_},
          {"join_seconds", join_seconds_},
          {"changes", accepted_.size()},
          {"convergence", convergenceToJson()},
          {"convergence_by_fan_out", fanOutToJson()},
          {"queries", queries_},
          {"claims", claims_},
          {"herd_restart", herd_},
          {"phases", phases_},
          {"outcomes", json::object{{"in_force_everywhere", is_everywhere},
                                    {"views_moved_back", moved_back},
                                    {"herd_recovered", recovered_all_},
                                    {"passed", is_everywhere && moved_back == 0 && recovered_all_}}}};
}

}  // namespace cometstand::rehearsal
