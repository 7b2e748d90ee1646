#pragma once

#include <algorithm>
#include <chrono>
#include <map>

#include "consensus/output.h"

namespace cometstand::store {

/// Replicas that announced a planned stop. Each repeats its announcement while it waits for the release of
/// its vote. An announcement still counts after the replica has ended, until the replica returns or
/// kAnnouncementLifetime has passed.
class StoppingReplicas {
 public:
  void onAnnounced(consensus::ReplicaId id, TimePoint now) { announced_at_[id] = now; }

  /// Removes the announcement of a replica that responds but has not repeated it.
  void onActive(consensus::ReplicaId id, TimePoint now) {
    const auto found = announced_at_.find(id);
    if (found != announced_at_.end() && found->second + kRepeatTimeout < now) announced_at_.erase(found);
  }

  void removeOutdated(TimePoint now) {
    std::erase_if(announced_at_,
                  [now](const auto& item) { return item.second + kAnnouncementLifetime < now; });
  }

  bool contains(consensus::ReplicaId id) const { return announced_at_.contains(id); }

 private:
  /// Several times the interval at which a stopping replica repeats its announcement.
  static constexpr Duration kRepeatTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kAnnouncementLifetime = std::chrono::seconds(10);

  std::map<consensus::ReplicaId, TimePoint> announced_at_;
};

}  // namespace cometstand::store
