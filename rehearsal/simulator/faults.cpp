#include "rehearsal/simulator/faults.h"

#include <fmt/format.h>

#include <array>

#include "base/error.h"

namespace cometstand::simulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct NamedFault {
  FaultKind kind;
  std::string_view name;
};

constexpr std::array kNames = {
    NamedFault{FaultKind::Kill, "kill"},
    NamedFault{FaultKind::PowerLoss, "power_loss"},
    NamedFault{FaultKind::Freeze, "freeze"},
    NamedFault{FaultKind::CutHost, "cut_host"},
    NamedFault{FaultKind::CutOutgoing, "cut_outgoing"},
    NamedFault{FaultKind::CutIncoming, "cut_incoming"},
    NamedFault{FaultKind::CutZone, "cut_zone"},
    NamedFault{FaultKind::ResetConnections, "reset_connections"},
    NamedFault{FaultKind::SlowDisk, "slow_disk"},
    NamedFault{FaultKind::FullDisk, "full_disk"},
    NamedFault{FaultKind::LoseDisk, "lose_disk"},
    NamedFault{FaultKind::ReplaceReplica, "replace_replica"},
    NamedFault{FaultKind::KillZoneProxies, "kill_zone_proxies"},
    NamedFault{FaultKind::KillAllProxies, "kill_all_proxies"},
    NamedFault{FaultKind::KillAllRelays, "kill_all_relays"},
    NamedFault{FaultKind::SourceOutage, "source_outage"},
    NamedFault{FaultKind::StopProxy, "stop_proxy"},
    NamedFault{FaultKind::StopRelay, "stop_relay"},
    NamedFault{FaultKind::StopLeader, "stop_leader"},
    NamedFault{FaultKind::BackendLeave, "backend_leave"},
    NamedFault{FaultKind::BackendLeaveUnaware, "backend_leave_unaware"},
    NamedFault{FaultKind::BackendKill, "backend_kill"},
    NamedFault{FaultKind::BackendShed, "backend_shed"},
    NamedFault{FaultKind::BackendLag, "backend_lag"},
    NamedFault{FaultKind::BackendLie, "backend_lie"},
    NamedFault{FaultKind::BackendHang, "backend_hang"},
};

/// A cut that heals lets through what was held back; what it delayed may still show a moment later.
constexpr Duration kAfterEffect = milliseconds(200);
constexpr double kResetShare = 0.4;
constexpr Duration kSlowSyncMinimum = milliseconds(20);
constexpr Duration kSlowSyncMaximum = milliseconds(200);
constexpr Duration kStopLimit = seconds(45);
constexpr Duration kStopPoll = milliseconds(250);
constexpr Duration kBackendLag = seconds(6);

}  // namespace

std::string_view faultName(FaultKind kind) {
  for (const auto& each : kNames) {
    if (each.kind == kind) return each.name;
  }
  return "";
}

FaultKind faultNamed(std::string_view name) {
  std::string all;
  for (const auto& each : kNames) {
    if (each.name == name) return each.kind;
    all += fmt::format(" {}", each.name);
  }
  throw Error(ErrorKind::Invalid, fmt::format("there is no fault \"{}\"", name), "use one of:" + all);
}

std::vector<FaultKind> allFaults() {
  std::vector<FaultKind> kinds;
  kinds.reserve(kNames.size());
  for (const auto& each : kNames) kinds.push_back(each.kind);
  return kinds;
}

void FaultInjector::later(Duration delay, std::function<void()> heal) {
  ++active_;
  fleet_.queue().after(delay, [this, heal = std::move(heal)] {
    heal();
    --active_;
  });
}

void FaultInjector::disturb(const std::string& name) {
  fleet_.checkers().disturbances.begin(name, fleet_.queue().now());
}

void FaultInjector::calm(const std::string& name) {
  fleet_.checkers().disturbances.end(name, fleet_.queue().now() + kAfterEffect);
}

