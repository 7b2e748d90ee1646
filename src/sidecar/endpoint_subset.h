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

/// The endpoints to which this sidecar links itself: of each version of each service as many as kMostOwnZone
/// of its own zone and kMostOtherZones of all others, and more of those as far as the own zone has fewer, by
/// rendezvous hashing (Thaler and Ravishankar, 1998), so that each sidecar has a subset of its own, each
/// endpoint about as many senders as any other of its service, and one endpoint that comes or goes changes
/// one link at few sidecars.
///
/// It answers a fleet in which links of all to all would take two descriptors a machine at each sidecar, and
/// as many connects when everything comes back at once. Below the sizes named here it leaves nothing out.
///
/// See docs/design/fleet.md for what was weighed.
class EndpointSubset {
 public:
  using Address = runtime::Address;

  /// Enough that a sender's choice among them is nearly as good as among all: with 32 of 100 endpoints, an
  /// endpoint's senders vary by 11% (standard deviation, reckoned), and what the choice goes by is told back
  /// more often by the fewer.
  static constexpr std::size_t kMostOwnZone = 32;
  /// Together they bear what the own zone has, once that is gone, evacuated or full.
  static constexpr std::size_t kMostOtherZones = 32;
  /// Of each other zone at least so many, whatever their number: a route may be kept to one region, or a
  /// zone's endpoints be the only ones left.
  static constexpr std::size_t kLeastOfZone = 2;

  /// @param node the name of this machine, which makes its subset its own.
  EndpointSubset(std::string node, std::string zone) : node_(std::move(node)), zone_(std::move(zone)) {}

  /// The endpoint may get requests.
  void add(const Address& address, const std::string& service, const std::string& version,
           const std::string& zone);
  /// The endpoint gets none any more.
  void remove(const Address& address);
  /// Of these services all endpoints are in the subset: who may get a share of a version has to be the same
  /// at every sender.
  void setWhole(std::set<std::string> services);

  bool contains(const Address& address) const { return chosen_.contains(address); }
  std::size_t size() const { return chosen_.size(); }
  /// @return what came into the subset since the last call, which brings it up to date.
  std::vector<Address> refresh();

 private:
  using Rank = std::pair<std::uint64_t, Address>;
  using Group = std::pair<std::string, std::string>;
  /// Endpoints by zone, in the order in which they are chosen.
  using Zones = std::map<std::string, std::set<Rank>>;
  struct Place {
    Group group;
    std::string zone;
  };

  Rank rankOf(const Address& address) const;
  std::set<Address> choose(const Group& group) const;

  std::string node_;
  std::string zone_;
  /// By service and version.
  std::map<Group, Zones> groups_;
  std::map<Address, Place> places_;
  std::map<Group, std::set<Address>> chosen_of_;
  std::set<Address> chosen_;
  std::set<Group> changed_;
  std::set<std::string> whole_;
};

}  // namespace cometstand::sidecar
