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
  const auto known = places_.find(address);
  if (known != places_.end() && known->second.group == group && known->second.zone == zone) return;
  remove(address);
  places_[address] = {group, zone};
  groups_[group][zone].insert(rankOf(address));
  changed_.insert(group);
}

void EndpointSubset::remove(const Address& address) {
  const auto place = places_.find(address);
  if (place == places_.end()) return;
  const auto [group, zone] = place->second;
  auto& zones = groups_.at(group);
  zones.at(zone).erase(rankOf(address));
  if (zones.at(zone).empty()) zones.erase(zone);
  if (zones.empty()) groups_.erase(group);
  places_.erase(place);
  changed_.insert(group);
}

void EndpointSubset::setWhole(std::set<std::string> services) {
  if (services == whole_) return;
  for (const auto& [group, zones] : groups_) {
    if (services.contains(group.first) != whole_.contains(group.first)) changed_.insert(group);
  }
  whole_ = std::move(services);
}

std::set<runtime::Address> EndpointSubset::choose(const Group& group) const {
  std::set<Address> chosen;
  const auto found = groups_.find(group);
  if (found == groups_.end()) return chosen;
  const auto& zones = found->second;
  const auto own = zones.find(zone_);
  const std::size_t of_own = own == zones.end() ? 0 : std::min(kMostOwnZone, own->second.size());
  const std::size_t others = zones.size() - (own == zones.end() ? 0 : 1);
  const std::size_t left_for_others = kMostOtherZones + kMostOwnZone - of_own;
  const std::size_t of_other =
      others == 0 ? 0 : std::max(kLeastOfZone, (left_for_others + others - 1) / others);
  for (const auto& [zone, ranked] : zones) {
    std::size_t left = zone == zone_ ? of_own : of_other;
    if (whole_.contains(group.first)) left = ranked.size();
    for (auto rank = ranked.begin(); rank != ranked.end() && left > 0; ++rank, --left)
      chosen.insert(rank->second);
  }
  return chosen;
}

/// In two passes, as an endpoint may have gone from one group to another.
std::vector<runtime::Address> EndpointSubset::refresh() {
  const auto before = chosen_;
  for (const auto& group : changed_) {
    for (const auto& address : chosen_of_[group]) chosen_.erase(address);
    chosen_of_.erase(group);
  }
  std::vector<Address> added;
  for (const auto& group : std::exchange(changed_, {})) {
    auto chosen = choose(group);
    for (const auto& address : chosen) {
      chosen_.insert(address);
      if (!before.contains(address)) added.push_back(address);
    }
    if (!chosen.empty()) chosen_of_[group] = std::move(chosen);
  }
  return added;
}

}  // namespace cometstand::sidecar
