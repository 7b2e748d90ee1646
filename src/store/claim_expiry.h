#pragma once

#include <map>
#include <string>
#include <utility>

#include "store/log_writer.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Ends claims whose holder has not been heard of for StoreOptions::claim_time_limit as Unknown, so that a
/// caller that sends its request again gets a final answer. Whether the request ran is not known, so the key
/// is not freed; a holder that lives after all may still report Completed. Runs on the leader, by its own
/// clock: after a change of leader the time counts anew.
class ClaimExpiry {
 public:
  ClaimExpiry(StoreContext& context, LogWriter& writer) : context_(context), writer_(writer) {}

  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return context_.isLeader() ? scan_at_ : TimePoint::max(); }
  void onLeadershipLost() { seen_.clear(); }

 private:
  struct Seen {
    std::string attempt;
    TimePoint since;
  };
  /// Tenant and key.
  using ClaimName = std::pair<std::string, std::string>;

  StoreContext& context_;
  LogWriter& writer_;
  /// Claims in progress at the last scan.
  std::map<ClaimName, Seen> seen_;
  TimePoint scan_at_;
};

}  // namespace cometstand::store
