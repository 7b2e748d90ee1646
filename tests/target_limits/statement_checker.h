#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace cometstand::limits::test {

using MachineNumber = std::size_t;
/// Numbers the starts of all targets together.
using StartNumber = std::size_t;

/// Judges, from what targets and callers see, whether targets get more requests than they state. It shares no
/// code with the sidecar.
///
/// A machine is told once it has passed a response with the statement on to a caller. What it sends later
/// than kNoticeTime after that counts, until its process restarts, is suspended or, for limits, is cut off.
class StatementChecker {
 public:
  /// Time after which what a machine was told counts.
  static constexpr Duration kNoticeTime = std::chrono::milliseconds(500);
  /// Time after the first limit of a target from which its windows count.
  static constexpr Duration kLearnTime = std::chrono::seconds(3);
  static constexpr Duration kWindow = std::chrono::seconds(4);
  static constexpr double kOvershoot = 1.5;
  static constexpr double kSlack = 5;
  /// Time after which a leaving target gets no request that a caller sent to a machine that was told.
  static constexpr Duration kDrainTime = std::chrono::seconds(2);

  /// The target states this limit from now on, or none.
  void onLimit(StartNumber target, std::optional<double> rate, TimePoint now);
  /// The machine passed on a response with a limit or a leave notice.
  void onToldLimit(MachineNumber machine, StartNumber target, TimePoint now);
  void onToldLeaving(MachineNumber machine, StartNumber target, TimePoint now);
  /// A request reached the target.
  /// @param sent when a caller sent it to the machine.
  void onArrival(MachineNumber machine, StartNumber target, TimePoint sent, TimePoint now);
  void onRestarted(MachineNumber machine);
  void onSuspended(MachineNumber machine) { onRestarted(machine); }
  void onCutOff(MachineNumber machine);

  /// @return the violations, in words.
  std::vector<std::string> violations() const;
  /// @return requests that reached targets while they stated a limit, from machines that had been told.
  std::size_t limitedArrivals() const;

 private:
  using Told = std::map<std::pair<MachineNumber, StartNumber>, TimePoint>;
  struct Change {
    TimePoint at;
    std::optional<double> rate;
  };
  struct Target {
    std::vector<Change> changes;
    /// Arrivals that count.
    std::vector<TimePoint> arrivals;
  };

  static void forget(Told& told, MachineNumber machine);
  /// @return how many requests the target's limits allow in the window that ends then; unset if it stated no
  /// limit at some time of the window.
  static std::optional<double> allowedUntil(const Target& target, TimePoint end);
  void checkWindows(StartNumber number, const Target& target, std::vector<std::string>& found) const;

  std::map<StartNumber, Target> targets_;
  Told told_limit_;
  Told told_leaving_;
  std::vector<std::string> late_arrivals_;
};

}  // namespace cometstand::limits::test
