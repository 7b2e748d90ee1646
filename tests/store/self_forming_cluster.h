#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "memory_network.h"

namespace cometstand::store::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSeeds = 3;

/// A cluster whose first three replicas are seeds. Each empty disk gets the next higher identifier.
class SelfFormingCluster {
 public:
  explicit SelfFormingCluster(std::uint64_t seed = 1, std::size_t replicas = 4) : network(0, seed) {
    for (std::size_t i = 0; i < replicas; ++i) network.addReplica(++last_id);
    for (std::size_t i = 0; i < replicas; ++i) configureReplica(i, true);
  }

  void configureReplica(std::size_t index, bool bootstrap) {
    auto& options = network.options(index);
    options.bootstrap = bootstrap;
    options.seeds.clear();
    for (std::size_t i = 0; i < kSeeds; ++i) {
      options.seeds.push_back({network.options(i).self.address, network.options(i).self.port});
    }
  }

  /// Stops the replica and replaces its disk by an empty one with a new identifier. The address stays the
  /// same.
  void replaceDisk(std::size_t index) {
    network.crash(index);
    network.loseDisk(index);
    network.options(index).self.id = ++last_id;
    configureReplica(index, false);
  }

  /// @return a node that has connected to the first replica and sent its name.
  MemoryNetwork::ClientId connectNode(const std::string& name) {
    const auto client = network.connect(0);
    wire::NodeHelloT hello;
    hello.node = name;
    network.send(client, runtime::makeEnvelope(hello));
    return client;
  }

  bool hasLeader() { return network.leader().has_value(); }

  bool electsLeader(Duration limit = seconds(20)) {
    return network.runUntil([this] { return hasLeader(); }, limit);
  }

  /// @return identifiers of the voters in the leader's membership; empty without a leader.
  std::set<std::uint64_t> voters() {
    std::set<std::uint64_t> ids;
    const auto leader = network.leader();
    if (!leader) return ids;
    for (const auto& voter : network.core(*leader).membership().voters) ids.insert(voter->id);
    return ids;
  }

  /// Begins a planned stop of the replica and ends its process once it has stopped.
  /// @return false if it still runs after the limit.
  bool stop(std::size_t index, Duration limit = seconds(4)) {
    network.beginStop(index);
    const bool has_stopped = network.runUntil([this, index] { return network.core(index).stopped(); }, limit);
    network.crash(index);
    return has_stopped;
  }

  bool isVoter(std::size_t index) { return voters().contains(network.options(index).self.id); }

  MeshAnswerKind change(std::uint64_t base, std::uint64_t revision) {
    wire::MeshChangeT change;
    change.base_revision = base;
    change.revision = revision;
    change.document = {1, 2, static_cast<std::uint8_t>(revision)};
    change.configuration = {3, 4, static_cast<std::uint8_t>(revision)};
    change.digest = std::make_shared<wire::Digest>(revision, base);
    std::optional<MeshAnswerKind> kind;
    const auto leader = network.leader();
    if (!leader) return MeshAnswerKind::NotLeader;
    network.call(*leader, [&](StoreCore& core, TimePoint now) {
      core.changeMesh(
          change, [&kind](const MeshAnswer& answer) { kind = answer.kind; }, now);
    });
    network.runUntil([&kind] { return kind.has_value(); });
    return *kind;
  }

  /// @return the response of the replica to a read.
  MeshAnswer read(std::size_t index) {
    std::optional<MeshAnswer> result;
    network.call(index, [&](StoreCore& core, TimePoint now) {
      core.readMesh([&result](const MeshAnswer& answer) { result = answer; }, now);
    });
    network.runUntil([&result] { return result.has_value(); });
    return *result;
  }

  MemoryNetwork network;
  std::uint64_t last_id = 0;
};

}  // namespace cometstand::store::test
