#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "mesh/route_table.h"
#include "sidecar/peer_links.h"
#include "sidecar/sidecar_options.h"

namespace cometstand::sidecar {

/// What the rest of a sidecar hears from the stores.
class ControlListener {
 public:
  virtual ~ControlListener() = default;
  /// A newer configuration is in force from now on.
  virtual void onConfiguration(const mesh::RouteTablePointer& table, TimePoint now) = 0;
  /// @param is_whole the records are all that the store knows.
  virtual void onEndpoints(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now) = 0;
  virtual void onRollouts(const wire::RolloutUpdateT& update, TimePoint now) = 0;
  virtual void onQuarantine(const wire::QuarantineUpdateT& update) = 0;
  virtual void onEvacuations(const wire::EvacuationUpdateT& update, TimePoint now) = 0;
  /// A store has this sidecar's report on the end of that instance.
  virtual void onCrashReportTaken(const std::string& instance) = 0;
  /// A store's answer to a request for tokens.
  virtual void onQuotaGrant(const runtime::Address& store, const wire::QuotaGrantT& grant, TimePoint now) = 0;
};

/// The links of a sidecar to all stores. It reports its own endpoint to each of them, and takes
/// configurations and endpoint records from one, which it leaves once that one no longer hears a leader.
///
/// Invariant: the revision in force never falls. A sidecar keeps nothing on disk, so after a restart it has
/// none until a store that hears its leader has sent one.
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

  /// These stores are tried from now on, beside those that are known already.
  void setSeeds(std::vector<runtime::Address> seeds, TimePoint now);

  /// The record of this sidecar's endpoint from now on; sent to every store.
  void report(const wire::EndpointRecordT& record);

  /// Sends a report on a roll-out to the store, if it is linked.
  void send(const runtime::Address& store, wire::RolloutReportT report);

  /// Sends a request for tokens to the wanted store, or, if that is none or not linked, to another one: the
  /// source first, and `silent` last. @return the store that got it; none if no store is linked.
  std::optional<runtime::Address> askForQuota(const wire::QuotaRequestT& request,
                                              const std::optional<runtime::Address>& wanted,
                                              const std::optional<runtime::Address>& silent);

  /// Sends the message to every linked store.
  void broadcast(const runtime::MessagePointer& message);

  std::uint64_t revision() const { return revision_; }
  /// @return true while a store that hears its leader is linked.
  bool isCurrent() const { return source_.has_value(); }

 private:
  struct Store {
    std::string zone;
    TimePoint heard_at;
    bool is_current = false;
    std::uint64_t revision = 0;
    /// When a heartbeat told the revision.
    TimePoint told_at;
    /// Named by the newest beat of some store, or a seed.
    TimePoint named_at;
  };

  void learnStores(const wire::StoreBeatT& beat, TimePoint now);
  void onBeat(const runtime::Address& store, runtime::LinkId link, const wire::StoreBeatT& beat,
              TimePoint now);
  void onUpdate(const wire::MeshUpdateT& update, TimePoint now);
  void closeSilent(TimePoint now);
  void chooseSource(TimePoint now);
  std::optional<runtime::Address> bestSource(TimePoint now) const;
  mesh::ZoneDistance distanceOf(const Store& store) const {
    return options_.zones.distance(options_.zone, store.zone);
  }
  /// @return true while a store of the own zone may still come in place of a lost source.
  bool waitsForNear(TimePoint now) const;
  void subscribe(std::uint64_t have_revision);
  bool isUsable(const runtime::Address& address, const Store& store) const;
  bool isBehind(const Store& store, TimePoint now) const;
  void sendReport(runtime::LinkId link) const;

  const SidecarOptions& options_;
  runtime::ActionQueue& actions_;
  ControlListener& listener_;
  PeerLinks links_;
  std::vector<runtime::Address> seeds_;
  std::map<runtime::Address, Store> stores_;
  /// The store that sends configurations and endpoints.
  std::optional<runtime::Address> source_;
  /// Since when there is none.
  TimePoint sourceless_since_;
  /// The next endpoint records from the source are all that it knows.
  bool awaits_whole_ = false;
  std::uint64_t revision_ = 0;
  /// Bytes of the configuration in force.
  std::vector<std::uint8_t> configuration_;
  std::shared_ptr<wire::EndpointRecordT> own_record_;
  TimePoint check_at_;
};

}  // namespace cometstand::sidecar
