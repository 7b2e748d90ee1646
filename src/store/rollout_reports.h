#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "store/rollout_analysis.h"

namespace cometstand::store {

/// Latest reports of nodes on the targets of one service during one roll-out. Counts are cumulative, so a
/// lost report or a change of leader only delays decisions.
class RolloutReports {
 public:
  /// @param node name of the reporting node.
  void add(const std::string& node, const wire::RolloutReportT& report, TimePoint now);

  /// @return outcomes so far of the service's requests at the targets of the version, or of all other
  /// versions.
  VersionSamples samplesOf(const std::string& version, bool of_others) const;
  /// @return the number of requests passed to targets of the version, or of all versions if none is given.
  std::uint64_t begun(const std::optional<std::string>& version) const;

  /// Totals over the targets with a recent report.
  struct Capacity {
    /// Slots of all targets, and of the warm ones.
    unsigned slots = 0;
    unsigned warm_slots = 0;
    /// Number of targets that are not warm yet.
    unsigned cold = 0;
    unsigned targets = 0;
  };
  Capacity capacityOf(const std::string& version, bool of_others, TimePoint now) const;

  /// @return all versions, except the given one, that targets have reported at any time.
  std::set<std::string> otherVersions(const std::string& version) const;

  /// @return true if a recent report of the node, for the step or a later one, states that this target
  /// receives no new requests. @param idle also require that the target has no request in flight.
  bool isClosed(const std::string& node, const std::string& endpoint, std::uint32_t step, bool idle,
                TimePoint now) const;
  /// @return true if the node's latest report on this target, however old, states for the step or a later one
  /// that the target is closed and idle. Such a target stays idle while that step is in effect.
  bool wasClosedAndIdle(const std::string& node, const std::string& endpoint, std::uint32_t step) const;

 private:
  struct ReceivedReport {
    wire::RolloutReportT report;
    TimePoint at;
  };
  /// Origin of reports: a process of a node, and the target next to it.
  struct Source {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string endpoint;
    friend auto operator<=>(const Source&, const Source&) = default;  // NOLINT(modernize-use-nullptr)
  };

  static bool isFresh(const ReceivedReport& received, TimePoint now);

  std::map<Source, ReceivedReport> reports_;
};

}  // namespace cometstand::store
