#pragma once

#include <boost/json/object.hpp>
#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "rehearsal/scale/catalog_plan.h"
#include "rehearsal/scale/fleet_usage.h"
#include "rehearsal/scale/reader_probe.h"
#include "rehearsal/scale/scale_fleet.h"
#include "rehearsal/scale/scale_options.h"

namespace cometstand::rehearsal {

/// One scale run: creates a configuration, lets all proxies join, watches the quiet fleet, makes changes
/// while endpoints churn, kills a share of the proxies at once, and measures each phase.
class ScaleRun {
 public:
  explicit ScaleRun(const ScaleOptions& options);

  /// @return the report; its `outcomes` hold whether everything came out as it must.
  /// @throw Error(Timeout) if a phase takes longer than its limit.
  boost::json::object run();

 private:
  struct AcceptedChange {
    std::uint64_t version = 0;
    std::size_t fan_out = 0;
    TimePoint sent;
    TimePoint accepted;
  };

  void createCatalog();
  void joinAll();
  void watchIdle();
  /// Waits until first probes and connection shares have reached all proxies.
  void settle();
  void makeChanges();
  void askQueries();
  void takeClaims();
  void restartHerd();
  boost::json::object report();

  void waitForStatus(const std::string& what, const std::function<bool(const HollowStatus&)>& done);
  /// Starts anew or sights as leaving what is due after this many changes.
  void churnStep(std::size_t change);
  /// Closes the phase that began with the last call. @return its report.
  FleetReport endPhase(const std::string& name);
  FleetReport takeReport();
  boost::json::object convergenceToJson() const;
  boost::json::array fanOutToJson() const;

  const ScaleOptions& options_;
  RandomSource random_;
  ScaleFleet fleet_;
  CatalogPlan plan_;
  CommandClient client_;
  ReaderProbe reader_;
  std::uint64_t version_ = 0;
  std::vector<AcceptedChange> accepted_;
  FleetUsage phase_start_;
  FleetReport after_changes_;
  boost::json::array phases_;
  boost::json::object herd_;
  boost::json::object queries_;
  boost::json::object claims_;
  double creation_seconds_ = 0;
  double join_seconds_ = 0;
  bool recovered_all_ = true;
};

}  // namespace cometstand::rehearsal
