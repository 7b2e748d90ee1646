#pragma once

#include <functional>
#include <list>
#include <optional>
#include <vector>

#include "sidecar/gate_asker.h"
#include "sidecar/sidecar_options.h"
#include "sidecar/target_port.h"

namespace cometstand::sidecar {

/// Receives the large bodies of requests for the target beside this sidecar, by credit: a sender announces a
/// body, and sends only as many bytes as it was granted. All grants together are bounded by about what the
/// link brings in kGrantTime, so bodies of many senders never queue up on the link, where small and urgent
/// requests would wait behind them. A body that could not come in time is refused before any of it is sent.
///
/// Receiver-driven credit follows the published designs of pHost and Homa (SIGCOMM 2018), without their
/// packet priorities.
class BodyIntake {
 public:
  struct Listener {
    /// Sends a grant to the asker.
    std::function<void(const GateAsker&, std::uint32_t bytes)> grant;
    /// The body is whole; the request holds it.
    std::function<void(const GateAsker&, std::shared_ptr<wire::ForwardRequestT>)> whole;
    /// The request is refused: no part of it was passed on.
    std::function<void(const GateAsker&, const wire::ForwardRequestT&, wire::NotRunReason)> refuse;
  };

  explicit BodyIntake(Listener listener) : listener_(std::move(listener)) {}

  /// Takes an announced request, or refuses it at once if its body cannot come within its patience.
  void announce(const GateAsker& asker, std::shared_ptr<wire::ForwardRequestT> request, TimePoint now);
  void onPart(const GateAsker& asker, const std::vector<std::uint8_t>& bytes, TimePoint now);
  void cancel(const GateAsker& asker, TimePoint now);
  void cancelLink(runtime::LinkId link, TimePoint now);
  /// Refuses all whose sender was not granted anything yet, for example when the target leaves.
  void refuseUnbegun(wire::NotRunReason reason, TimePoint now);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// @return the expected time until a body that is announced now would begin to come.
  Duration expectedWait() const;
  std::size_t size() const { return transfers_.size(); }

 private:
  struct Transfer {
    GateAsker asker;
    std::shared_ptr<wire::ForwardRequestT> request;
    std::size_t expected = 0;
    std::size_t granted = 0;
    TimePoint announced_at;
    /// The body is refused if nothing of it was granted by then.
    TimePoint begin_by;
    TimePoint deadline;
    /// Of the last part, or of the first grant.
    TimePoint active_at;
    /// The sender was granted bytes and has sent none for long.
    bool stalled = false;

    std::size_t received() const { return request->body.size(); }
    std::size_t outstanding() const { return granted - received(); }
    bool hasBegun() const { return granted > 0; }
  };
  using Transfers = std::list<Transfer>;

  static std::uint32_t patienceLeft(const Transfer& transfer, TimePoint now);
  Transfers::iterator find(const GateAsker& asker);
  void grantMore(TimePoint now);
  std::size_t window() const;
  std::size_t outstandingBytes() const;
  void noteStalled(TimePoint now);
  void noteReceived(std::size_t bytes, TimePoint now);
  std::size_t bytesToCome() const;

  Listener listener_;
  /// In the order of their announcements, which is the order of the grants.
  Transfers transfers_;
  /// Smoothed bytes each second while bodies come.
  double rate_ = kFirstRate;
  /// Up to when the time in which bodies came is counted.
  TimePoint measured_until_;
  Duration measured_time_{};
  std::size_t measured_bytes_ = 0;

  /// Taken for the link's rate until it was measured: a narrow link of some Mbit/s.
  static constexpr double kFirstRate = 1e6;
};

}  // namespace cometstand::sidecar
