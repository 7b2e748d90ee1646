#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "net/link.h"
#include "proxy/control_core.h"
#include "rehearsal/scale/in_force_tracker.h"
#include "rehearsal/scale/memory_folder.h"

namespace cometstand::rehearsal {

/// What the hollow proxies of one process did since it began. Bytes include frame headers.
struct HollowCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  /// Files written; a real proxy syncs the file and its folder for each.
  std::uint64_t file_writes = 0;
  std::uint64_t file_bytes = 0;
  std::uint64_t views_in_force = 0;
  std::uint64_t endpoint_records = 0;
  std::uint64_t links_opened = 0;
  /// Views in force that were older than one in force before, over restarts too. Must be 0.
  std::uint64_t views_moved_back = 0;
  /// Restarted proxies that have a relay and a view again, and when the last of them did.
  std::uint64_t recovered = 0;
  TimePoint recovered_last;
};

/// A proxy without its data path: the product's control core over the real link layer, with its disk in
/// memory. Many share one process and its one io_context thread.
class HollowProxy : private proxy::ControlListener {
 public:
  /// @param tracker and counters are shared by the process's proxies; all references must outlive the proxy.
  HollowProxy(boost::asio::io_context& io, proxy::ControlOptions options, InForceTracker& tracker,
              HollowCounters& counters);
  ~HollowProxy() override = default;

  HollowProxy(const HollowProxy&) = delete;
  HollowProxy& operator=(const HollowProxy&) = delete;

  void start();

  /// Dies without a word and starts again. @param keep_disk false for a machine that was replaced.
  void restart(bool keep_disk);

  /// Reports one endpoint of a service that the proxy knows as leaving, as if a back end had said so.
  /// @param choice picks the endpoint. @return false if the proxy knows none that lives or has no relay.
  bool sightLeaving(std::uint64_t choice);

  using ClaimHandler = std::function<void(std::uint64_t callback, const wire::ClaimReplyT& reply)>;
  /// Called with the one answer to each requestClaim().
  void setClaimHandler(ClaimHandler handler) { claim_handler_ = std::move(handler); }
  void requestClaim(wire::ClaimRequestT request, std::uint64_t callback);
  void finishClaim(wire::ClaimFinishT finish);
  /// @return one of the tenants that the node serves; empty without a view.
  std::string randomTenant(RandomSource& random) const;

  bool connected() const { return core_ && core_->connected(); }
  bool ready() const { return core_ && core_->ready(); }
  /// @return true until a restarted proxy has a relay and a view again.
  bool recovering() const { return recovering_; }
  std::uint64_t asOf() const { return core_ ? core_->asOf() : 0; }
  /// @return objects in the view in force.
  std::size_t viewObjects() const { return core_ ? core_->currentView()->objects().size() : 0; }

 private:
  struct OpenLink {
    std::shared_ptr<net::Link> link;
    std::uint64_t counted_sent = 0;
    std::uint64_t counted_received = 0;
  };

  void onView(const view::ViewPointer& view) override;
  void onEndpointRecords(const std::vector<proxy::EndpointRecordPointer>& records) override;
  void onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) override;

  /// Carries out the core's actions and notes what came of it. Call it after each event.
  void flush();
  void openLink(const runtime::ConnectOrder& order);
  net::LinkHandlers handlersFor(runtime::LinkId id);
  /// @return true if the link is one of the present life, and not of one before a restart.
  bool isOpen(std::uint64_t life, runtime::LinkId id) const;
  void write(runtime::FileWrite order);
  void countBytes(OpenLink& open);
  void noteAsOf(TimePoint now);
  void armTimer();

  boost::asio::io_context& io_;
  proxy::ControlOptions options_;
  InForceTracker& tracker_;
  HollowCounters& counters_;
  MemoryFolder folder_;
  std::unique_ptr<proxy::ControlCore> core_;
  boost::asio::steady_timer timer_;
  TimePoint armed_at_ = TimePoint::max();
  std::map<runtime::LinkId, OpenLink> links_;
  /// Rises with each restart.
  std::uint64_t life_ = 0;
  std::uint64_t tracked_as_of_ = 0;
  std::uint64_t highest_view_ = 0;
  bool recovering_ = false;
  ClaimHandler claim_handler_;
};

}  // namespace cometstand::rehearsal
