#pragma once

#include <functional>
#include <list>
#include <optional>
#include <vector>

#include "sidecar/gate_requester.h"
#include "sidecar/receive_credit.h"
#include "sidecar/sidecar_options.h"
#include "sidecar/target_port.h"

namespace cometstand::sidecar {

/// Receives large request bodies for the local target by credit: a sender announces a body and sends only as
/// many bytes as it was granted. A request whose body could not be received in time is refused before any of
/// the body is sent.
class BodyIntake {
 public:
  struct Listener {
    /// Sends a grant to the requester.
    std::function<void(const GateRequester&, std::uint32_t bytes)> grant;
    /// Called when the body, which the request contains, is complete.
    std::function<void(const GateRequester&, std::shared_ptr<wire::ForwardRequestT>)> whole;
    /// Called when the request is refused. No part of it was forwarded to the target.
    std::function<void(const GateRequester&, const wire::ForwardRequestT&, wire::NotRunReason)> refuse;
  };

  /// @param credit must outlive the object.
  BodyIntake(ReceiveCredit& credit, Listener listener) : credit_(credit), listener_(std::move(listener)) {}

  /// Accepts an announced request, or refuses it at once if its body could not start within the maximum queue
  /// time of the request (`patience_ms`).
  void announce(const GateRequester& requester, std::shared_ptr<wire::ForwardRequestT> request,
                TimePoint now);
  void onPart(const GateRequester& requester, const std::vector<std::uint8_t>& bytes, TimePoint now);
  void cancel(const GateRequester& requester, TimePoint now);
  void cancelLink(runtime::LinkId link, TimePoint now);
  /// Refuses all requests whose sender has no grant yet, for example when the target starts to leave.
  void refuseUnstarted(wire::NotRunReason reason, TimePoint now);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// @return the expected time until the first grant of a body that is announced now.
  Duration expectedWait() const;
  std::size_t size() const { return transfers_.size(); }

 private:
  struct Transfer {
    GateRequester requester;
    std::shared_ptr<wire::ForwardRequestT> request;
    std::size_t expected_bytes = 0;
    ReceiveCredit::Flow flow;
    TimePoint announced_at;
    /// The request is refused if it has no grant by this time.
    TimePoint start_by;
    TimePoint deadline;

    std::size_t receivedBytes() const { return request->body.size(); }
  };
  using Transfers = std::list<Transfer>;

  static std::uint32_t remainingQueueTime(const Transfer& transfer, TimePoint now);
  Transfers::iterator find(const GateRequester& requester);
  bool hasStarted(const Transfer& transfer) const { return credit_.granted(transfer.flow) > 0; }
  /// Closes the flows of the transfers and refuses their requests.
  void rejectAll(Transfers& rejected, wire::NotRunReason reason);
  std::size_t unreceivedBytes() const;

  ReceiveCredit& credit_;
  Listener listener_;
  /// Transfers in the order of their announcements.
  Transfers transfers_;
};

}  // namespace cometstand::sidecar
