#pragma once

#include <functional>
#include <list>
#include <optional>
#include <vector>

#include "sidecar/gate_asker.h"
#include "sidecar/receive_credit.h"
#include "sidecar/sidecar_options.h"
#include "sidecar/target_port.h"

namespace cometstand::sidecar {

/// Receives the large bodies of requests for the target beside this sidecar, by credit: a sender announces a
/// body, and sends only as many bytes as it was granted. A body that could not come in time is refused before
/// any of it is sent.
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

  /// @param credit must outlive the object.
  BodyIntake(ReceiveCredit& credit, Listener listener) : credit_(credit), listener_(std::move(listener)) {}

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
    ReceiveCredit::Flow flow;
    TimePoint announced_at;
    /// The body is refused if nothing of it was granted by then.
    TimePoint begin_by;
    TimePoint deadline;

    std::size_t received() const { return request->body.size(); }
  };
  using Transfers = std::list<Transfer>;

  static std::uint32_t patienceLeft(const Transfer& transfer, TimePoint now);
  Transfers::iterator find(const GateAsker& asker);
  bool hasBegun(const Transfer& transfer) const { return credit_.granted(transfer.flow) > 0; }
  /// Forgets the transfers and refuses their requests.
  void refuseAll(Transfers& refused, wire::NotRunReason reason);
  std::size_t bytesToCome() const;

  ReceiveCredit& credit_;
  Listener listener_;
  /// In the order of their announcements.
  Transfers transfers_;
};

}  // namespace cometstand::sidecar
