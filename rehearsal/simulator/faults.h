#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/simulator/fleet.h"

namespace cometstand::simulator {

/// Kinds of faults. Names on the command line and in traces: see faultName().
enum class FaultKind : std::uint8_t {
  /// A process dies and starts again after the duration.
  Kill,
  /// Its machine loses power: what was not synced is lost, and nobody is told.
  PowerLoss,
  /// A process stands still, its clock runs on.
  Freeze,
  /// Nothing reaches a machine or leaves it.
  CutHost,
  /// Nothing that a machine sends arrives, or nothing that is sent to it.
  CutOutgoing,
  CutIncoming,
  /// A zone and the other zones do not reach each other.
  CutZone,
  /// Every open connection breaks with some probability.
  ResetConnections,
  SlowDisk,
  FullDisk,
  /// A proxy's disk is lost.
  LoseDisk,
  /// A store replica's disk is lost; operators put a new replica in its place.
  ReplaceReplica,
  /// All proxies of a zone, all proxies, all relays, all stores die together and come back in a storm.
  KillZoneProxies,
  KillAllProxies,
  KillAllRelays,
  SourceOutage,
  /// Planned stops, by signal.
  StopProxy,
  StopRelay,
  StopLeader,
  /// A back end leaves, goes, and comes back cold.
  BackendLeave,
  /// The same, but it runs what it still gets.
  BackendLeaveUnaware,
  BackendKill,
  BackendShed,
  BackendLag,
  BackendLie,
  BackendHang,
};

std::string_view faultName(FaultKind kind);
/// @throw Error(Invalid) if there is no such kind; the message lists them.
FaultKind faultNamed(std::string_view name);
std::vector<FaultKind> allFaults();

struct Fault {
  /// Since the beginning of the faults.
  Duration at{};
  FaultKind kind = FaultKind::Kill;
  /// A machine, back end or zone; "leader" is the store replica that leads at that moment. Empty for faults
  /// that strike many.
  std::string target;
  Duration duration{};
};

/// Makes faults happen in a fleet and heals them.
class FaultInjector {
 public:
  explicit FaultInjector(Fleet& fleet) : fleet_(fleet) {}

  /// Strikes now.
  void inject(const Fault& fault);

  /// @return faults that are not healed.
  std::size_t active() const { return active_; }
  const std::map<FaultKind, unsigned>& counts() const { return counts_; }

 private:
  void killFor(const std::string& name, bool power_loss, Duration duration);
  void killHerd(const std::vector<std::string>& names, Duration duration);
  void restart(const std::string& name);
  void freezeFor(const std::string& name, Duration duration);
  void cutFor(const std::set<HostId>& left, const std::set<HostId>& right, bool both_ways, Duration duration);
  void cutMachine(const Fault& fault);
  void cutZone(const std::string& zone, Duration duration);
  void resetConnections(Duration duration);
  void disk(const Fault& fault);
  void replaceReplica(const std::string& name, Duration duration);
  void joinReplica(const std::string& name, std::uint64_t old_id);
  void plannedStop(const std::string& name);
  void waitForStop(const std::string& name, std::uint64_t run, TimePoint limit);
  void backend(const Fault& fault);
  void backendLeave(const std::string& name, Duration duration, bool unaware);
  void disturb(const std::string& name);
  void calm(const std::string& name);
  /// Heals after the delay.
  void later(Duration delay, std::function<void()> heal);

  Fleet& fleet_;
  std::size_t active_ = 0;
  std::map<FaultKind, unsigned> counts_;
};

/// @return a random sequence of faults, ordered by time, all healed by the end of the window: single ones,
/// several at once, and the same one twice.
std::vector<Fault> makeFaultPlan(Fleet& fleet, RandomSource& random, const std::vector<FaultKind>& kinds,
                                 Duration window);

}  // namespace cometstand::simulator
