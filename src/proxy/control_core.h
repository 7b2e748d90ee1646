#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "proxy/control_claims.h"
#include "proxy/control_options.h"
#include "proxy/control_relay_choice.h"
#include "proxy/view_file.h"
#include "runtime/action_queue.h"
#include "runtime/process_core.h"
#include "runtime/reconnect_backoff.h"
#include "view/endpoint_order.h"
#include "view/view.h"

namespace cometstand::proxy {

using view::EndpointRecordPointer;

/// What the data path hears from the control core, on the core's thread.
class ControlListener {
 public:
  virtual ~ControlListener() = default;

  /// A newer view is synced to disk and in force from now on.
  virtual void onView(const view::ViewPointer& /*view*/) {}
  /// Records of endpoint liveness that are new or have changed.
  virtual void onEndpointRecords(const std::vector<EndpointRecordPointer>& /*records*/) {}
  /// Number of proxies that share each endpoint's connections.
  virtual void onConnectionShare(std::uint32_t /*proxies*/) {}
  /// The one answer to requestClaim() of this callback id.
  virtual void onClaimAnswer(std::uint64_t /*callback*/, const wire::ClaimReplyT& /*reply*/) {}
  /// An operator asked for a planned stop of this proxy.
  virtual void onStopOrder() {}
};

/// The proxy's link to the control side: holds the view in force, keeps it on disk, follows a relay, and
/// carries claims and endpoint sightings. currentView() and asOf() may be called from any thread; all else on
/// the core's thread.
///
/// Invariants: a view is in force only once it is synced to disk; its version never falls; it is whole, with
/// the digest the relay named and no missing reference.
class ControlCore : public runtime::ProcessCore {
 public:
  /// @param listener may be nullptr; must outlive the core.
  explicit ControlCore(ControlOptions options, ControlListener* listener = nullptr);

  void start(const runtime::FileReader& files, TimePoint now) override;
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) override;
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId write, TimePoint now) override;
  void onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now) override;
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  runtime::Actions takeActions() override;
  void beginStop(TimePoint now) override;
  bool stopped() const override;

  /// @return the view in force, never nullptr; the empty view before the first one.
  view::ViewPointer currentView() const { return current_.load(); }
  /// @return up to which version the view in force is known to be current.
  std::uint64_t asOf() const { return as_of_.load(); }
  /// @return true once a view is in force, from disk or from a relay.
  bool ready() const { return currentView()->version() > 0; }
  /// @return true while a relay serves this proxy.
  bool connected() const { return serving_.has_value(); }
  /// @return the number of proxies that share each endpoint's connections; 1 until a relay says.
  std::uint32_t connectionShare() const { return share_.load(); }
  /// @return all known endpoint records.
  std::vector<EndpointRecordPointer> endpointRecords() const;

  /// Asks the store for a claim; the listener gets exactly one answer under the callback id.
  void requestClaim(wire::ClaimRequestT request, std::uint64_t callback, TimePoint now);
  /// Reports the end of a claimed request. Sent again until the store has answered.
  void finishClaim(wire::ClaimFinishT finish, TimePoint now);
  /// Reports what the proxy saw on a request, for example a back end that says it is leaving.
  void reportSighting(wire::EndpointRecordT record);
  /// Tells the relay that this proxy stops soon. The link stays open for what is in flight; beginStop()
  /// follows once nothing is.
  void announceStop();

 private:
  /// A connection to a relay, from the connect on.
  struct Session {
    runtime::LinkId link{};
    runtime::Address address;
    bool opened = false;
    bool said_hello = false;
    TimePoint started;
    TimePoint last_heard;
  };
  /// A view that is checked and on its way to disk.
  struct PendingView {
    view::ViewPointer view;
    std::uint64_t as_of = 0;
    /// Records that lead here from the view before it; empty if the view came whole.
    std::vector<std::uint8_t> deltas;
    /// A service may have gone, and its endpoints with it.
    bool may_lose_services = true;
    std::optional<runtime::WriteId> write;
  };

  Session connectTo(const runtime::Address& address, TimePoint now);
  void sendHello(const Session& session);
  Session* sessionOf(runtime::LinkId link);
  bool isServing(runtime::LinkId link) const;
  void promoteCandidate(TimePoint now);
  void dropSession(std::optional<Session>& session, TimePoint now);
  void scheduleConnect(TimePoint now, Duration pause);
  void checkSilence(TimePoint now);
  void checkStale(TimePoint now);
  void connectNow(TimePoint now);
  bool isFresher(std::uint64_t term, std::uint64_t round) const;

  const view::View& newestView() const;
  void onServingMessage(const wire::EnvelopeT& message, TimePoint now);
  void onCandidateMessage(const wire::EnvelopeT& message, TimePoint now);
  void onDelta(const wire::ViewDeltaT& delta);
  void onSnapshot(const wire::ViewSnapshotT& snapshot);
  void onBeat(const wire::ViewBeatT& beat, TimePoint now);
  void onRefusal(std::optional<Session>& session, const wire::RefusalT& refusal, TimePoint now);
  void onGoodbye(const wire::GoodbyeT& goodbye, TimePoint now);
  void onEndpointUpdate(const wire::EndpointUpdateT& update);
  void recover(const runtime::FileReader& files);
  void stage(PendingView next);
  void writeNext();
  void putInForce(const PendingView& pending);
  void pruneEndpoints(const view::View& view);
  void reportView(wire::ViewResult result);
  void raiseAsOf(std::uint64_t as_of);
  void raiseRound(std::uint64_t term, std::uint64_t round, TimePoint now);

  ControlOptions options_;
  ControlListener* listener_;
  ControlListener no_listener_;
  RandomSource random_;
  runtime::ActionQueue actions_;
  runtime::ReconnectBackoff backoff_;
  RelayChoice choice_;
  ControlClaims claims_;

  std::atomic<view::ViewPointer> current_;
  std::atomic<std::uint64_t> as_of_ = 0;
  std::atomic<std::uint32_t> share_ = 1;
  /// Checked views that are newer than the one in force, oldest first; the front one is being written.
  std::deque<PendingView> pending_;
  ViewFileLayout view_file_;
  bool disk_failed_ = false;

  /// The relay in use: it has sent a view or a beat.
  std::optional<Session> serving_;
  /// A relay that was asked but has not served yet; `serving_` is kept until it does.
  std::optional<Session> candidate_;
  TimePoint connect_at_ = TimePoint::max();
  /// Set while the candidate replaces a relay only if it knows a later quorum round.
  bool candidate_must_be_fresher_ = false;
  std::uint64_t last_term_ = 0;
  std::uint64_t last_round_ = 0;
  /// When a relay with a later quorum round is looked for.
  TimePoint stale_at_ = TimePoint::max();
  std::map<view::EndpointId, EndpointRecordPointer> endpoints_;
  bool stopping_ = false;
};

}  // namespace cometstand::proxy
