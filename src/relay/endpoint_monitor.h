#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "relay/configuration_index.h"
#include "relay/endpoint_table.h"
#include "runtime/process_core.h"

namespace cometstand::relay {

/// An endpoint that the prober is to ask for its health.
struct ProbeTarget {
  view::EndpointId endpoint;
  runtime::Address address;
};

/// What one probe found.
struct ProbeResult {
  /// False if the endpoint gave no usable answer; the other members are unset then.
  bool answered = false;
  wire::EndpointState state = wire::EndpointState::Live;
  std::uint64_t incarnation = 0;
};

/// One line of the platform's machine list.
struct MachineState {
  runtime::Address address;
  bool leaving = false;
};

/// Settings of EndpointMonitor; see RelayOptions.
struct MonitorOptions {
  std::string zone;
  Duration lease;
  Duration sighting_hold;
  std::uint64_t first_sequence = 1;
};

/// Decides the liveness of the own zone's endpoints: holds a lease for each, renewed by probes. Endpoints of
/// zones that have no relay of their own left may be adopted: their own word and the machine list count, but
/// silence does not, since the zone may be cut off from here and well. Evidence ranks: what a proxy saw on a
/// request, then probes, then the machine list. Hints (probes, the list, leases that run out) never take a
/// service below half of its endpoints; the last known state is kept instead.
class EndpointMonitor {
 public:
  using Records = std::vector<view::EndpointRecordPointer>;

  EndpointMonitor(MonitorOptions options, const EndpointTable& table)
      : options_(std::move(options)), table_(table) {}

  /// Takes the services of one tenant anew.
  /// @return the endpoints of all zones that are no longer configured.
  std::vector<view::EndpointId> setServices(const std::string& tenant, const ConfigurationIndex& index,
                                            TimePoint now);

  /// Leases start anew when this relay becomes its zone's prober.
  void setActive(bool active, TimePoint now);

  /// Zones besides the own one whose endpoints are looked after here.
  void setAdopted(std::set<std::string> zones, TimePoint now);
  /// @return all zones that have endpoints.
  std::set<std::string> zones() const;

  std::vector<ProbeTarget> targets() const;

  /// @return the records that follow from the evidence, to be merged and published.
  Records onProbe(const view::EndpointId& id, const ProbeResult& result, TimePoint now);
  Records onMachineList(const std::vector<MachineState>& machines, TimePoint now);

  /// A proxy of any zone saw on a request that this incarnation of the endpoint leaves. Hints do not revive
  /// it for a while. Call it after the merge.
  /// @return a record that renews the sighting if a hint overtook it on the way.
  Records onSighting(const view::EndpointId& id, std::uint64_t incarnation, TimePoint now);

  /// An operator ordered the endpoint to stop: it is leaving until a new incarnation shows up.
  Records onStopOrder(const view::EndpointId& id, TimePoint now);

  /// Lets leases run out.
  Records onTimer(TimePoint now);
  TimePoint nextTimer() const { return active_ ? check_at_ : TimePoint::max(); }

 private:
  struct Watched {
    wire::EndpointSpecT spec;
    TimePoint lease_until;
    /// No hint revives the incarnation that a proxy saw leaving before this time.
    TimePoint held_until;
    /// When a probe last said that it takes work again.
    TimePoint revived_at;
    bool stop_ordered = false;
    /// A hint says that it leaves, but too few others are left.
    bool suppressed = false;
  };

  bool isOwn(const Watched& watched) const { return watched.spec.zone == options_.zone; }
  bool isAdopted(const Watched& watched) const { return adopted_.contains(watched.spec.zone); }
  bool isProbed(const Watched& watched) const { return (active_ && isOwn(watched)) || isAdopted(watched); }
  view::EndpointRecordPointer makeRecord(const view::EndpointId& id, const Watched& watched,
                                         std::uint64_t incarnation, wire::EndpointState state) const;
  bool isAvailable(const view::EndpointId& id) const;
  bool mayLose(const view::EndpointId& id, const Records& pending) const;
  void loseOnHint(const view::EndpointId& id, Watched& watched, std::uint64_t incarnation, Records& records);

  MonitorOptions options_;
  const EndpointTable& table_;
  bool active_ = false;
  /// No lease runs out earlier.
  TimePoint check_at_ = TimePoint::max();
  std::set<std::string> adopted_;
  /// Endpoints of all zones.
  std::map<view::EndpointId, Watched> watched_;
  /// All endpoints of each service, over all zones; keys have an empty endpoint name.
  std::map<view::EndpointId, std::vector<view::EndpointId>> services_;
};

}  // namespace cometstand::relay
