#include "sidecar/endpoint_subset.h"

#include <xxhash.h>

#include <algorithm>

namespace cometstand::sidecar {

EndpointSubset::Rank EndpointSubset::rankOf(const Address& address) const {
  const std::string text = node_ + "\n" + address.host + "\n" + std::to_string(address.port);
  return {XXH3_64bits(text.data(), text.size()), address};
}

void EndpointSubset::add(const Address& address, const std::string& service, const std::string& version,
                         const std::string& zone) {
  const Group group{service, version};
  const auto known = memberships_.find(address);
  if (known != memberships_.end() && known->second.group == group && known->second.zone == zone) return;
  remove(address);
  memberships_[address] = {group, zone};
  groups_[group][zone].insert(rankOf(address));
  changed_groups_.insert(group);
}

void EndpointSubset::remove(const Address& address) {
  const auto membership = memberships_.find(address);
  if (membership == memberships_.end()) return;
  const auto [group, zone] = membership->second;
  auto& zones = groups_.at(group);
  zones.at(zone).erase(rankOf(address));
  if (zones.at(zone).empty()) zones.erase(zone);
  if (zones.empty()) groups_.erase(group);
  memberships_.erase(membership);
  changed_groups_.insert(group);
}

void EndpointSubset::setUnrestrictedServices(std::set<std::string> services) {
  if (services == unrestricted_services_) return;
  for (const auto& [group, zones] : groups_) {
    if (services.contains(group.first) != unrestricted_services_.contains(group.first))
      changed_groups_.insert(group);
  }
  unrestricted_services_ = std::move(services);
}

std::set<runtime::Address> EndpointSubset::select(const Group& group) const {
  std::set<Address> selected;
  const auto found = groups_.find(group);
  if (found == groups_.end()) return selected;
  const auto& zones = found->second;
  const auto own = zones.find(zone_);
  const std::size_t own_zone_count =
      own == zones.end() ? 0 : std::min(kMaxOwnZoneEndpoints, own->second.size());
  const std::size_t other_zones = zones.size() - (own == zones.end() ? 0 : 1);
  const std::size_t other_zones_limit = kMaxOtherZoneEndpoints + kMaxOwnZoneEndpoints - own_zone_count;
  const std::size_t per_zone_count =
      other_zones == 0 ? 0
                       : std::max(kMinEndpointsPerZone, (other_zones_limit + other_zones - 1) / other_zones);
  for (const auto& [zone, ranked] : zones) {
    std::size_t remaining = zone == zone_ ? own_zone_count : per_zone_count;
    if (unrestricted_services_.contains(group.first)) remaining = ranked.size();
    for (auto rank = ranked.begin(); rank != ranked.end() && remaining > 0; ++rank, --remaining)
      selected.insert(rank->second);
  }
  return selected;
}

/// Removes the old selection of all changed groups before it adds the new ones, since an endpoint may have
/// moved from one group to another.
std::vector<runtime::Address> EndpointSubset::refresh() {
  const auto before = selected_;
  for (const auto& group : changed_groups_) {
    for (const auto& address : selected_by_group_[group]) selected_.erase(address);
    selected_by_group_.erase(group);
  }
  std::vector<Address> added;
  for (const auto& group : std::exchange(changed_groups_, {})) {
    auto selected = select(group);
    for (const auto& address : selected) {
      selected_.insert(address);
      if (!before.contains(address)) added.push_back(address);
    }
    if (!selected.empty()) selected_by_group_[group] = std::move(selected);
  }
  return added;
}

}  // namespace cometstand::sidecar
