#pragma once

#include <cstdint>
#include <list>

#include "store/reader_hub.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Operators that wait until a version is in force on every proxy: as many proxies report as there are nodes,
/// and each has the version. What is in force stays in force, so that an answer is true whoever leads.
class InForceWaits {
 public:
  InForceWaits(StoreContext& context, const ReaderHub& readers) : context_(context), readers_(readers) {}

  void add(const Asker& asker, std::uint64_t version, Duration time_limit, TimePoint now);
  /// Answers those whose version is in force by now. To be called when reports or changes came.
  void check();
  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Wait {
    Asker asker;
    std::uint64_t version = 0;
    TimePoint deadline;
  };

  std::uint64_t nodeCount() const;
  bool isInForce(std::uint64_t version) const;

  StoreContext& context_;
  const ReaderHub& readers_;
  std::list<Wait> waits_;
};

}  // namespace cometstand::store
