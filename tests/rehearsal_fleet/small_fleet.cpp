#include "rehearsal_fleet/small_fleet.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "rehearsal/fleet/http_client.h"

namespace cometstand::rehearsal {

namespace {

Deployment smallDeployment() {
  Deployment small = krakowDeployment();
  small.zones = {kZoneA, kZoneB};
  small.services = {{"editor-desk", 3}, {"render-vault", 2}};
  return small;
}

FleetOptions smallOptions(const std::string& name) {
  setLogLevel(LogLevel::Warning);
  FleetOptions options;
  options.deployment = smallDeployment();
  options.programs = ownProgramFolder();
  options.folder = options.programs.parent_path() / "fleet_tests" / name;
  options.proxies_per_zone = 1;
  // A back end that leaves goes on for so long that every test of it can look at it.
  options.backend_linger = std::chrono::minutes(2);
  return options;
}

}  // namespace

SmallFleet::SmallFleet(const std::string& name) : fleet_(smallOptions(name)) { fleet_.start(); }

std::string routeChange(const Deployment& deployment, const std::string& name) {
  PlannedRoute route = deployment.routes.front();
  route.name = name;
  route.requests.path = "/" + name;
  return "change {\n" + putRoute(deployment, route) + "}";
}

BackendStats backendStats(const Member& backend) {
  const auto answer = askOverHttp(backend.port().endpoint(), {"GET", "", "/stats", ""});
  REQUIRE(answer);
  const auto stats = boost::json::parse(answer->body);
  return {stats.at("begun").to_number<std::uint64_t>(), stats.at("finished").to_number<std::uint64_t>()};
}

void checkNone(const Violations& violations) {
  for (const auto& violation : violations) UNSCOPED_INFO(violation);
  CHECK(violations.empty());
}

std::uint64_t SmallFleet::addRoute(const std::string& name) {
  return fleet_.tenantOperator().mustRun(routeChange(fleet_.deployment(), name));
}

std::uint64_t SmallFleet::deleteRoute(const std::string& name) {
  return fleet_.tenantOperator().mustRun("change { delete route " + name + " }");
}

void SmallFleet::waitInForce(std::uint64_t version) { fleet_.administrator().waitInForce(version); }

bool SmallFleet::allServe(const std::string& path) {
  const auto proxies = fleet_.members(MemberRole::Proxy);
  return std::all_of(proxies.begin(), proxies.end(),
                     [&](const Member* proxy) { return fleet_.serves(*proxy, path); });
}

}  // namespace cometstand::rehearsal
