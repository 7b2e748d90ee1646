#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "relay/admission.h"
#include "relay/configuration_index.h"
#include "relay/endpoint_table.h"
#include "relay/fleet_summary.h"
#include "relay/freshness_gate.h"
#include "relay/relay_options.h"
#include "relay/view_source.h"
#include "runtime/action_queue.h"

namespace cometstand::relay {

/// Serves the proxies of one relay: admits them, brings their views up to date, sends beats and endpoint
/// records. A change costs by the proxies that hold its tenant or node.
///
/// A proxy is served only once the relay is at or past the version that the proxy named; one that named none
/// waits for the answer of a FreshnessRequest that was sent after its hello, and for the relay to be there.
class ProxyFanOut {
 public:
  ProxyFanOut(const RelayOptions& options, runtime::ActionQueue& actions, RandomSource& random,
              ConfigurationIndex& index, const EndpointTable& table, FreshnessGate& freshness);

  /// Takes a proxy in, or refuses it. @param alternatives other relays to name in a refusal.
  void hello(runtime::LinkId link, const wire::ProxyHelloT& hello, TimePoint now);
  void remove(runtime::LinkId link);
  bool contains(runtime::LinkId link) const { return subscribers_.contains(link); }

  /// Other relays to name in refusals and goodbyes.
  void setAlternatives(std::vector<runtime::Address> alternatives) {
    alternatives_ = std::move(alternatives);
  }

  void onReport(runtime::LinkId link, const wire::ViewReportT& report, TimePoint now);
  /// The proxy is about to stop: it no longer counts, but is served until its link ends.
  void onGoodbye(runtime::LinkId link);
  /// The proxy may be served from this version on.
  void onFreshness(runtime::LinkId link, std::uint64_t version, TimePoint now);
  /// The index advanced.
  void onChanged(const ConfigurationIndex::Changed& changed, TimePoint now);
  void onRound(std::uint64_t term, std::uint64_t round);

  /// Sends records to the proxies that hold their tenants.
  void sendEndpoints(const std::vector<view::EndpointRecordPointer>& records);
  /// @return true if the proxy's view holds the tenant.
  bool holdsTenant(runtime::LinkId link, const std::string& tenant) const;
  void sendShare(std::uint32_t proxies);
  /// Passes an operator's order to the node's proxy, if it is here.
  void sendStopOrder(const wire::StopOrderT& order);

  /// Begins to send all proxies elsewhere, at the handover rate.
  void beginHandover(TimePoint now);

  /// @return the number of proxies that are served and do not stop.
  std::size_t count() const { return count_; }
  /// @return the number of links, those included that wait or stop.
  std::size_t linkCount() const { return subscribers_.size(); }
  FleetSummary summary() const;
  std::vector<std::shared_ptr<wire::ProxyStatusT>> statuses() const;

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Subscriber {
    runtime::LinkId link{};
    std::string node;
    std::string zone;
    std::string token;
    bool serving = false;
    bool stopping = false;
    /// While not serving: refused at this time.
    TimePoint deadline;
    bool awaiting_freshness = false;
    std::uint64_t required_version = 0;
    /// What was last sent, or named in the hello.
    ViewPosition position;
    std::uint64_t acknowledged_version = 0;
    /// In force on the proxy while a sent view is not acknowledged.
    std::uint64_t in_force_version = 0;
    bool snapshot_needed = false;
    /// The newest version of which `position` is the view; ahead of what is published while a batch waits.
    std::uint64_t current_version = 0;
    /// The newest version that the proxy was told is in force, by an update or a beat.
    std::uint64_t told_version = 0;
    TenantSet tenants;
  };

  void refuse(runtime::LinkId link, ErrorKind kind, const std::string& message, const std::string& remedy,
              Duration retry_after);
  void tryServe(Subscriber& subscriber, TimePoint now);
  void tryServeWaiting(TimePoint now);
  bool checkNode(const Subscriber& subscriber);
  void subscribe(Subscriber& subscriber);
  void unsubscribe(const Subscriber& subscriber);
  void bringUpToDate(Subscriber& subscriber);
  wire::ViewBeatT beatFor(const Subscriber& subscriber) const;
  void sendBeat(Subscriber& subscriber);
  /// @param only_behind leaves out proxies that were told of the published version already.
  void sendBeats(bool only_behind);
  void publish(TimePoint now);
  void sendAllEndpoints(const Subscriber& subscriber);
  std::vector<runtime::LinkId> affectedLinks() const;
  bool isAffected() const;
  void flush(TimePoint now);
  void refuseOverdue(TimePoint now);
  void handOverDue(TimePoint now);
  std::uint64_t inForce(const Subscriber& subscriber) const;

  const RelayOptions& options_;
  runtime::ActionQueue& actions_;
  RandomSource& random_;
  ConfigurationIndex& index_;
  const EndpointTable& table_;
  FreshnessGate& freshness_;
  ViewSource source_;
  JoinLimiter limiter_;
  std::vector<runtime::Address> alternatives_;

  std::map<runtime::LinkId, Subscriber> subscribers_;
  std::map<std::string, runtime::LinkId> by_node_;
  std::map<std::string, std::set<runtime::LinkId>> by_tenant_;
  std::size_t count_ = 0;
  /// Links that are not served yet, by the time at which they are refused.
  std::set<std::pair<TimePoint, runtime::LinkId>> waiting_;

  std::set<std::string> changed_tenants_;
  std::set<std::string> changed_nodes_;
  /// Up to this version every proxy was sent what concerns it.
  std::uint64_t published_version_ = 0;
  TimePoint last_flush_;
  TimePoint flush_at_ = TimePoint::max();
  TimePoint beat_at_ = TimePoint::max();
  /// When proxies that were not told of the published version hear of it.
  TimePoint change_beat_at_ = TimePoint::max();
  TimePoint last_change_beat_{};
  std::uint64_t term_ = 0;
  std::uint64_t round_ = 0;
  std::uint32_t share_ = 0;
  std::deque<runtime::LinkId> handover_;
  TimePoint handover_at_ = TimePoint::max();
  bool stopping_ = false;
};

}  // namespace cometstand::relay
