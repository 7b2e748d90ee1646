#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runtime/process_core.h"
#include "store/store_core.h"

namespace cometstand::store::test {

/// In-memory files that survive a restart of the process.
class MemoryFiles : public runtime::FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string& file) const override;
  std::vector<std::string> list() const override;
  void apply(const runtime::FileWrite& write);

 private:
  std::map<std::string, std::vector<std::uint8_t>> files_;
};

/// Runs replicas and clients in one thread on a simulated clock. Every message and write takes one
/// millisecond of simulated time. Runs are deterministic for a given seed.
class MemoryNetwork {
 public:
  using ReplicaIndex = std::size_t;
  using ClientId = std::size_t;

  /// @param voters number of initial voters; the replica at index i gets id i + 1.
  explicit MemoryNetwork(std::size_t voters, std::uint64_t seed = 1);

  /// Options of the replica; to be changed only before it starts.
  StoreOptions& options(ReplicaIndex index) { return nodes_.at(index).options; }
  /// Adds a replica that is not started and is not an initial voter.
  ReplicaIndex addReplica(std::uint64_t id);
  void start(ReplicaIndex index);
  void startAll();
  /// Terminates the process without a clean stop; its files are kept.
  void crash(ReplicaIndex index);
  const MemoryFiles& files(ReplicaIndex index) const { return nodes_.at(index).files; }
  void loseDisk(ReplicaIndex index) { nodes_.at(index).files = MemoryFiles(); }
  /// Partitions the replica from the other replicas: messages between them are dropped silently. Clients can
  /// still reach it.
  void cut(ReplicaIndex index) { cut_.insert(index); }
  void mend(ReplicaIndex index) { cut_.erase(index); }
  bool isCut(ReplicaIndex index) const { return cut_.contains(index); }
  /// Suspends the process: its events are deferred until thaw().
  void freeze(ReplicaIndex index) { nodes_.at(index).frozen = true; }
  void thaw(ReplicaIndex index);
  void beginStop(ReplicaIndex index);

  bool isRunning(ReplicaIndex index) const { return nodes_.at(index).core != nullptr; }
  StoreCore& core(ReplicaIndex index) { return *nodes_.at(index).core; }
  /// @return the leader with the highest term, if any; partitioned replicas are ignored.
  std::optional<ReplicaIndex> leader() const;

  /// Runs `action` on the core, like a call from another server in the same process.
  void call(ReplicaIndex index, const std::function<void(StoreCore&, TimePoint)>& action) {
    deliver(index, nodes_.at(index).incarnation, [this, &action](StoreCore& core) { action(core, now_); });
  }

  /// Opens a client link to the replica, for example as an operator or relay.
  ClientId connect(ReplicaIndex index, const runtime::PeerIdentity& identity = {});
  void disconnect(ClientId client);
  bool isConnected(ClientId client) const { return clients_.at(client).connected; }
  void send(ClientId client, wire::EnvelopeT message);
  /// Messages that the client has received, in order.
  std::vector<wire::EnvelopeT>& received(ClientId client) { return clients_.at(client).received; }

  /// Runs until the condition is true.
  /// @return false if the condition was still false after `limit` of simulated time.
  bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));
  void runFor(Duration time);
  /// If set, called for each consensus message that a replica sends.
  std::function<void(const wire::ConsensusMessageT&)> on_consensus_message;

 private:
  struct Node {
    StoreOptions options;
    MemoryFiles files;
    std::unique_ptr<StoreCore> core;
    bool frozen = false;
    std::uint64_t incarnation = 0;
    std::uint64_t next_incoming = runtime::kFirstIncomingLink;
    /// Remote end of an open link.
    struct RemoteEnd {
      bool is_client = false;
      std::size_t peer = 0;
      runtime::LinkId link{};
    };
    std::map<runtime::LinkId, RemoteEnd> links;
    std::deque<std::function<void()>> deferred_events;
  };
  struct Client {
    ReplicaIndex replica = 0;
    runtime::LinkId link{};
    bool connected = false;
    std::vector<wire::EnvelopeT> received;
  };

  void post(Duration delay, std::function<void()> event);
  /// Runs the event on the process unless the process has ended since the event was posted, then performs the
  /// actions that the core requested.
  void deliver(ReplicaIndex index, std::uint64_t incarnation, const std::function<void(StoreCore&)>& event);
  void performActions(ReplicaIndex index);
  void openLink(ReplicaIndex from, const runtime::ConnectOrder& order);
  void sendFrom(ReplicaIndex from, const runtime::OutgoingMessage& outgoing);
  void closeLink(ReplicaIndex index, runtime::LinkId link);
  void step();

  std::uint64_t seed_;
  TimePoint now_{std::chrono::hours(1)};
  std::deque<Node> nodes_;
  std::deque<Client> clients_;
  std::set<ReplicaIndex> cut_;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t next_event_ = 0;
};

}  // namespace cometstand::store::test
