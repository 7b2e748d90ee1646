#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "overload/memory_budget.h"
#include "runtime/action_queue.h"
#include "schema/mesh_generated.h"
#include "sidecar/gate_requester.h"
#include "sidecar/send_rate.h"
#include "sidecar/unconfirmed_bytes.h"

namespace cometstand::sidecar {

/// Sends large responses of the local target to the requesting sidecars. A body is sent in parts, as the
/// requester grants credit, so that other messages on the link are not blocked behind it. Bytes that are not
/// granted yet are buffered here.
///
/// Granted parts are sent at once, until some requester states a time by which it needs its response. While
/// there are responses with such a due time, granted parts are sent earliest due time first and with few
/// bytes in flight, so that a response waits only for those that are due before it. Without this order, some
/// of many overlapping planned stops behind a full link end with an incomplete response.
///
/// Invariant: each transfer ends with a part marked `Whole` or `Broken`, or with the requester's departure.
class ResponseTransfers {
 public:
  explicit ResponseTransfers(runtime::ActionQueue& actions) : actions_(actions) {}

  /// Charges the held responses to the budget. They are held in any case: their requests have run.
  /// @param budget must outlive the object.
  void limitMemory(overload::MemoryBudget& budget) { charge_ = overload::MemoryBudget::Charge(&budget); }

  /// Sends the response, or only its first part if it exceeds the requester's initial credit.
  void send(const GateRequester& requester, wire::ForwardReplyT reply, TimePoint now);
  void onGrant(const GateRequester& requester, const wire::BodyGrantT& grant, TimePoint now);
  /// Drops the response after its requester has cancelled the request.
  void cancel(const GateRequester& requester);
  void cancelLink(runtime::LinkId link);

  /// Aborts the transfers whose deadline has passed before the requester granted the whole body.
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// @return the number of responses that are not sent completely.
  std::size_t size() const { return transfers_.size(); }
  /// @return the total body size of the responses that are not sent completely.
  std::size_t heldBytes() const { return held_bytes_; }
  /// @return the expected time until all held bytes are sent; zero until a send rate is known. Stalled
  /// transfers, whose requester has granted nothing for a while, do not delay others and are not counted.
  Duration expectedWait(TimePoint now) const;
  /// @return true if so much is held that no further request of another sidecar should be admitted.
  /// @param answer_bytes expected size of the response to that request.
  /// @param credit initial credit of its requester.
  bool isFull(std::size_t answer_bytes, unsigned credit, TimePoint now) const;
  /// Call it only if isFull() returned true.
  /// @return the expected time until the link has sent enough for a further response; zero until a send rate
  /// is known.
  Duration timeUntilCapacity(std::size_t answer_bytes, TimePoint now) const;

  /// Limit of the buffered responses at which admission stops: about seven responses of 540 KB, the largest
  /// usual size. Requests that already run may exceed it by one response for each slot of the target.
  static constexpr std::size_t kMaxHeldBytes = 4 * 1024 * 1024;
  /// No request with a large response is admitted while the expected wait is at least this long. A planned
  /// stop of 6 s, which closes the gate earlier by the expected wait, then still sends all responses, and the
  /// request is sent to another endpoint, whose link may be idle.
  static constexpr Duration kMaxExpectedWait = std::chrono::seconds(2);

 private:
  struct Transfer {
    std::vector<std::uint8_t> body;
    /// Body bytes sent so far.
    std::size_t sent = 0;
    /// Body bytes sent in the first message of the response.
    std::size_t sent_in_first_message = 0;
    /// Bytes that are granted and not sent yet.
    std::size_t granted = 0;
    /// The time by which the requester needs the whole response, if it has stated one.
    std::optional<TimePoint> due;
    /// The transfer is aborted at this time.
    TimePoint abort_at;
    /// Time of the latest grant.
    TimePoint last_grant_at;

    std::size_t unsentBytes() const { return body.size() - sent; }
    TimePoint effectiveDueTime() const { return due ? std::min(*due, abort_at) : abort_at; }
  };
  using Transfers = std::map<GateRequester, Transfer>;

  /// @return the time that the link needs to send the bytes; zero until a send rate is known.
  Duration transmissionTime(std::size_t bytes) const;
  static std::vector<std::uint8_t> nextBytes(Transfer& transfer, std::size_t bytes);
  void updateDueTime(const GateRequester& requester, Transfer& transfer, const wire::BodyGrantT& grant,
                     TimePoint now);
  void sendGranted(TimePoint now);
  /// @return the transfer whose next part is to be sent; the end if none may be sent now.
  Transfers::iterator nextToSend();
  bool isBelowUnconfirmedLimit(const GateRequester& requester, const Transfer& transfer) const;
  void sendPart(Transfers::iterator transfer, TimePoint now);
  Transfers::iterator erase(Transfers::iterator transfer);

  runtime::ActionQueue& actions_;
  Transfers transfers_;
  std::size_t held_bytes_ = 0;
  overload::MemoryBudget::Charge charge_;
  SendRate rate_;
  /// Tracks only responses with a due time.
  UnconfirmedBytes unconfirmed_;
};

}  // namespace cometstand::sidecar
