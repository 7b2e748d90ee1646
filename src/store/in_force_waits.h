#pragma once

#include <cstdint>
#include <list>

#include "store/reader_hub.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Pending operator requests that wait until a version is in force on every proxy, that is, until as many
/// proxies report as there are nodes and each of them has at least that version. A version that is in
/// force stays in force, so an answer remains valid after a change of leader.
class InForceWaits {
 public:
  InForceWaits(StoreContext& context, const ReaderHub& readers) : context_(context), readers_(readers) {}

  void add(const Requester& requester, std::uint64_t version, Duration time_limit, TimePoint now);
  /// Answers the requests whose version is now in force; to be called after new reports or changes.
  void check();
  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Wait {
    Requester requester;
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
