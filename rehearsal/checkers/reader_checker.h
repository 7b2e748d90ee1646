#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "rehearsal/checkers/violation.h"

namespace cometstand::checkers {

/// The source feeds at most one reader of a zone at a time, and no more than its limit over all zones.
class ReaderChecker {
 public:
  ReaderChecker(ViolationLog& log, std::size_t max_readers) : log_(log), max_readers_(max_readers) {}

  /// The store sent configuration or a beat to a reader of the zone.
  void onFed(const std::string& store, const std::string& zone, std::uint64_t connection, TimePoint when) {
    auto& reader = readers_[store][zone];
    if (reader.connection == connection) return;
    if (reader.replaced.contains(connection)) {
      log_.add("readers", when, fmt::format("{} feeds two readers of zone {} at once", store, zone));
      return;
    }
    if (reader.connection != 0) reader.replaced.insert(reader.connection);
    reader.connection = connection;
    if (readers_[store].size() > max_readers_) {
      log_.add("readers", when, fmt::format("{} feeds {} readers", store, readers_[store].size()));
    }
  }

  /// The store's process ended.
  void onEnded(const std::string& store) { readers_.erase(store); }

 private:
  struct Reader {
    std::uint64_t connection = 0;
    /// Connections that another one has taken over from; none of them may be fed again.
    std::set<std::uint64_t> replaced;
  };
  ViolationLog& log_;
  std::size_t max_readers_;
  std::map<std::string, std::map<std::string, Reader>> readers_;
};

}  // namespace cometstand::checkers
