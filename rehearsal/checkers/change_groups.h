#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "rehearsal/checkers/observed_view.h"

namespace cometstand::checkers {

/// A group is a route, a service and a secret that the workload always changes in one transaction. Each
/// change writes its own marker into all three, so that a view shows from which change each of them stems.
struct GroupName {
  std::string tenant;
  unsigned group = 0;
  friend bool operator<(const GroupName& left, const GroupName& right) {
    return std::tie(left.tenant, left.group) < std::tie(right.tenant, right.group);
  }
};

/// Written into the objects; 0 stands for a deleted group.
using Marker = std::uint32_t;

/// @return the command that puts the group with the marker, or deletes it if the marker is 0.
/// @param address where the group's service has its one endpoint.
std::string groupCommand(const GroupName& group, Marker marker, std::uint64_t if_version,
                         const std::string& address, const std::string& zone);

/// The markers of one group as a view shows them; nothing for an object that is not there.
struct GroupMarkers {
  std::optional<Marker> route;
  std::optional<Marker> service;
  std::optional<Marker> secret;

  /// @return true if all stem from one change.
  bool whole() const { return route == service && service == secret; }
};

/// @return the groups of which the view holds anything.
std::map<GroupName, GroupMarkers> groupsOf(const ObservedView& view);

}  // namespace cometstand::checkers
