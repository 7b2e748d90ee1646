// Random sequences of faults, and the repair of a lost replica.
#include <fmt/format.h>

#include <algorithm>

#include "rehearsal/simulator/faults.h"

namespace cometstand::simulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFewestFaults = 4;
constexpr std::uint64_t kMostFaults = 14;
constexpr double kTogether = 0.25;
constexpr double kTwice = 0.15;
constexpr Duration kShortest = milliseconds(200);
constexpr Duration kLongest = seconds(12);
constexpr Duration kCommandLimit = seconds(40);
constexpr Duration kRepairPoll = seconds(1);
constexpr double kSecondLoss = 0.5;

const std::string& pick(const std::vector<std::string>& names, RandomSource& random) {
  return names[random.uniform(0, names.size() - 1)];
}

std::string anyMachine(Fleet& fleet, RandomSource& random) {
  static const std::vector<std::string> roles{"store", "relay", "proxy"};
  const auto& role = pick(roles, random);
  if (role == "store" && random.chance(0.5)) return "leader";
  return pick(fleet.names(role), random);
}

std::string anyZone(Fleet& fleet, RandomSource& random) {
  const auto& zones = fleet.deployment().zones;
  return zones[random.uniform(0, zones.size() - 1)].name;
}

std::string targetFor(Fleet& fleet, RandomSource& random, FaultKind kind) {
  switch (kind) {
    case FaultKind::Kill:
    case FaultKind::PowerLoss:
    case FaultKind::Freeze:
    case FaultKind::CutHost:
    case FaultKind::CutOutgoing:
    case FaultKind::CutIncoming:
      return anyMachine(fleet, random);
    case FaultKind::CutZone:
    case FaultKind::KillZoneProxies:
      return anyZone(fleet, random);
    case FaultKind::SlowDisk:
    case FaultKind::FullDisk:
      return pick(fleet.names(random.chance(0.5) ? "store" : "proxy"), random);
    case FaultKind::LoseDisk:
    case FaultKind::StopProxy:
      return pick(fleet.names("proxy"), random);
    case FaultKind::ReplaceReplica:
      return pick(fleet.names("store"), random);
    case FaultKind::CutSource:
    case FaultKind::StopRelay:
      return pick(fleet.names("relay"), random);
    case FaultKind::BackendLeave:
    case FaultKind::BackendLeaveUnaware:
    case FaultKind::BackendKill:
    case FaultKind::BackendShed:
    case FaultKind::BackendLag:
    case FaultKind::BackendLie:
    case FaultKind::BackendHang: {
      const auto& backends = fleet.backends();
      return backends[random.uniform(0, backends.size() - 1)].name;
    }
    default:
      return "";
  }
}

}  // namespace

std::vector<Fault> makeFaultPlan(Fleet& fleet, RandomSource& random, const std::vector<FaultKind>& kinds,
                                 Duration window) {
  std::vector<Fault> plan;
  if (kinds.empty()) return plan;
  bool replaced = false;
  const auto count = random.uniform(kFewestFaults, kMostFaults);
  const auto last_start = std::max(window - kLongest, Duration::zero());
  while (plan.size() < count) {
    Fault fault;
    fault.kind = kinds[random.uniform(0, kinds.size() - 1)];
    if (fault.kind == FaultKind::ReplaceReplica) {
      // With three replicas, a second disk may be lost only once the first is repaired.
      if (replaced) continue;
      replaced = true;
    }
    const bool together = !plan.empty() && random.chance(kTogether);
    fault.at = together ? plan.back().at : random.uniform(Duration::zero(), last_start);
    fault.duration = random.uniform(kShortest, kLongest);
    fault.target = targetFor(fleet, random, fault.kind);
    plan.push_back(fault);
    if (fault.kind != FaultKind::ReplaceReplica && random.chance(kTwice)) {
      fault.at = std::min(fault.at + random.uniform(Duration::zero(), fault.duration), last_start);
      plan.push_back(fault);
    }
  }
  std::stable_sort(plan.begin(), plan.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return plan;
}

// ---- Repair of a replica --------------------------------------------------------------------

void FaultInjector::replaceReplica(const std::string& name, Duration duration) {
  const auto old_id = fleet_.replicaId(name);
  disturb(name);
  fleet_.replaceStoreDisk(name);
  ++active_;
  fleet_.queue().after(duration, [this, name, old_id] {
    restart(name);
    calm(name);
    joinReplica(name, old_id);
  });
}

/// As the operators' page has it: the new replica joins as a learner, then takes the lost one's place. Ends
/// the fault once both are done; the loss of a second machine may follow at once.
void FaultInjector::joinReplica(const std::string& name, std::uint64_t old_id) {
  const auto& address = fleet_.machine(name).address;
  const auto new_id = fleet_.replicaId(name);
  const auto add = fmt::format("add replica {0} {1}-{0} at {2}:{3} region {4}", new_id, name, address.host,
                               address.port, "any");
  const auto replace = fmt::format("replace replica {} with {}", old_id, new_id);
  const auto send = [this](const std::string& text, const std::function<void(const CommandResult&)>& done) {
    fleet_.withOperator("operator-repair", [text, done](OperatorClient& client, TimePoint now) {
      client.submit(text, kCommandLimit, now, done);
    });
  };
  send(add, [this, send, replace, name, old_id](const CommandResult& added) {
    fleet_.queue().after(kRepairPoll, [this, send, replace, name, old_id, added] {
      if (added.outcome != wire::Outcome::Completed && added.kind != ErrorKind::Conflict) {
        return joinReplica(name, old_id);
      }
      send(replace, [this, name, old_id](const CommandResult& replaced) {
        fleet_.queue().after(kRepairPoll, [this, name, old_id, replaced] {
          if (replaced.outcome != wire::Outcome::Completed) return joinReplica(name, old_id);
          --active_;
          if (!fleet_.random().chance(kSecondLoss)) return;
          auto others = fleet_.names("store");
          std::erase(others, name);
          killFor(pick(others, fleet_.random()), true, seconds(3));
        });
      });
    });
  });
}

}  // namespace cometstand::simulator