void FaultInjector::inject(const Fault& given) {
  Fault fault = given;
  if (fault.target == "leader") fault.target = fleet_.leader();
  const bool needs_target = given.target == "leader" || fault.kind == FaultKind::StopLeader;
  if (fault.kind == FaultKind::StopLeader) fault.target = fleet_.leader();
  if (needs_target && fault.target.empty()) return;
  ++counts_[fault.kind];
  switch (fault.kind) {
    case FaultKind::Kill:
      return killFor(fault.target, false, fault.duration);
    case FaultKind::PowerLoss:
      return killFor(fault.target, true, fault.duration);
    case FaultKind::Freeze:
      return freezeFor(fault.target, fault.duration);
    case FaultKind::CutHost:
    case FaultKind::CutOutgoing:
    case FaultKind::CutIncoming:
      return cutMachine(fault);
    case FaultKind::CutZone:
      return cutZone(fault.target, fault.duration);
    case FaultKind::ResetConnections:
      return resetConnections(fault.duration);
    case FaultKind::SlowDisk:
    case FaultKind::FullDisk:
    case FaultKind::LoseDisk:
      return disk(fault);
    case FaultKind::ReplaceReplica:
      return replaceReplica(fault.target, fault.duration);
    case FaultKind::KillZoneProxies:
      return killHerd(fleet_.names("proxy", fault.target), fault.duration);
    case FaultKind::KillAllProxies:
      return killHerd(fleet_.names("proxy"), fault.duration);
    case FaultKind::KillAllRelays:
      return killHerd(fleet_.names("relay"), fault.duration);
    case FaultKind::SourceOutage:
      return killHerd(fleet_.names("store"), fault.duration);
    case FaultKind::StopProxy:
    case FaultKind::StopRelay:
    case FaultKind::StopLeader:
      return plannedStop(fault.target);
    default:
      return backend(fault);
  }
}

void FaultInjector::restart(const std::string& name) { fleet_.machine(name).process->start(); }

void FaultInjector::killFor(const std::string& name, bool power_loss, Duration duration) {
  disturb(name);
  fleet_.killProcess(name, power_loss);
  later(duration, [this, name] {
    restart(name);
    calm(name);
  });
}

void FaultInjector::killHerd(const std::vector<std::string>& names, Duration duration) {
  for (const auto& name : names) {
    killFor(name, false, duration / 2 + fleet_.random().uniform(Duration::zero(), duration / 2));
  }
}

void FaultInjector::freezeFor(const std::string& name, Duration duration) {
  disturb(name);
  fleet_.machine(name).process->freeze();
  later(duration, [this, name] {
    fleet_.machine(name).process->thaw();
    calm(name);
  });
}

void FaultInjector::cutFor(const std::set<HostId>& left, const std::set<HostId>& right, bool both_ways,
                           Duration duration) {
  auto& network = fleet_.network();
  const auto there = network.cut(left, right);
  const auto back = both_ways ? network.cut(right, left) : there;
  later(duration, [&network, there, back] {
    network.heal(there);
    network.heal(back);
  });
}

void FaultInjector::cutMachine(const Fault& fault) {
  disturb(fault.target);
  const auto own = fleet_.network().hostsNamed(fault.target);
  if (own.empty()) {
    throw Error(ErrorKind::NotFound, fmt::format("there is no host \"{}\"", fault.target),
                "name a machine of the deployment");
  }
  auto others = fleet_.network().allHosts();
  for (const HostId host : own) others.erase(host);
  if (fault.kind == FaultKind::CutIncoming) {
    cutFor(others, own, false, fault.duration);
  } else {
    cutFor(own, others, fault.kind == FaultKind::CutHost, fault.duration);
  }
  later(fault.duration, [this, name = fault.target] { calm(name); });
}

void FaultInjector::cutZone(const std::string& zone, Duration duration) {
  const auto inside = fleet_.network().hostsIn(zone);
  auto outside = fleet_.network().hostsIn("");
  for (const HostId host : inside) outside.erase(host);
  cutFor(inside, outside, true, duration);
}

