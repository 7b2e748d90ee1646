#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "mesh/route_table.h"
#include "sidecar/peer_links.h"
#include "sidecar/sidecar_options.h"

namespace cometstand::sidecar {

/// Receives the updates that stores send to this sidecar.
class ControlListener {
 public:
  virtual ~ControlListener() = default;
  /// Called when a newer configuration takes effect.
  virtual void onConfiguration(const mesh::RouteTablePointer& table, TimePoint now) = 0;
  /// @param is_whole true if the update contains all records of the store and not only changes.
  virtual void onEndpoints(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now) = 0;
  virtual void onRollouts(const wire::RolloutUpdateT& update, TimePoint now) = 0;
  virtual void onQuarantine(const wire::QuarantineUpdateT& update) = 0;
  virtual void onEvacuations(const wire::EvacuationUpdateT& update, TimePoint now) = 0;
  /// Called when a store has acknowledged this sidecar's crash report for the instance.
  virtual void onCrashReportAcknowledged(const std::string& instance) = 0;
  /// Called when a store has committed a leave notice of this sidecar's target.
  virtual void onLeaveNoticeCommitted(const wire::LeaveNoticeT& notice, TimePoint now) = 0;
  /// Called with the leader's list of this sidecar's committed leave notices.
  virtual void onLeaveNoticeList(const wire::LeaveNoticeListT& list, TimePoint now) = 0;
  /// Called with the response of a store to a request for quota tokens.
  virtual void onQuotaGrant(const runtime::Address& store, const wire::QuotaGrantT& grant, TimePoint now) = 0;
};

/// Maintains the links of a sidecar to all stores. It reports the sidecar's own endpoint to each of them, and
/// receives configurations and endpoint records from one of them, the source. It selects another source when
/// the current one has lost contact with its leader.
///
/// Invariant: the revision in force never decreases. A sidecar stores nothing on disk, so after a restart it
/// has no configuration until a store that is in contact with its leader has sent one.
class ControlClient {
 public:
  /// @param listener must outlive the client.
  ControlClient(const SidecarOptions& options, runtime::ActionQueue& actions, RandomSource& random,
                ControlListener& listener);

  void begin(TimePoint now);
  bool owns(runtime::LinkId link) const { return links_.owns(link); }
  void onLinkOpened(runtime::LinkId link, TimePoint now);
  void onLinkClosed(runtime::LinkId link, TimePoint now);
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// Sets the seed stores, to which links are kept in addition to the stores already known.
  void setSeeds(std::vector<runtime::Address> seeds, TimePoint now);

  /// Sets the record of this sidecar's endpoint and sends it to every linked store.
  void report(const wire::EndpointRecordT& record);

  /// Sends a roll-out report to the store, if it is linked.
  void send(const runtime::Address& store, wire::RolloutReportT report);

  /// Sends a request for quota tokens to the preferred store. If there is none or it is not linked, the
  /// request is sent to another store: to the source if possible, and to `unresponsive` only if no other is
  /// linked.
  /// @param unresponsive a store that did not respond to an earlier request.
  /// @return the store to which the request was sent; none if no store is linked.
  std::optional<runtime::Address> requestQuota(const wire::QuotaRequestT& request,
                                               const std::optional<runtime::Address>& preferred,
                                               const std::optional<runtime::Address>& unresponsive);

  /// Sends the message to every linked store.
  void broadcast(const runtime::MessagePointer& message);

  std::uint64_t revision() const { return revision_; }
  /// @return true while a store that is in contact with its leader is linked.
  bool hasCurrentSource() const { return source_.has_value(); }

 private:
  struct Store {
    std::string zone;
    /// Time of the latest message from the store.
    TimePoint last_message_at;
    /// The store is in contact with its leader, according to its latest heartbeat.
    bool is_current = false;
    /// The latest revision that the store has reported or sent.
    std::uint64_t revision = 0;
    /// Time of the latest heartbeat, which reports the revision.
    TimePoint last_heartbeat_at;
    /// Time at which the store was last listed in a heartbeat of any store or set as a seed.
    TimePoint last_listed_at;
  };

  void updateStores(const wire::StoreBeatT& heartbeat, TimePoint now);
  void onStoreHeartbeat(const runtime::Address& store, runtime::LinkId link,
                        const wire::StoreBeatT& heartbeat, TimePoint now);
  void onUpdate(const wire::MeshUpdateT& update, TimePoint now);
  void closeUnresponsive(TimePoint now);
  void chooseSource(TimePoint now);
  std::optional<runtime::Address> findBestSource(TimePoint now) const;
  mesh::ZoneDistance distanceOf(const Store& store) const {
    return options_.zones.distance(options_.zone, store.zone);
  }
  /// @return true while a store of the own zone may still reconnect and replace a lost source.
  bool awaitsSameZoneStore(TimePoint now) const;
  void subscribe(std::uint64_t have_revision);
  bool isUsable(const runtime::Address& address, const Store& store) const;
  bool isOutdated(const Store& store, TimePoint now) const;
  void sendReport(runtime::LinkId link) const;

  const SidecarOptions& options_;
  runtime::ActionQueue& actions_;
  ControlListener& listener_;
  PeerLinks links_;
  std::vector<runtime::Address> seeds_;
  std::map<runtime::Address, Store> stores_;
  /// The store from which configurations and endpoint records are received.
  std::optional<runtime::Address> source_;
  /// The time at which the last source was lost.
  TimePoint source_lost_at_;
  /// The next endpoint update of the source contains all its records.
  bool awaits_full_update_ = false;
  std::uint64_t revision_ = 0;
  /// Encoded configuration in force.
  std::vector<std::uint8_t> configuration_;
  std::shared_ptr<wire::EndpointRecordT> own_record_;
  TimePoint check_at_;
};

}  // namespace cometstand::sidecar
