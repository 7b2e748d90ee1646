#pragma once

#include <map>
#include <string>
#include <utility>

#include "rehearsal/checkers/observed_view.h"
#include "rehearsal/checkers/violation.h"

namespace cometstand::checkers {

/// No proxy goes back to an older version than one it has run, over restarts and lost disks.
class VersionOrderChecker {
 public:
  explicit VersionOrderChecker(ViolationLog& log) : log_(log) {}
  void onView(const std::string& node, std::uint64_t version, TimePoint when);

 private:
  ViolationLog& log_;
  std::map<std::string, std::uint64_t> newest_;
};

/// Every route in force has its service and its secret beside it; nothing of a tenant that the node does not
/// serve, and no credential, reaches a proxy.
class ReferenceChecker {
 public:
  explicit ReferenceChecker(ViolationLog& log) : log_(log) {}
  void onView(const ObservedView& view, TimePoint when);

 private:
  ViolationLog& log_;
};

/// Two proxies that serve the same tenants hold the same objects at the same version.
class SameViewChecker {
 public:
  explicit SameViewChecker(ViolationLog& log) : log_(log) {}
  void onView(const ObservedView& view, TimePoint when);

 private:
  struct Seen {
    std::uint64_t content = 0;
    std::string node;
  };
  ViolationLog& log_;
  std::map<std::pair<std::string, std::uint64_t>, Seen> seen_;
};

}  // namespace cometstand::checkers
