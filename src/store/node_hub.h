#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// The nodes (sidecar proxies) that are linked to this replica. Every node links itself to every replica and
/// reports its own endpoint to each; one of the replicas sends it configurations and the endpoints of the
/// others.
///
/// Endpoint records are soft state: they are hints for speed. What a node does for its own target it decides
/// itself.
class NodeHub {
 public:
  explicit NodeHub(StoreContext& context) : context_(context) {}

  /// @return true if the message is a node's.
  bool onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onLinkClosed(runtime::LinkId link, TimePoint now);
  /// The mesh configuration may have changed.
  void onApplied(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return nodes_.empty() && endpoints_.empty() ? TimePoint::max() : beat_at_; }

  std::size_t nodes() const { return nodes_.size(); }
  /// @return the name that the node on the link gave itself.
  std::optional<std::string> nameOf(runtime::LinkId link) const;
  /// @return the endpoints of the service with the names of their nodes.
  std::vector<std::pair<std::string, std::shared_ptr<const wire::EndpointRecordT>>> endpointsOf(
      const std::string& service) const;

  /// An endpoint that was taken out since the link of its node ended.
  struct LostEndpoint {
    std::shared_ptr<const wire::EndpointRecordT> record;
    /// When the link ended.
    TimePoint lost_at;
  };
  /// @return by the names of their nodes, until they report again or for kLostEndpointMemory. That a link
  /// ended says nothing of what the target still runs.
  const std::map<std::string, LostEndpoint>& lostEndpoints() const { return lost_endpoints_; }

 private:
  struct Node {
    std::string name;
    TimePoint heard_at;
    bool subscribed = false;
    std::uint64_t sent_revision = 0;
    TimePoint beat_at;
    /// Number of the list of stores that the node has; 0 for none.
    std::uint64_t sent_membership = 0;
    TimePoint stores_sent_at;
  };
  struct Endpoint {
    std::shared_ptr<wire::EndpointRecordT> record;
    runtime::LinkId reported_by{};
    /// Set once the link that reported it ended.
    std::optional<TimePoint> lost_at;
  };

  void onSubscribe(runtime::LinkId link, const wire::NodeSubscribeT& request);
  void onReport(runtime::LinkId link, const wire::EndpointUpdateT& update, TimePoint now);
  const QuarantineRegister& quarantine() const { return context_.state.quarantine(); }
  const EvacuationRegister& evacuations() const { return context_.state.evacuations(); }
  bool hasRollouts() const { return !context_.state.rollouts().all().empty(); }
  runtime::MessagePointer makeRolloutUpdate() const;
  /// To all subscribed nodes, if anything changed or the last word on a running roll-out is old.
  void sendRollouts(TimePoint now);
  /// What has changed of the quarantine, to all subscribed nodes.
  void sendQuarantine();
  /// The evacuated zones to all subscribed nodes, if they have changed.
  void sendEvacuations();
  void takeConfiguration();
  void sendConfiguration(runtime::LinkId link, Node& node);
  /// The record goes to all subscribed nodes with the next step.
  void announce(std::shared_ptr<wire::EndpointRecordT> record) { changed_.push_back(std::move(record)); }
  void sendChanged();
  bool needsStores(const Node& node, TimePoint now) const;
  void sendBeats(TimePoint now);
  bool isCurrent() const { return context_.consensus.leadership().leader != 0; }
  wire::StoreBeatT makeBeat(bool with_stores) const;
  runtime::MessagePointer makeUpdate(bool as_patch) const;
  void closeSilent(TimePoint now);
  void expireEndpoints(TimePoint now);

  StoreContext& context_;
  std::map<runtime::LinkId, Node> nodes_;
  /// By the name of the node beside the endpoint.
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::string, LostEndpoint> lost_endpoints_;
  /// Records that the subscribed nodes do not have yet, in the order in which they came. Sent together: after
  /// a start of the whole fleet each of n nodes is told of n endpoints.
  std::vector<std::shared_ptr<wire::EndpointRecordT>> changed_;
  /// The newest configuration and the one before it.
  std::uint64_t revision_ = 0;
  std::vector<std::uint8_t> configuration_;
  std::uint64_t previous_revision_ = 0;
  std::vector<std::uint8_t> previous_configuration_;
  /// The updates to the newest configuration, shared by all nodes that get them: whole, and for those that
  /// have the one before. Made when first wanted.
  runtime::MessagePointer whole_;
  runtime::MessagePointer patch_;
  /// The stores that nodes were told last, and how often the list has changed.
  wire::MembershipT membership_;
  std::uint64_t membership_changes_ = 1;
  /// Whether this replica heard a leader when the last beats went.
  bool was_current_ = false;
  TimePoint beat_at_;
  /// RolloutRegister::changes() as the subscribed nodes were told, and when to tell them again.
  std::uint64_t sent_rollouts_ = 0;
  TimePoint rollouts_at_;
  /// QuarantineRegister::lastNumber() as the subscribed nodes were told.
  std::uint64_t sent_quarantine_ = 0;
  /// EvacuationRegister::lastNumber() as the subscribed nodes were told.
  std::uint64_t sent_evacuations_ = 0;
};

}  // namespace cometstand::store
