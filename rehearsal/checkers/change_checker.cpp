#include "rehearsal/checkers/change_checker.h"

#include <algorithm>

namespace cometstand::checkers {
namespace {

Marker shownMarker(Marker marker) { return marker >= kFirstDeletionMarker ? 0 : marker; }

}  // namespace

void ChangeChecker::onChangeSent(const GroupName& group, Marker marker) { groups_[group].changes[marker]; }

void ChangeChecker::onChangeFate(const GroupName& name, Marker marker, ChangeFate fate,
                                 std::uint64_t version) {
  auto& change = groups_[name].changes[marker];
  if (change.fate != ChangeFate::Unknown && fate != ChangeFate::Unknown && change.fate != fate) {
    log_.add("change_fate", {},
             fmt::format("change {} of {}/{} was first answered one way, then another", marker, name.tenant,
                         name.group));
  }
  if (fate == ChangeFate::Unknown) return;
  change = {fate, version};
  if (fate == ChangeFate::Accepted) groups_[name].accepted[version] = shownMarker(marker);
}

void ChangeChecker::onView(const ObservedView& view, std::uint64_t as_of, TimePoint when) {
  std::set<std::string> tenants;
  for (const auto& object : view.objects) {
    if (const auto* node = object->spec.AsNodeSpec())
      tenants.insert(node->tenants.begin(), node->tenants.end());
  }
  const auto shown = groupsOf(view);
  for (const auto& [name, markers] : shown) {
    if (!markers.whole()) {
      log_.add("whole_view", when,
               fmt::format("{} at version {} shows {}/{} in part", view.node, view.version, name.tenant,
                           name.group));
    }
    groups_[name];
  }
  for (auto& [name, group] : groups_) {
    if (!tenants.contains(name.tenant)) continue;
    const auto found = shown.find(name);
    const Marker marker = found == shown.end() ? 0 : found->second.route.value_or(0);
    group.seen.push_back({view.node, when, as_of, marker});
  }
}

void ChangeChecker::judge(const GroupName& name, const Group& group, const Seen& seen) {
  const auto change = group.changes.find(seen.marker);
  const auto complain = [&](const char* what) {
    log_.add("whole_view", seen.when,
             fmt::format("{} as of {} shows change {} of {}/{}: {}", seen.node, seen.as_of, seen.marker,
                         name.tenant, name.group, what));
  };
  if (seen.marker != 0) {
    if (change == group.changes.end()) return complain("nobody sent it");
    if (change->second.fate == ChangeFate::NotRun) return complain("it was answered as not run");
    if (change->second.fate == ChangeFate::Unknown) return;
  } else if (group.unknown_deletion) {
    return;
  }
  const auto next = group.accepted.upper_bound(seen.as_of);
  const Marker expected = next == group.accepted.begin() ? 0 : std::prev(next)->second;
  if (expected != seen.marker) {
    complain(fmt::format("accepted up to there is change {}", expected).c_str());
  }
}

void ChangeChecker::finish() {
  for (auto& [name, group] : groups_) {
    group.unknown_deletion = std::any_of(group.changes.begin(), group.changes.end(), [](const auto& entry) {
      return entry.first >= kFirstDeletionMarker && entry.second.fate == ChangeFate::Unknown;
    });
    for (const auto& seen : group.seen) judge(name, group, seen);
    group.seen.clear();
  }
}

}  // namespace cometstand::checkers
