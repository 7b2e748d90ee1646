#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/checkers/violation.h"

namespace cometstand::checkers {

/// Times from acceptance to being in force, in microseconds.
struct ConvergenceTimes {
  Duration p50{};
  Duration p99{};
  Duration max{};
  std::size_t samples = 0;
};

/// An accepted version is in force on every proxy, within a limit once the last fault has healed, and stays
/// so. Measures how long it took from acceptance.
class ConvergenceChecker {
 public:
  explicit ConvergenceChecker(ViolationLog& log) : log_(log) {}

  void addNode(const std::string& node) { nodes_[node]; }
  /// @param when the store's answer left.
  void onAccepted(std::uint64_t version, TimePoint when) { accepted_.try_emplace(version, when); }
  /// The proxy counts all versions up to this one as in force.
  void onInForce(const std::string& node, std::uint64_t as_of, TimePoint when);
  /// The proxy's process is down or up again.
  void onDown(const std::string& node) { nodes_[node].as_of = 0; }

  /// No fault is left: every version accepted up to that moment must be in force everywhere now.
  void checkConverged(TimePoint accepted_by, TimePoint now) const;

  /// Forgets what was measured so far, for example while the mesh was set up.
  void beginMeasuring();
  /// @return over all accepted versions and proxies.
  ConvergenceTimes times() const;
  /// @return over all versions that reached every proxy: until the last one of them.
  ConvergenceTimes timesToLastProxy() const;
  std::uint64_t newestAccepted() const { return accepted_.empty() ? 0 : accepted_.rbegin()->first; }

 private:
  struct Node {
    std::uint64_t as_of = 0;
    /// Highest version ever in force, so that each counts once.
    std::uint64_t counted = 0;
  };
  /// How far one version got.
  struct Spread {
    std::size_t proxies = 0;
    Duration longest{};
  };
  ViolationLog& log_;
  std::map<std::uint64_t, TimePoint> accepted_;
  std::map<std::string, Node> nodes_;
  std::vector<Duration> samples_;
  std::map<std::uint64_t, Spread> spreads_;
};

}  // namespace cometstand::checkers
