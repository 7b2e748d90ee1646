#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/checkers/change_groups.h"
#include "rehearsal/checkers/violation.h"

namespace cometstand::checkers {

/// What an operator knows of one change in the end.
enum class ChangeFate : std::uint8_t { Unknown, Accepted, NotRun };

/// Deletions are told apart by markers from here on; they show as 0 in views.
inline constexpr Marker kFirstDeletionMarker = 1U << 20U;

/// Every view is whole: all of a change or nothing of it; a view that counts as being at version N shows all
/// accepted changes up to N and none after; a change that did not run shows nowhere.
class ChangeChecker {
 public:
  explicit ChangeChecker(ViolationLog& log) : log_(log) {}

  void onChangeSent(const GroupName& group, Marker marker);
  /// @param version at which it was accepted. A later word on a marker replaces Unknown only.
  void onChangeFate(const GroupName& group, Marker marker, ChangeFate fate, std::uint64_t version);

  /// @param as_of the version that the proxy counts as in force.
  void onView(const ObservedView& view, std::uint64_t as_of, TimePoint when);

  /// Judges what was seen, once all fates are known.
  void finish();

 private:
  struct Change {
    ChangeFate fate = ChangeFate::Unknown;
    std::uint64_t version = 0;
  };
  struct Seen {
    std::string node;
    TimePoint when;
    std::uint64_t as_of = 0;
    Marker marker = 0;
  };
  struct Group {
    std::map<Marker, Change> changes;
    /// Accepted versions and what they left in the views.
    std::map<std::uint64_t, Marker> accepted;
    bool unknown_deletion = false;
    std::vector<Seen> seen;
  };

  void judge(const GroupName& name, const Group& group, const Seen& seen);

  ViolationLog& log_;
  std::map<GroupName, Group> groups_;
};

}  // namespace cometstand::checkers
