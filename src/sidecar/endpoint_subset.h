#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runtime/process_core.h"

namespace cometstand::sidecar {

/// The subset of endpoints to which this sidecar opens links. For each version of each service it contains up
/// to kMaxOwnZoneEndpoints endpoints of the sidecar's own zone and kMaxOtherZoneEndpoints of all other zones
/// together. If the own zone has fewer endpoints, other zones provide the difference. The selection uses
/// rendezvous hashing (Thaler and Ravishankar, 1998): each sidecar has its own subset, all endpoints of a
/// service have about the same number of senders, and adding or removing an endpoint changes one link at few
/// sidecars.
///
/// In a large fleet, links between all machines would take two file descriptors per machine at each sidecar,
/// and as many connection attempts when the whole fleet restarts. For services within the limits below, the
/// subset contains all endpoints.
///
/// See docs/design/fleet.md for the alternatives considered.
class EndpointSubset {
 public:
  using Address = runtime::Address;

  /// Maximum number of endpoints of the own zone. With 32 of 100 endpoints the expected number of senders per
  /// endpoint has a standard deviation of 11%, so selection within the subset is nearly as good as among all
  /// endpoints. With fewer endpoints, each one reports its load to the sender more often.
  static constexpr std::size_t kMaxOwnZoneEndpoints = 32;
  /// Maximum number of endpoints of all other zones together. They can take the load of the own zone when
  /// that zone has failed, is evacuated or is full.
  static constexpr std::size_t kMaxOtherZoneEndpoints = 32;
  /// Minimum number of endpoints of each other zone, regardless of the number of zones: a route may be
  /// restricted to one region, or the endpoints of one zone may be the only ones left.
  static constexpr std::size_t kMinEndpointsPerZone = 2;

  /// @param node the name of this machine, which is part of the hash input.
  EndpointSubset(std::string node, std::string zone) : node_(std::move(node)), zone_(std::move(zone)) {}

  /// Adds an endpoint that may get requests, or updates its service, version and zone.
  void add(const Address& address, const std::string& service, const std::string& version,
           const std::string& zone);
  /// Removes an endpoint that gets no more requests.
  void remove(const Address& address);
  /// Sets the services of which all endpoints are in the subset. All senders must consider the same endpoints
  /// when they select the targets that get the share of a new version.
  void setUnrestrictedServices(std::set<std::string> services);

  bool contains(const Address& address) const { return selected_.contains(address); }
  std::size_t size() const { return selected_.size(); }
  /// Updates the subset to the current endpoints.
  /// @return the addresses added to the subset since the last call.
  std::vector<Address> refresh();

 private:
  /// Hash value and address; lower values are selected first.
  using Rank = std::pair<std::uint64_t, Address>;
  /// Service and version.
  using Group = std::pair<std::string, std::string>;
  /// Endpoints by zone, in the order of selection.
  using Zones = std::map<std::string, std::set<Rank>>;
  struct Membership {
    Group group;
    std::string zone;
  };

  Rank rankOf(const Address& address) const;
  std::set<Address> select(const Group& group) const;

  std::string node_;
  std::string zone_;
  /// Endpoints by group.
  std::map<Group, Zones> groups_;
  std::map<Address, Membership> memberships_;
  std::map<Group, std::set<Address>> selected_by_group_;
  std::set<Address> selected_;
  std::set<Group> changed_groups_;
  std::set<std::string> unrestricted_services_;
};

}  // namespace cometstand::sidecar
