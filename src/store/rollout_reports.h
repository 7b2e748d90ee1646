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

/// What nodes report of the targets of one service during one roll-out. Counts are cumulative, so that a lost
/// report or another leader costs nothing but time.
class RolloutReports {
 public:
  /// @param node the name of the node that reports.
  void take(const std::string& node, const wire::RolloutReportT& report, TimePoint now);

  /// @return what the targets of the version made of the service's requests so far, or those of all others.
  VersionSamples samplesOf(const std::string& version, bool of_others) const;
  /// @return requests passed to targets of the version; without one, of all versions.
  std::uint64_t begun(const std::optional<std::string>& version) const;

  /// Sums over the targets that were heard of lately.
  struct Capacity {
    /// Slots of all, and of those that are warm.
    unsigned slots = 0;
    unsigned warm_slots = 0;
    /// Targets that are not warm yet.
    unsigned cold = 0;
    unsigned targets = 0;
  };
  Capacity capacityOf(const std::string& version, bool of_others, TimePoint now) const;

  /// @return versions other than that one which targets said lately or before.
  std::set<std::string> otherVersions(const std::string& version) const;

  /// @return true if the node lately reported of this target, with the step or a later one, that it gets no
  /// new requests. @param idle it has none left either.
  bool isClosed(const std::string& node, const std::string& endpoint, std::uint32_t step, bool idle,
                TimePoint now) const;
  /// @return true if the node's last word on this target, however old, was that it is closed by the step or a
  /// later one, and idle. Such a target stays idle for as long as that step holds.
  bool endedIdle(const std::string& node, const std::string& endpoint, std::uint32_t step) const;

 private:
  struct Heard {
    wire::RolloutReportT report;
    TimePoint at;
  };
  /// A process of a node and a target beside it.
  struct Source {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string endpoint;
    friend auto operator<=>(const Source&, const Source&) = default;  // NOLINT(modernize-use-nullptr)
  };

  static bool isFresh(const Heard& heard, TimePoint now);

  std::map<Source, Heard> heard_;
};

}  // namespace cometstand::store
