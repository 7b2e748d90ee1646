#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "memory_network.h"
#include "store/voter_spread.h"

namespace cometstand::store::test {

/// A cluster of replicas in given zones. The first `seeds` replicas are the seeds.
class ZonedCluster {
 public:
  ZonedCluster(std::vector<std::string> zones, std::size_t seeds, std::size_t voters, std::uint64_t seed = 1,
               std::size_t zone_losses = 1)
      : network(0, seed), zones_(std::move(zones)), seeds_(seeds), voters_(voters), losses_(zone_losses) {
    for (std::size_t i = 0; i < zones_.size(); ++i) network.addReplica(i + 1);
    for (std::size_t i = 0; i < zones_.size(); ++i) configureReplica(i, true);
  }

  void configureReplica(std::size_t index, bool bootstrap) {
    auto& options = network.options(index);
    options.bootstrap = bootstrap;
    options.self.zone = zones_.at(index);
    options.voters = voters_;
    options.spare_voters = spare_voters;
    options.tolerated_zone_losses = losses_;
    options.seeds.clear();
    for (std::size_t i = 0; i < seeds_; ++i) {
      options.seeds.push_back({network.options(i).self.address, network.options(i).self.port});
    }
  }

  /// Stops the running replicas of the zone and deletes their disks.
  void loseZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone || !network.isRunning(i)) continue;
      network.crash(i);
      network.loseDisk(i);
    }
  }

  /// Crashes the replicas of the zone as on a power failure; their disks remain.
  void stopZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] == zone) network.crash(i);
    }
  }

  void startZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone) continue;
      configureReplica(i, false);
      network.start(i);
    }
  }

  /// Starts the replicas of the zone with empty disks and new identifiers.
  void restoreZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone) continue;
      network.options(i).self.id += zones_.size();
      configureReplica(i, false);
      network.start(i);
    }
  }

  std::optional<wire::MembershipT> membership() {
    const auto leader = network.leader();
    return leader ? std::optional(network.core(*leader).membership()) : std::nullopt;
  }

  VotersByZone spread() {
    const auto current = membership();
    return current && current->replaced == 0 ? votersByZone(*current) : VotersByZone();
  }

  bool allVotersRun() {
    const auto current = membership();
    return current && std::all_of(current->voters.begin(), current->voters.end(), [this](const auto& voter) {
             for (std::size_t i = 0; i < zones_.size(); ++i) {
               if (network.options(i).self.id == voter->id) return network.isRunning(i);
             }
             return false;
           });
  }

  /// @return true if the voters are so many, in so many zones, and survive the tolerated zone losses.
  bool isSpread(std::size_t zones, std::size_t voters) {
    const auto current = spread();
    return current.size() == zones && survivesZoneLosses(current, losses_) &&
           membership()->voters.size() == voters;
  }

  bool reachesSpread(const VotersByZone& expected, Duration limit = std::chrono::seconds(20)) {
    const bool is_reached = network.runUntil([&] { return spread() == expected; }, limit);
    // The leader uses the new membership before it is committed. The delay lets the others receive it.
    network.runFor(std::chrono::milliseconds(100));
    return is_reached && spread() == expected;
  }

  /// Submits a change without waiting for its outcome.
  /// @return a flag that becomes true when the change is acknowledged.
  std::shared_ptr<bool> beginChange(std::uint64_t base, std::uint64_t revision) {
    auto acknowledged = std::make_shared<bool>(false);
    const auto leader = network.leader();
    if (!leader) return acknowledged;
    wire::MeshChangeT change;
    change.base_revision = base;
    change.revision = revision;
    change.document = {static_cast<std::uint8_t>(revision)};
    change.configuration = change.document;
    change.digest = std::make_shared<wire::Digest>(revision, base);
    network.call(*leader, [&](StoreCore& core, TimePoint now) {
      core.changeMesh(
          change,
          [acknowledged](const MeshAnswer& answer) { *acknowledged = answer.kind == MeshAnswerKind::Done; },
          now);
    });
    return acknowledged;
  }

  /// @return the revision that the leader reads; nothing if no read succeeds within the limit.
  std::optional<std::uint64_t> read(Duration limit = std::chrono::seconds(10)) {
    std::optional<std::uint64_t> revision;
    const auto send_read = [&] {
      const auto leader = network.leader();
      if (!leader) return;
      network.call(*leader, [&](StoreCore& core, TimePoint now) {
        core.readMesh(
            [&revision](const MeshAnswer& answer) {
              if (answer.kind == MeshAnswerKind::Done) revision = answer.revision;
            },
            now);
      });
    };
    for (Duration waited = Duration::zero(); !revision && waited < limit;
         waited += std::chrono::milliseconds(100)) {
      send_read();
      network.runFor(std::chrono::milliseconds(100));
    }
    return revision;
  }

  MemoryNetwork network;
  /// To be set before the replicas are configured again.
  std::size_t spare_voters = 0;

 private:
  std::vector<std::string> zones_;
  std::size_t seeds_;
  std::size_t voters_;
  std::size_t losses_;
};

}  // namespace cometstand::store::test
