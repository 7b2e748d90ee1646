#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "relay/configuration_index.h"
#include "relay/endpoint_monitor.h"
#include "relay/endpoint_table.h"
#include "relay/follower_hub.h"
#include "relay/freshness_gate.h"
#include "relay/peer_mesh.h"
#include "relay/proxy_fan_out.h"
#include "relay/relay_options.h"
#include "relay/request_router.h"
#include "relay/status_collector.h"
#include "relay/upstream.h"
#include "runtime/action_queue.h"
#include "runtime/process_core.h"

namespace cometstand::relay {

/// The decision logic of cometstand-relay: follows the store or the zone's reader, serves proxies and
/// following relays, and holds the table of endpoint liveness. Keeps nothing on disk. Driven by one thread.
///
/// Invariants: its version never falls; no proxy is sent a version older than one it named; each answer goes
/// to the link and request that asked.
class RelayCore : public runtime::ProcessCore {
 public:
  explicit RelayCore(RelayOptions options);

  void start(const runtime::FileReader& files, TimePoint now) override;
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) override;
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId, TimePoint) override {}
  void onFileFailed(runtime::WriteId, const std::string&, TimePoint) override {}
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  runtime::Actions takeActions() override { return actions_.take(); }
  void beginStop(TimePoint now) override;
  bool stopped() const override;

  /// @return the version up to which the relay has followed the store.
  std::uint64_t version() const { return index_.version(); }
  std::size_t proxyCount() const { return proxies_.count(); }
  /// @return true while beats of a quorum arrive.
  bool isFresh(TimePoint now) const { return upstream_.isFresh(now); }
  const EndpointTable& endpointTable() const { return table_; }

  /// @return the endpoints this relay is to probe now; none while another relay of the zone probes.
  std::vector<ProbeTarget> probeTargets() const;
  /// Takes what a probe found.
  void onProbeResult(const view::EndpointId& endpoint, const ProbeResult& result, TimePoint now);
  /// Takes the platform's list of machines.
  void onMachineList(const std::vector<MachineState>& machines, TimePoint now);

 private:
  enum class LinkRole : std::uint8_t { Unnamed, Proxy, Follower, Peer };
  struct IncomingLink {
    LinkRole role = LinkRole::Unnamed;
    /// The role that the link's certificate names; empty without one.
    std::string certificate_role;
  };

  // Upstream.
  void onUpstreamMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void useUpstream(runtime::LinkId link, TimePoint now);
  void loseUpstream(runtime::LinkId link, TimePoint now, const std::function<void()>& action);
  void applyDelta(runtime::LinkId link, const wire::ConfigurationDeltaT& delta, TimePoint now);
  void onBeat(runtime::LinkId link, std::uint64_t request_id, const wire::QuorumBeatT& beat, TimePoint now);
  void configurationChanged(const ConfigurationIndex::Changed& changed, TimePoint now);

  // Incoming links.
  void nameLink(runtime::LinkId link, IncomingLink& incoming, const wire::EnvelopeT& message, TimePoint now);
  static bool mayBe(const IncomingLink& incoming, const char* role);
  void onIncomingMessage(runtime::LinkId link, const IncomingLink& incoming, const wire::EnvelopeT& message,
                         TimePoint now);
  void onProxyMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onClaim(runtime::LinkId link, const std::string& tenant, const wire::EnvelopeT& message,
               TimePoint now);
  void onFollowRequest(runtime::LinkId link, const wire::FollowRequestT& request, TimePoint now);
  void onFollowerMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onPeerMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void closeSilentLinks(TimePoint now);

  // Reports, orders and membership.
  void refreshMembership(TimePoint now);
  bool isProber() const;
  void adoptOrphanZones(TimePoint now);
  FleetSummary ownSummary() const;
  std::uint32_t meshProxies() const;
  void reportUpstream(TimePoint now);
  void shareConnections(TimePoint now);
  void beginStatus(runtime::LinkId asker, std::uint64_t request_id, const wire::StatusRequestT& request,
                   TimePoint now);
  void onStopOrder(const wire::StopOrderT& order, TimePoint now);

  // Endpoint records.
  void sendWholeTable(runtime::LinkId link);
  void onSightings(runtime::LinkId link, const wire::EndpointUpdateT& update, TimePoint now);
  void onPeerRecords(const wire::EndpointUpdateT& update, TimePoint now);
  /// Takes records of which this relay is the origin: merges them and sends them to peers and proxies.
  void publish(const std::vector<view::EndpointRecordPointer>& records, TimePoint now);
  void sendToProxies(const std::vector<view::EndpointRecordPointer>& records, TimePoint now);
  void flushRecords();

  RelayOptions options_;
  RandomSource random_;
  runtime::ActionQueue actions_;
  RequestNumbers numbers_;
  ConfigurationIndex index_;
  EndpointTable table_;
  EndpointMonitor monitor_;
  Upstream upstream_;
  FreshnessGate freshness_;
  RequestRouter router_;
  ProxyFanOut proxies_;
  FollowerHub followers_;
  StatusCollector status_;
  PeerMesh mesh_;
  std::map<runtime::LinkId, IncomingLink> incoming_;
  /// Incoming links that have named no role yet, and when they opened.
  std::map<runtime::LinkId, TimePoint> unnamed_;

  std::vector<view::EndpointRecordPointer> batched_records_;
  TimePoint records_at_ = TimePoint::max();
  FleetSummary reported_;
  bool has_reported_ = false;
  TimePoint last_report_;
  TimePoint report_at_ = TimePoint::max();
  std::uint32_t shared_among_ = 0;
  TimePoint last_share_;
  TimePoint share_at_ = TimePoint::max();
  /// When it is looked at next which zones have no relay left.
  TimePoint adopt_at_;
  bool stopping_ = false;
  TimePoint stop_deadline_ = TimePoint::max();
  bool stop_passed_ = false;
};

}  // namespace cometstand::relay
