#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"
#include "proxy/http_message.h"
#include "proxy/retry_policy.h"
#include "schema/control_generated.h"

namespace cometstand::proxy {

/// The last word on one request.
struct FinalAnswer {
  /// NotRun only if no byte of the request can have reached a back end, or the back end said that it did not
  /// run it.
  wire::Outcome outcome = wire::Outcome::Unknown;
  unsigned status = 0;
  ErrorKind kind = ErrorKind::None;
  std::string message;
  std::string remedy;
  /// Zero if waiting is not known to help.
  Duration retry_after = Duration::zero();
  /// The back end's answer, now or as recorded; null for an answer of the proxy's own.
  BackendResponsePointer response;
};

/// Ask the store for a claim on (tenant, key); the reply goes to onClaimReply().
struct TakeClaim {};
/// Choose an endpoint and open or reuse a connection to it.
struct StartAttempt {
  unsigned number;
};
/// Close the attempt's connection; events of that attempt are ignored from now on.
struct CancelAttempt {
  unsigned number;
};
struct AnswerCaller {
  FinalAnswer answer;
};
/// Pass the head on, then the body as it comes.
struct StartStream {
  BackendResponsePointer head;
};
/// The stream is whole.
struct EndStream {};
/// Abort the caller's connection, so that a body cut short never looks complete.
struct AbortCaller {};
struct FinishClaim {
  wire::ClaimEnd end;
  /// Null if there is none to record.
  BackendResponsePointer answer;
};

using RequestAction = std::variant<TakeClaim, StartAttempt, CancelAttempt, AnswerCaller, StartStream,
                                   EndStream, AbortCaller, FinishClaim>;

/// What the machine needs to know of a request.
struct RequestTraits {
  ServiceKey service;
  /// It may run more than once without harm.
  bool repeatable = false;
  /// It may not, and the caller gave an idempotency key: a claim is taken before it is sent.
  bool needs_claim = false;
  unsigned incoming_attempt = 1;
  unsigned max_retries = 0;
  TimePoint deadline;
};

/// One request from arrival to its final answer. Events in, actions out; no sockets, handed the time.
///
/// Invariants, checked in beginSending():
/// - A request that may not be repeated is never sent while an earlier attempt may have run.
/// - A request that needs a claim is never sent without one.
/// - The caller gets exactly one answer, or one stream, or an aborted connection, unless it went away.
class RequestMachine {
 public:
  /// @param retries must outlive the machine.
  RequestMachine(RequestTraits traits, RetryPolicy& retries);

  void onAdmitted(TimePoint now);
  /// Not admitted, or no route to admit it to: the answer must be of outcome NotRun.
  void onRefused(FinalAnswer answer);
  void onClaimReply(const wire::ClaimReplyT& reply, TimePoint now);
  /// No endpoint could take the attempt just started.
  void onNoEndpoint(TimePoint now);

  /// Called right before the first byte of the request may leave for the back end.
  /// @return false if it must not be sent.
  [[nodiscard]] bool beginSending(unsigned attempt);

  void onAttemptFailed(unsigned attempt, AttemptFailure failure, TimePoint now);
  /// The whole answer is there.
  void onResponse(unsigned attempt, const BackendResponsePointer& response, TimePoint now);
  /// The answer is too large to be buffered, and begins with this head. The deadline no longer applies: the
  /// connection's idle limit does.
  void onStreamStarted(unsigned attempt, const BackendResponsePointer& head);
  void onStreamEnded(unsigned attempt, bool whole);
  void onCallerGone();
  void onTimer(TimePoint now);
  /// @return when onTimer() is wanted; while the request waits, the admission queue keeps its deadline.
  TimePoint nextTimer() const;

  std::vector<RequestAction> takeActions() { return std::exchange(actions_, {}); }

  /// @return true once the caller has its answer (or is gone), even if a claim is still to be settled.
  bool answered() const { return answered_; }
  /// @return true once nothing more can come of this request.
  bool settled() const { return state_ == State::Done; }
  /// @return true if an attempt may have run the request.
  bool mayHaveRun() const { return may_have_run_ || sending_; }
  unsigned attemptsMade() const { return attempt_; }
  const RequestTraits& traits() const { return traits_; }

 private:
  enum class State : std::uint8_t { Waiting, Claiming, Attempting, Pausing, Streaming, Done };
  enum class Claim : std::uint8_t { None, Asked, Held };

  bool isCurrent(unsigned attempt) const { return state_ == State::Attempting && attempt == attempt_; }
  void startAttempt();
  void giveUp(AttemptFailure failure);
  void answer(FinalAnswer answer);
  void finish(wire::ClaimEnd end, const BackendResponsePointer& recorded);
  wire::Outcome outcomeNow() const;
  wire::ClaimEnd claimEndNow() const;
  void answerTimeout();

  RequestTraits traits_;
  RetryPolicy& retries_;
  State state_ = State::Waiting;
  Claim claim_ = Claim::None;
  unsigned attempt_ = 0;
  /// The present attempt's request may have begun to reach the back end.
  bool sending_ = false;
  /// An earlier attempt may have run.
  bool may_have_run_ = false;
  bool answered_ = false;
  TimePoint resume_at_;
  std::vector<RequestAction> actions_;
};

}  // namespace cometstand::proxy
