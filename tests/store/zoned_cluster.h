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

/// Replicas of given zones that form a cluster from the first of them.
class ZonedCluster {
 public:
  ZonedCluster(std::vector<std::string> zones, std::size_t seeds, std::size_t voters, std::uint64_t seed = 1,
               std::size_t zone_losses = 1)
      : network(0, seed), zones_(std::move(zones)), seeds_(seeds), voters_(voters), losses_(zone_losses) {
    for (std::size_t i = 0; i < zones_.size(); ++i) network.addReplica(i + 1);
    for (std::size_t i = 0; i < zones_.size(); ++i) setUp(i, true);
  }

  void setUp(std::size_t index, bool bootstrap) {
    auto& options = network.options(index);
    options.bootstrap = bootstrap;
    options.self.zone = zones_.at(index);
    options.voters = voters_;
    options.tolerated_zone_losses = losses_;
    options.seeds.clear();
    for (std::size_t i = 0; i < seeds_; ++i) {
      options.seeds.push_back({network.options(i).self.address, network.options(i).self.port});
    }
  }

  /// The machines of the zone are gone, their disks with them.
  void loseZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone || !network.isRunning(i)) continue;
      network.crash(i);
      network.loseDisk(i);
    }
  }

  /// The machines of the zone lose power; their disks stay.
  void stopZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] == zone) network.crash(i);
    }
  }

  void startZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone) continue;
      setUp(i, false);
      network.start(i);
    }
  }

  /// The machines of the zone come back with empty disks.
  void restoreZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone) continue;
      network.options(i).self.id += zones_.size();
      setUp(i, false);
      network.start(i);
    }
  }

  std::optional<wire::MembershipT> membership() {
    const auto leader = network.leader();
    return leader ? std::optional(network.core(*leader).membership()) : std::nullopt;
  }

  VotersByZone spread() {
    const auto now = membership();
    return now && now->replaced == 0 ? votersByZone(*now) : VotersByZone();
  }

  bool allVotersRun() {
    const auto now = membership();
    return now && std::all_of(now->voters.begin(), now->voters.end(), [this](const auto& voter) {
             for (std::size_t i = 0; i < zones_.size(); ++i) {
               if (network.options(i).self.id == voter->id) return network.isRunning(i);
             }
             return false;
           });
  }

  bool reaches(const VotersByZone& wanted, Duration limit = std::chrono::seconds(20)) {
    const bool is_reached = network.runUntil([&] { return spread() == wanted; }, limit);
    // The leader has the new membership; it counts once the others have it too.
    network.runFor(std::chrono::milliseconds(100));
    return is_reached && spread() == wanted;
  }

  /// Orders a change without waiting for it. @return set to true once it is acknowledged.
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

  /// @return what the leader answers a read with; nothing if nobody leads in time.
  std::optional<std::uint64_t> read(Duration limit = std::chrono::seconds(10)) {
    std::optional<std::uint64_t> revision;
    const auto ask = [&] {
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
      ask();
      network.runFor(std::chrono::milliseconds(100));
    }
    return revision;
  }

  MemoryNetwork network;

 private:
  std::vector<std::string> zones_;
  std::size_t seeds_;
  std::size_t voters_;
  std::size_t losses_;
};

}  // namespace cometstand::store::test
