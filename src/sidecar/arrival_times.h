#pragma once

#include <cstddef>
#include <map>

#include "base/time.h"
#include "sidecar/gate_requester.h"

namespace cometstand::sidecar {

/// Arrival times of the requests that have no reply yet. Each reply carries the time that the request spent
/// in this sidecar, so that the requester can compute the network latency.
class ArrivalTimes {
 public:
  void note(const GateRequester& requester, TimePoint now) { arrivals_[requester] = now; }
  void forget(const GateRequester& requester) { arrivals_.erase(requester); }
  /// Removes all requests of a closed link, as none of them gets a reply.
  void forgetLink(runtime::LinkId link) {
    std::erase_if(arrivals_, [link](const auto& item) { return item.first.link == link; });
  }
  /// Removes the request. @return the time since its arrival; zero if the arrival is unknown.
  Duration take(const GateRequester& requester, TimePoint now) {
    const auto arrival = arrivals_.find(requester);
    if (arrival == arrivals_.end()) return Duration::zero();
    const Duration time = now - arrival->second;
    arrivals_.erase(arrival);
    return time;
  }
  std::size_t size() const { return arrivals_.size(); }

 private:
  std::map<GateRequester, TimePoint> arrivals_;
};

}  // namespace cometstand::sidecar
