#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "proxy/control_options.h"
#include "runtime/action_queue.h"

namespace cometstand::proxy {

/// Carries claims to the store by way of the relay. Each request gets exactly one answer. A request that was
/// on a lost link is sent again on the next one: the store grants the same attempt its claim again. So is,
/// after a pause, one that no leader decided on, until claim_retry_limit is over: a planned change of the
/// leader then refuses nobody. In an outage that is longer than that, claims are refused at once. A claim
/// whose answer is not known when the time is up is released, since no request was sent under it.
class ControlClaims {
 public:
  using AnswerHandler = std::function<void(std::uint64_t callback, const wire::ClaimReplyT& reply)>;

  ControlClaims(const ControlOptions& options, runtime::ActionQueue& actions, AnswerHandler on_answer)
      : options_(options), actions_(actions), on_answer_(std::move(on_answer)) {}

  void request(wire::ClaimRequestT request, std::uint64_t callback, TimePoint now);
  void finish(wire::ClaimFinishT finish, TimePoint now);

  /// @param request_id of the envelope. Answers to what is no longer asked are ignored.
  void onReply(std::uint64_t request_id, const wire::ClaimReplyT& reply, TimePoint now);

  /// Sends what is pending on the new link.
  void onLinkReady(runtime::LinkId link, TimePoint now);
  void onLinkLost(TimePoint now);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// @return true while a claim or its end waits for the store's answer.
  bool busy() const { return !requests_.empty() || !finishes_.empty(); }

 private:
  struct PendingRequest {
    wire::ClaimRequestT request;
    std::uint64_t callback = 0;
    TimePoint deadline;
    /// Until then it is asked for again.
    TimePoint retry_until;
    /// When it is sent again; TimePoint::max() while an answer is awaited.
    TimePoint send_again = TimePoint::max();
    unsigned times_sent = 0;
  };
  struct PendingFinish {
    wire::ClaimFinishT finish;
    TimePoint send_again;
  };

  void sendRequest(std::uint64_t request_id, PendingRequest& pending);
  void sendFinish(std::uint64_t request_id, PendingFinish& pending, TimePoint now);
  /// @return true if the claim will be asked for again.
  bool retryLater(std::uint64_t request_id, TimePoint now);
  /// Notes whether the store decided on a claim.
  void noteDecided(bool decided, TimePoint now);
  bool inOutage(TimePoint now) const;
  static TimePoint expiryOf(const PendingRequest& pending);
  void answer(std::uint64_t request_id, const wire::ClaimReplyT& reply, TimePoint now);
  void expire(std::uint64_t request_id, TimePoint now);

  const ControlOptions& options_;
  runtime::ActionQueue& actions_;
  AnswerHandler on_answer_;
  std::optional<runtime::LinkId> link_;
  std::optional<TimePoint> link_lost_at_;
  std::uint64_t last_request_id_ = 0;
  /// Since when every claim stayed undecided; nothing if the last one was decided.
  std::optional<TimePoint> undecided_since_;
  std::map<std::uint64_t, PendingRequest> requests_;
  std::map<std::uint64_t, PendingFinish> finishes_;
};

}  // namespace cometstand::proxy