void FaultInjector::resetConnections(Duration /*duration*/) {
  for (const auto& name : fleet_.names("proxy")) {
    disturb(name);
    calm(name);
  }
  fleet_.network().resetSome(kResetShare);
}

void FaultInjector::disk(const Fault& fault) {
  auto& machine = fleet_.machine(fault.target);
  if (fault.kind == FaultKind::LoseDisk) {
    killFor(fault.target, true, fault.duration);
    machine.disk->lose();
    return;
  }
  DiskBehavior behavior;
  behavior.full = fault.kind == FaultKind::FullDisk;
  if (fault.kind == FaultKind::SlowDisk) {
    behavior.sync_minimum = kSlowSyncMinimum;
    behavior.sync_maximum = kSlowSyncMaximum;
  }
  machine.disk->setBehavior(behavior);
  later(fault.duration, [this, name = fault.target, full = behavior.full] {
    fleet_.machine(name).disk->setBehavior(DiskBehavior());
    // A process tries no write after one failed: once there is space, it is started anew.
    if (full) killFor(name, false, milliseconds(500));
  });
}

void FaultInjector::plannedStop(const std::string& name) {
  auto& process = *fleet_.machine(name).process;
  if (!process.running()) return;
  ++active_;
  // A process with nothing left to do ends at once.
  const auto run = process.run();
  process.beginStop();
  waitForStop(name, run, fleet_.queue().now() + kStopLimit);
}

/// @param run of the process that is stopping; another fault may end it first.
void FaultInjector::waitForStop(const std::string& name, std::uint64_t run, TimePoint limit) {
  fleet_.queue().after(kStopPoll, [this, name, run, limit] {
    auto& process = *fleet_.machine(name).process;
    const bool ended = process.run() != run;
    const bool late = !ended && fleet_.queue().now() > limit;
    if (late) fleet_.checkers().log.add("planned_stop", fleet_.queue().now(), name + " did not stop in time");
    if (!ended && !late) return waitForStop(name, run, limit);
    process.start();
    --active_;
  });
}

// ---- Back ends ------------------------------------------------------------------------------

void FaultInjector::backend(const Fault& fault) {
  const bool unaware = fault.kind == FaultKind::BackendLeaveUnaware;
  if (unaware || fault.kind == FaultKind::BackendLeave) {
    backendLeave(fault.target, fault.duration, unaware);
    return;
  }
  auto& backend = *fleet_.backend(fault.target).backend;
  if (fault.kind == FaultKind::BackendKill) {
    backend.kill();
    later(fault.duration, [&backend] { backend.start(); });
    return;
  }
  auto behavior = backend.behavior();
  behavior.shed_all = fault.kind == FaultKind::BackendShed;
  behavior.lies = fault.kind == FaultKind::BackendLie && !backend.leaving();
  behavior.probes_hang = fault.kind == FaultKind::BackendHang;
  behavior.lag = fault.kind == FaultKind::BackendLag ? kBackendLag : Duration::zero();
  backend.setBehavior(behavior);
  later(fault.duration, [this, &backend] { backend.setBehavior(fleet_.deployment().backend); });
}

void FaultInjector::backendLeave(const std::string& name, Duration duration, bool unaware) {
  auto& target = fleet_.backend(name);
  auto& backend = *target.backend;
  if (!backend.running() || backend.leaving()) return;
  auto behavior = backend.behavior();
  behavior.runs_while_leaving = unaware;
  behavior.lies = false;
  backend.setBehavior(behavior);
  backend.beginLeaving();
  fleet_.machineList().set(target.address, true);
  fleet_.checkers().leaving.onLeaving(name, fleet_.queue().now());
  later(duration, [this, name, &target] {
    target.backend->kill();
    fleet_.checkers().leaving.onEnded(name);
    fleet_.machineList().remove(target.address);
    later(seconds(2), [this, &target] {
      target.backend->setBehavior(fleet_.deployment().backend);
      target.backend->start();
      fleet_.machineList().set(target.address, false);
    });
  });
}

}  // namespace cometstand::simulator
