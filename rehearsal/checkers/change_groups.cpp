#include "rehearsal/checkers/change_groups.h"

#include <fmt/format.h>

#include <charconv>

namespace cometstand::checkers {
namespace {

constexpr std::string_view kPrefix = "group-";

std::optional<Marker> parseNumber(std::string_view text) {
  Marker value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<unsigned> groupNumber(const std::string& name) {
  if (!name.starts_with(kPrefix)) return std::nullopt;
  return parseNumber(std::string_view(name).substr(kPrefix.size()));
}

Marker routeMarker(const wire::RouteSpecT& route) {
  return parseNumber(std::string_view(route.path_prefix).substr(route.path_prefix.rfind('/') + 1))
      .value_or(0);
}

}  // namespace

std::string groupCommand(const GroupName& group, Marker marker, std::uint64_t if_version,
                         const std::string& address, const std::string& zone) {
  const auto name = fmt::format("{}{}", kPrefix, group.group);
  const auto condition = if_version == 0 ? "" : fmt::format("if version {} ", if_version);
  if (marker == 0) {
    return fmt::format("change {0}{{ delete route {1}; delete service {1}; delete secret {1}; }}", condition,
                       name);
  }
  return fmt::format(
      "change {0}{{ put service {1} {{ endpoint target at {2} zone {3} slots 6 connections {4}; }}; "
      "put secret {1} value \"{4}\"; put route {1} host {5}.example path /{1}/{4} to {1} secret {1}; }}",
      condition, name, address, zone, marker, group.tenant);
}

std::map<GroupName, GroupMarkers> groupsOf(const ObservedView& view) {
  std::map<GroupName, GroupMarkers> groups;
  for (const auto& object : view.objects) {
    const auto number = groupNumber(object->key->name);
    if (!number) continue;
    auto& markers = groups[{object->key->tenant, *number}];
    if (const auto* route = object->spec.AsRouteSpec()) markers.route = routeMarker(*route);
    if (const auto* secret = object->spec.AsSecretSpec()) {
      markers.secret = parseNumber(std::string(secret->value.begin(), secret->value.end())).value_or(0);
    }
    if (const auto* service = object->spec.AsServiceSpec()) {
      markers.service = service->endpoints.empty() ? 0 : service->endpoints.front()->max_connections;
    }
  }
  return groups;
}

}  // namespace cometstand::checkers
