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

/// Files that survive a restart of their process.
class MemoryFiles : public runtime::FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string& file) const override;
  std::vector<std::string> list() const override;
  void apply(const runtime::FileWrite& write);

 private:
  std::map<std::string, std::vector<std::uint8_t>> files_;
};

/// Runs replicas and clients in one thread on a clock of its own. Every message and write takes one
/// millisecond; equal seeds give equal runs.
class MemoryNetwork {
 public:
  using ReplicaIndex = std::size_t;
  using ClientId = std::size_t;

  /// @param voters first voters; index i gets id i + 1.
  explicit MemoryNetwork(std::size_t voters, std::uint64_t seed = 1);

  /// The options of replica `index`, to be changed before it starts.
  StoreOptions& options(ReplicaIndex index) { return nodes_.at(index).options; }
  /// Adds a replica that is not started and not a first voter.
  ReplicaIndex addReplica(std::uint64_t id);
  void start(ReplicaIndex index);
  void startAll();
  /// Ends the process without notice; its files stay.
  void crash(ReplicaIndex index);
  const MemoryFiles& files(ReplicaIndex index) const { return nodes_.at(index).files; }
  void loseDisk(ReplicaIndex index) { nodes_.at(index).files = MemoryFiles(); }
  /// Messages between replicas to and from it are lost without notice; clients still reach it.
  void cut(ReplicaIndex index) { cut_.insert(index); }
  void mend(ReplicaIndex index) { cut_.erase(index); }
  bool isCut(ReplicaIndex index) const { return cut_.contains(index); }
  /// The process gets no events; they wait until it is thawed.
  void freeze(ReplicaIndex index) { nodes_.at(index).frozen = true; }
  void thaw(ReplicaIndex index);
  void beginStop(ReplicaIndex index);

  bool isRunning(ReplicaIndex index) const { return nodes_.at(index).core != nullptr; }
  StoreCore& core(ReplicaIndex index) { return *nodes_.at(index).core; }
  /// @return the replica that leads in the highest term, if any; one that is cut off does not count.
  std::optional<ReplicaIndex> leader() const;

  /// Calls the process from outside, as a server in the same process does.
  void call(ReplicaIndex index, const std::function<void(StoreCore&, TimePoint)>& action) {
    deliver(index, nodes_.at(index).life, [this, &action](StoreCore& core) { action(core, now_); });
  }

  /// Opens a link to the replica, as an operator or relay.
  ClientId connect(ReplicaIndex index, const runtime::PeerIdentity& identity = {});
  void disconnect(ClientId client);
  bool isConnected(ClientId client) const { return clients_.at(client).connected; }
  void send(ClientId client, wire::EnvelopeT message);
  /// Messages that came to the client, in order.
  std::vector<wire::EnvelopeT>& received(ClientId client) { return clients_.at(client).received; }

  /// Runs until the condition holds. @return false if it did not within the limit of simulated time.
  bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));
  void runFor(Duration time);
  /// Called for each consensus message that a replica sends.
  std::function<void(const wire::ConsensusMessageT&)> on_consensus_message;

 private:
  struct Node {
    StoreOptions options;
    MemoryFiles files;
    std::unique_ptr<StoreCore> core;
    bool frozen = false;
    std::uint64_t life = 0;
    std::uint64_t next_incoming = runtime::kFirstIncomingLink;
    /// The other end of each open link.
    struct End {
      bool is_client = false;
      std::size_t peer = 0;
      runtime::LinkId link{};
    };
    std::map<runtime::LinkId, End> links;
    std::deque<std::function<void()>> held;
  };
  struct Client {
    ReplicaIndex replica = 0;
    runtime::LinkId link{};
    bool connected = false;
    std::vector<wire::EnvelopeT> received;
  };

  void post(Duration delay, std::function<void()> event);
  /// Hands an event to the process unless it ended since; afterwards carries out what it asks for.
  void deliver(ReplicaIndex index, std::uint64_t life, const std::function<void(StoreCore&)>& event);
  void carryOut(ReplicaIndex index);
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
