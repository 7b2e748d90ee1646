#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// The nodes (sidecar proxies) that are connected to this replica. Every node connects to every replica and
/// reports its own endpoint to each of them; it subscribes to one replica, which sends it configurations and
/// the endpoints of other nodes.
///
/// Endpoint records are soft state that only speeds up routing: every node decides itself which requests its
/// own target accepts.
class NodeHub {
 public:
  explicit NodeHub(StoreContext& context) : context_(context) {}

  /// @return true if the message was sent by a node.
  bool onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onLinkClosed(runtime::LinkId link, TimePoint now);
  /// To be called after log entries were applied: sends what has changed to the subscribed nodes.
  void onApplied(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const {
    return nodes_.empty() && endpoints_.empty() ? TimePoint::max() : next_timer_at_;
  }

  std::size_t nodes() const { return nodes_.size(); }
  /// @return the name that the node on the link reported.
  std::optional<std::string> nameOf(runtime::LinkId link) const;
  /// @return the endpoints of the service, each with the name of its node.
  std::vector<std::pair<std::string, std::shared_ptr<const wire::EndpointRecordT>>> endpointsOf(
      const std::string& service) const;

  /// An endpoint that was removed because the link of its node was closed.
  struct LostEndpoint {
    std::shared_ptr<const wire::EndpointRecordT> record;
    /// When the link was closed.
    TimePoint lost_at;
  };
  /// @return the lost endpoints by the names of their nodes, kept until the node reports again, at most for
  /// kLostEndpointRetention. Their targets may still be running requests.
  const std::map<std::string, LostEndpoint>& lostEndpoints() const { return lost_endpoints_; }

 private:
  struct Node {
    std::string name;
    TimePoint last_message_at;
    bool subscribed = false;
    std::uint64_t sent_revision = 0;
    TimePoint next_heartbeat_at;
    /// Version of the list of stores that was sent last; 0 for none.
    std::uint64_t sent_store_list_version = 0;
    TimePoint store_list_sent_at;
  };
  struct Endpoint {
    std::shared_ptr<wire::EndpointRecordT> record;
    runtime::LinkId reported_by{};
    /// When the link that reported the endpoint was closed; empty while it is open.
    std::optional<TimePoint> lost_at;
  };

  void onSubscribe(runtime::LinkId link, const wire::NodeSubscribeT& request);
  void onReport(runtime::LinkId link, const wire::EndpointUpdateT& update, TimePoint now);
  const QuarantineRegister& quarantine() const { return context_.state.quarantine(); }
  const EvacuationRegister& evacuations() const { return context_.state.evacuations(); }
  bool hasRollouts() const { return !context_.state.rollouts().all().empty(); }
  runtime::MessagePointer makeRolloutUpdate() const;
  /// Sends the roll-outs to all subscribed nodes if they have changed, or if a roll-out is in progress and
  /// the last update was sent at least kRolloutUpdateInterval ago.
  void sendRollouts(TimePoint now);
  /// Sends the changes of the quarantine to all subscribed nodes.
  void sendQuarantine();
  /// Sends the evacuated zones to all subscribed nodes if they have changed.
  void sendEvacuations();
  void refreshConfiguration();
  void sendConfiguration(runtime::LinkId link, Node& node);
  /// Queues the record to be sent to all subscribed nodes at the next timer.
  void queueRecord(std::shared_ptr<wire::EndpointRecordT> record) {
    changed_endpoints_.push_back(std::move(record));
  }
  void sendChangedEndpoints();
  bool needsStoreList(const Node& node, TimePoint now) const;
  void sendHeartbeats(TimePoint now);
  bool hasLeader() const { return context_.consensus.leadership().leader != 0; }
  wire::StoreBeatT makeHeartbeat(bool with_store_list) const;
  runtime::MessagePointer makeConfigurationUpdate(bool as_patch) const;
  void closeUnresponsiveNodes(TimePoint now);
  void expireEndpoints(TimePoint now);

  StoreContext& context_;
  std::map<runtime::LinkId, Node> nodes_;
  /// By the name of the node beside the endpoint.
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::string, LostEndpoint> lost_endpoints_;
  /// Records that have not been sent to the subscribed nodes yet, in the order in which they were received.
  /// They are sent in batches, because after a start of the whole fleet each of n nodes receives n
  /// endpoints.
  std::vector<std::shared_ptr<wire::EndpointRecordT>> changed_endpoints_;
  /// The newest configuration and its predecessor.
  std::uint64_t revision_ = 0;
  std::vector<std::uint8_t> configuration_;
  std::uint64_t previous_revision_ = 0;
  std::vector<std::uint8_t> previous_configuration_;
  /// Updates to the newest configuration, shared by all nodes: the full configuration, and a patch for nodes
  /// that have the predecessor. Created when first needed.
  runtime::MessagePointer full_update_;
  runtime::MessagePointer patch_update_;
  /// The list of stores that was sent last, and its version, which increases with each change.
  wire::MembershipT membership_;
  std::uint64_t store_list_version_ = 1;
  /// Whether this replica had a leader when heartbeats were sent last.
  bool had_leader_ = false;
  TimePoint next_timer_at_;
  /// RolloutRegister::changeCount() of the last update to the subscribed nodes, and when to send the next
  /// one.
  std::uint64_t sent_rollouts_ = 0;
  TimePoint next_rollout_update_at_;
  /// QuarantineRegister::lastNumber() of the last update to the subscribed nodes.
  std::uint64_t sent_quarantine_ = 0;
  /// EvacuationRegister::lastNumber() of the last update to the subscribed nodes.
  std::uint64_t sent_evacuations_ = 0;
};

}  // namespace cometstand::store
