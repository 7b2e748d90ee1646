#pragma once

#include <cstddef>
#include <map>

#include "base/time.h"
#include "sidecar/gate_asker.h"

namespace cometstand::sidecar {

/// When the requests came that are not answered yet: each reply tells its asker how long the request was
/// here, so that the asker knows what the way took.
class ArrivalTimes {
 public:
  void note(const GateAsker& asker, TimePoint now) { arrivals_[asker] = now; }
  void forget(const GateAsker& asker) { arrivals_.erase(asker); }
  /// The link ended, so nothing that came over it is answered.
  void forgetLink(runtime::LinkId link) {
    std::erase_if(arrivals_, [link](const auto& item) { return item.first.link == link; });
  }
  /// @return how long the request was here; zero if its arrival is not known. It is forgotten.
  Duration take(const GateAsker& asker, TimePoint now) {
    const auto arrival = arrivals_.find(asker);
    if (arrival == arrivals_.end()) return Duration::zero();
    const Duration time = now - arrival->second;
    arrivals_.erase(arrival);
    return time;
  }
  std::size_t size() const { return arrivals_.size(); }

 private:
  std::map<GateAsker, TimePoint> arrivals_;
};

}  // namespace cometstand::sidecar
