#include "mesh/zone_map.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/error.h"

namespace cometstand::mesh {

ZoneMap::ZoneMap(const std::vector<std::string>& entries) {
  for (const auto& entry : entries) {
    const auto separator = entry.find('=');
    const bool has_both = separator != std::string::npos && separator > 0 && separator + 1 < entry.size();
    if (!has_both) {
      throw Error(ErrorKind::Invalid, fmt::format("\"{}\" names no zone and its region", entry),
                  "write the zone, = and the region");
    }
    const auto zone = entry.substr(0, separator);
    if (!regions_.emplace(zone, entry.substr(separator + 1)).second) {
      throw Error(ErrorKind::Invalid, fmt::format("zone {} is named twice", zone), "name each zone once");
    }
  }
}

const std::string& ZoneMap::regionOf(const std::string& zone) const {
  static const std::string unknown;
  const auto known = regions_.find(zone);
  return known == regions_.end() ? unknown : known->second;
}

ZoneDistance ZoneMap::distance(const std::string& from, const std::string& to) const {
  if (from == to) return ZoneDistance::SameZone;
  const auto& from_region = regionOf(from);
  const auto& to_region = regionOf(to);
  const bool is_same = from_region.empty() || to_region.empty() || from_region == to_region;
  return is_same ? ZoneDistance::SameRegion : ZoneDistance::OtherRegion;
}

bool isAllowedRegion(const std::vector<std::string>& allowed, const std::string& region) {
  if (allowed.empty()) return true;
  return !region.empty() && std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

}  // namespace cometstand::mesh
