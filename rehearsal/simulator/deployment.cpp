#include "rehearsal/simulator/deployment.h"

#include <fmt/format.h>

#include "base/error.h"

namespace cometstand::simulator {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kTargetsOfFirst = 7;
constexpr unsigned kTargetsOfSecond = 5;

Deployment krakow() {
  Deployment plan;
  plan.name = "krakow";
  plan.latency.between_zones = microseconds(500);
  plan.latency.to_clients = milliseconds(3);
  plan.zones = {{"krk-a", "krakow", 2, 3, true},
                {"krk-b", "krakow", 1, 3, true},
                {"krk-c", "krakow", 1, 3, true},
                {"krk-d", "krakow", 1, 3, false}};
  plan.tenant = "wspolnota";
  plan.other_tenant = "broadcaster";
  plan.services = {{"wspolnota", "editor-desk", kTargetsOfFirst},
                   {"wspolnota", "render-vault", kTargetsOfSecond}};
  plan.calls = {{"cues", "editor-desk", "GET", "interactive", true, false, 2000, 40},
                {"commits", "editor-desk", "POST", "commit", false, true, 3000, 20},
                {"invoices", "editor-desk", "POST", "commit", false, false, 3000, 5},
                {"tracks", "render-vault", "GET", "leisure", true, false, 2000, 15},
                {"masters", "render-vault", "POST", "bulk", false, true, 4000, 5}};
  plan.batch_window = milliseconds(50);
  plan.change_pause = milliseconds(700);
  return plan;
}

Deployment astana() {
  Deployment plan;
  plan.name = "astana";
  plan.latency.between_zones = microseconds(1500);
  plan.latency.to_clients = milliseconds(8);
  plan.zones = {{"esil-a", "astana", 2, 4, true},
                {"esil-b", "astana", 1, 4, true},
                {"saryarka-a", "astana", 1, 4, true},
                {"saryarka-b", "astana", 1, 4, false}};
  plan.tenant = "minutes";
  plan.other_tenant = "akimat";
  plan.services = {{"minutes", "registry", kTargetsOfFirst}, {"minutes", "archive", kTargetsOfSecond}};
  plan.calls = {{"search", "registry", "GET", "interactive", true, false, 2000, 40},
                {"certifications", "registry", "POST", "commit", false, true, 3000, 10},
                {"transcripts", "archive", "GET", "leisure", true, false, 2000, 15},
                {"recordings", "archive", "POST", "bulk", false, true, 4000, 5}};
  plan.backend.probe_cost = milliseconds(6);
  plan.batch_window = milliseconds(500);
  plan.change_pause = milliseconds(900);
  return plan;
}

/// The two-year size in its shape: regions, zones, relays and replicas as they will be, a part of the
/// proxies.
Deployment scale() {
  Deployment plan = krakow();
  plan.name = "scale";
  constexpr unsigned kRegions = 6;
  constexpr unsigned kZones = 22;
  constexpr unsigned kReplicas = 5;
  constexpr unsigned kZonesWithTwoRelays = 15;
  constexpr unsigned kProxiesByZone = 10;
  plan.zones.clear();
  for (unsigned zone = 0; zone < kZones; ++zone) {
    ZoneLayout layout;
    layout.name = fmt::format("zone-{}", zone);
    layout.region = fmt::format("region-{}", zone % kRegions);
    layout.relays = zone < kZonesWithTwoRelays ? 2 : 1;
    layout.proxies = kProxiesByZone;
    layout.has_store = zone < kReplicas;
    plan.zones.push_back(layout);
  }
  plan.latency.between_zones = microseconds(500);
  plan.latency.between_regions = milliseconds(20);
  return plan;
}

}  // namespace

Deployment deploymentNamed(std::string_view name) {
  if (name == "krakow") return krakow();
  if (name == "astana") return astana();
  if (name == "scale") return scale();
  throw Error(ErrorKind::Invalid, fmt::format("there is no deployment \"{}\"", name),
              "use krakow, astana or scale");
}

}  // namespace cometstand::simulator
