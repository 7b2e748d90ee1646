#pragma once

#include <string>
#include <vector>

#include "rehearsal/fleet/outcome_check.h"

namespace cometstand::rehearsal {

/// What a rehearsal found, printed as it goes on: one line for each outcome, held or broken.
class RehearsalReport {
 public:
  /// Prints what is done next.
  void step(const std::string& text);

  /// Notes whether an outcome held.
  void expect(bool held, const std::string& outcome);

  /// Notes an outcome that holds if there are no violations; prints the first of them.
  void expectNone(const Violations& violations, const std::string& outcome);

  bool allHeld() const { return broken_.empty(); }

  /// Prints the totals, and the broken outcomes once more.
  void finish() const;

 private:
  std::size_t held_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace cometstand::rehearsal
