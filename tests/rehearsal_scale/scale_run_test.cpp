#include "rehearsal/scale/scale_run.h"

#include <catch2/catch.hpp>
#include <filesystem>

namespace cometstand::rehearsal {
namespace {

/// A small fleet over three zones, one of them with two relays.
ScaleOptions smallRun(StoreMode store_mode) {
  ScaleOptions options;
  options.shape = {60, 20, 3, 10, 3};
  options.store_mode = store_mode;
  options.stores = store_mode == StoreMode::Real ? 3 : 1;
  options.relays = 4;
  options.proxies_per_process = 30;
  options.changes = 12;
  options.change_interval = std::chrono::milliseconds(20);
  options.churn = 3;
  options.sightings = 3;
  options.herd_disk_loss = 0.3;
  options.idle = std::chrono::milliseconds(100);
  options.probe_interval = std::chrono::milliseconds(500);
  options.seed = 7;
  options.program_folder = std::filesystem::canonical("/proc/self/exe").parent_path();
  return options;
}

const boost::json::object& phaseNamed(const boost::json::object& report, std::string_view name) {
  for (const auto& phase : report.at("phases").as_array()) {
    if (phase.at("phase").as_string() == name) return phase.as_object();
  }
  throw std::runtime_error("no such phase");
}

TEST_CASE("A fleet of hollow proxies takes every change and comes back from a herd restart", "[scale]") {
  const auto options = smallRun(GENERATE(StoreMode::Real, StoreMode::Memory));
  ScaleRun scale(options);
  const auto report = scale.run();

  CHECK(report.at("outcomes").at("in_force_everywhere").as_bool());
  CHECK(report.at("outcomes").at("herd_recovered").as_bool());
  CHECK(report.at("outcomes").at("views_moved_back").to_number<int>() == 0);
  CHECK(report.at("changes").to_number<std::size_t>() == options.changes);
  const auto& herd = report.at("herd_restart").as_object();
  CHECK(herd.at("restarted").to_number<int>() > 0);
  CHECK(herd.at("recovered") == herd.at("restarted"));
  // A change is stored by the proxies that it concerns, and by no other.
  const auto& changes = phaseNamed(report, "changes");
  CHECK(changes.at("hollow").at("views_in_force").to_number<std::size_t>() > 0);
  CHECK(changes.at("hollow").at("views_in_force").to_number<std::size_t>() <
        options.changes * options.shape.proxies);
  CHECK(phaseNamed(report, "idle").at("hollow").at("views_in_force").to_number<int>() == 0);
}

}  // namespace
}  // namespace cometstand::rehearsal
