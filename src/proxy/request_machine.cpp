#include "proxy/request_machine.h"

#include <algorithm>

namespace cometstand::proxy {
namespace {

constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusUnprocessable = 422;
constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusGatewayTimeout = 504;

/// @return how the back end says that it did not run the request, if it says so.
std::optional<AttemptFailure> notRunFailure(const BackendResponse& response) {
  if (response.status != kStatusUnavailable) return std::nullopt;
  const auto reason = findHeader(response.headers, kNotRunHeader);
  if (!reason) return std::nullopt;
  return *reason == "leaving" ? AttemptFailure::Leaving : AttemptFailure::Shed;
}

bool isRetriableServerError(unsigned status) {
  return status == kStatusBadGateway || status == kStatusUnavailable || status == kStatusGatewayTimeout;
}

BackendResponsePointer fromRecord(const wire::RecordedAnswerT& record) {
  auto response = std::make_shared<BackendResponse>();
  response->status = record.status;
  response->headers.push_back({"Content-Type", record.content_type});
  response->body.assign(record.body.begin(), record.body.end());
  return response;
}

/// @return the answer to a request whose claim was not granted.
FinalAnswer answerForClaim(const wire::ClaimReplyT& reply, Duration retry_after) {
  FinalAnswer answer;
  switch (reply.state) {
    case wire::ClaimState::Completed:
      answer.outcome = wire::Outcome::Completed;
      if (reply.answer != nullptr) {
        answer.response = fromRecord(*reply.answer);
        answer.status = answer.response->status;
      } else {
        answer.status = kStatusConflict;
        answer.kind = ErrorKind::Conflict;
        answer.message = "the request completed before; its answer was too large to be recorded";
        answer.remedy = "read the result from the service";
      }
      return answer;
    case wire::ClaimState::InProgress:
      answer.outcome = wire::Outcome::Unknown;
      answer.status = kStatusConflict;
      answer.kind = ErrorKind::Conflict;
      answer.message = "a request with this idempotency key is in progress";
      answer.remedy = "send it again with the same key after the given time";
      answer.retry_after = retry_after;
      return answer;
    case wire::ClaimState::Mismatch:
      answer.outcome = wire::Outcome::NotRun;
      answer.status = kStatusUnprocessable;
      answer.kind = ErrorKind::Mismatch;
      answer.message = "the idempotency key was used before with another request";
      answer.remedy = "use a new key for each new request";
      return answer;
    case wire::ClaimState::Granted:
    case wire::ClaimState::Unknown:
      break;
  }
  answer.outcome = wire::Outcome::Unknown;
  answer.status = kStatusConflict;
  answer.kind = ErrorKind::Unknown;
  answer.message = "whether the earlier request with this idempotency key ran is not known";
  answer.remedy = "ask the service whether it took effect before sending it under a new key";
  return answer;
}

/// @return the answer to a request whose claim could not be asked for, or whose claim reply was lost.
FinalAnswer answerForNoClaim(const wire::ClaimReplyT& reply, Duration retry_after) {
  FinalAnswer answer;
  answer.outcome = wire::Outcome::NotRun;
  answer.status = kStatusUnavailable;
  answer.kind = ErrorKind::Unavailable;
  answer.message = "the claim on the idempotency key could not be recorded";
  answer.remedy = "send the request again with the same key after the given time";
  answer.retry_after = retry_after;
  if (reply.error != nullptr && reply.error->retry_after_ms != 0) {
    answer.retry_after =
        std::max<Duration>(retry_after, std::chrono::milliseconds(reply.error->retry_after_ms));
  }
  return answer;
}

}  // namespace

RequestMachine::RequestMachine(RequestTraits traits, RetryPolicy& retries)
    : traits_(std::move(traits)), retries_(retries) {}

void RequestMachine::onAdmitted(TimePoint now) {
  if (state_ != State::Waiting) return;
  if (now >= traits_.deadline) {
    answerTimeout();
    return;
  }
  if (!traits_.needs_claim) {
    startAttempt();
    return;
  }
  state_ = State::Claiming;
  claim_ = Claim::Asked;
  actions_.emplace_back(TakeClaim{});
}

void RequestMachine::onRefused(FinalAnswer refusal) {
  if (state_ != State::Waiting) return;
  answer(std::move(refusal));
  state_ = State::Done;
}

void RequestMachine::onClaimReply(const wire::ClaimReplyT& reply, TimePoint now) {
  if (claim_ != Claim::Asked) return;
  const bool granted = reply.outcome == wire::Outcome::Completed && reply.state == wire::ClaimState::Granted;
  const bool may_be_taken = reply.outcome == wire::Outcome::Unknown;
  claim_ = granted || may_be_taken ? Claim::Held : Claim::None;
  if (answered_ || now >= traits_.deadline) {
    if (!answered_) answerTimeout();
    finish(wire::ClaimEnd::Released, nullptr);
    return;
  }
  if (granted) {
    startAttempt();
    return;
  }
  const bool store_spoke = reply.outcome == wire::Outcome::Completed;
  answer(store_spoke ? answerForClaim(reply, retries_.retryAfter())
                     : answerForNoClaim(reply, retries_.retryAfter()));
  // Nothing was sent under a claim that may have been taken: give it back.
  finish(wire::ClaimEnd::Released, nullptr);
}

void RequestMachine::startAttempt() {
  state_ = State::Attempting;
  ++attempt_;
  sending_ = false;
  actions_.emplace_back(StartAttempt{attempt_});
}

void RequestMachine::onNoEndpoint(TimePoint now) {
  if (state_ != State::Attempting || sending_) return;
  FinalAnswer none;
  none.outcome = outcomeNow();
  none.status = kStatusUnavailable;
  none.kind = now >= traits_.deadline ? ErrorKind::Timeout : ErrorKind::Unavailable;
  none.message = "no endpoint of the service can take the request now";
  none.remedy = "send it again after the given time";
  none.retry_after = retries_.retryAfter();
  answer(std::move(none));
  finish(claimEndNow(), nullptr);
}

bool RequestMachine::beginSending(unsigned attempt) {
  if (!isCurrent(attempt) || sending_) return false;
  if (!traits_.repeatable && may_have_run_) return false;
  if (traits_.needs_claim && claim_ != Claim::Held) return false;
  sending_ = true;
  return true;
}

void RequestMachine::onAttemptFailed(unsigned attempt, AttemptFailure failure, TimePoint now) {
  if (!isCurrent(attempt)) return;
  // Only what was sent can have been aborted.
  if (!sending_ && !certainlyDidNotRun(failure)) failure = AttemptFailure::NoConnection;
  if (!certainlyDidNotRun(failure)) may_have_run_ = true;
  sending_ = false;
  RetrySubject subject;
  subject.service = traits_.service;
  subject.repeatable = traits_.repeatable;
  subject.incoming_attempt = traits_.incoming_attempt;
  subject.attempts_made = attempt_;
  subject.max_retries = traits_.max_retries;
  subject.deadline = traits_.deadline;
  const auto pause = answered_ ? std::nullopt : retries_.nextAttempt(subject, failure, now);
  if (!pause) {
    giveUp(failure);
  } else if (*pause == Duration::zero()) {
    startAttempt();
  } else {
    state_ = State::Pausing;
    resume_at_ = now + *pause;
  }
}

void RequestMachine::giveUp(AttemptFailure failure) {
  FinalAnswer last;
  last.outcome = outcomeNow();
  const bool not_run = last.outcome == wire::Outcome::NotRun;
  last.status = not_run ? kStatusUnavailable : kStatusBadGateway;
  last.kind = ErrorKind::Unknown;
  last.message = "the connection to the back end failed before the whole answer was there";
  last.remedy = traits_.repeatable ? "send the request again" : "ask the service whether it took effect";
  if (not_run) {
    last.kind = failure == AttemptFailure::Shed ? ErrorKind::Overloaded : ErrorKind::Unavailable;
    last.message = failure == AttemptFailure::NoConnection ? "no connection to a back end came about"
                                                           : "the back end did not run the request";
    last.remedy = "send it again after the given time";
  }
  if (not_run || traits_.repeatable) last.retry_after = retries_.retryAfter();
  answer(std::move(last));
  finish(claimEndNow(), nullptr);
}

void RequestMachine::onResponse(unsigned attempt, const BackendResponsePointer& response, TimePoint now) {
  if (!isCurrent(attempt)) return;
  if (const auto failure = notRunFailure(*response)) {
    onAttemptFailed(attempt, *failure, now);
    return;
  }
  const bool may_retry = traits_.repeatable && isRetriableServerError(response->status) && !answered_;
  if (may_retry) {
    RetrySubject subject{traits_.service, true, traits_.incoming_attempt, attempt_, traits_.max_retries,
                         traits_.deadline};
    if (const auto pause = retries_.nextAttempt(subject, AttemptFailure::ServerError, now)) {
      may_have_run_ = true;
      sending_ = false;
      state_ = State::Pausing;
      resume_at_ = now + *pause;
      return;
    }
  }
  if (response->status < kStatusBadGateway) retries_.onSuccess(traits_.service);
  FinalAnswer completed;
  completed.outcome = wire::Outcome::Completed;
  completed.status = response->status;
  completed.response = response;
  answer(std::move(completed));
  finish(wire::ClaimEnd::Completed, response);
}

void RequestMachine::onStreamStarted(unsigned attempt, const BackendResponsePointer& head) {
  if (!isCurrent(attempt)) return;
  if (answered_) {
    // The caller is gone and the answer too large to be recorded: that it ran is all there is to keep.
    actions_.emplace_back(CancelAttempt{attempt_});
    finish(wire::ClaimEnd::Completed, nullptr);
    return;
  }
  state_ = State::Streaming;
  answered_ = true;
  actions_.emplace_back(StartStream{head});
}

void RequestMachine::onStreamEnded(unsigned attempt, bool whole) {
  if (state_ != State::Streaming || attempt != attempt_) return;
  if (whole) {
    retries_.onSuccess(traits_.service);
    actions_.emplace_back(EndStream{});
  } else {
    actions_.emplace_back(AbortCaller{});
  }
  // A streamed answer is too large to be recorded.
  finish(whole ? wire::ClaimEnd::Completed : wire::ClaimEnd::Unknown, nullptr);
}

void RequestMachine::onCallerGone() {
  answered_ = true;
  switch (state_) {
    case State::Done:
    case State::Claiming:
      // The reply to a claim decides whether there is one to give back.
      return;
    case State::Attempting:
    case State::Streaming:
      // A claimed request goes on to its end, so that the caller's resend gets the recorded answer.
      if (claim_ == Claim::Held && sending_ && state_ == State::Attempting) return;
      actions_.emplace_back(CancelAttempt{attempt_});
      break;
    case State::Waiting:
    case State::Pausing:
      break;
  }
  finish(claimEndNow(), nullptr);
}

void RequestMachine::onTimer(TimePoint now) {
  const bool past_deadline = now >= traits_.deadline;
  switch (state_) {
    case State::Waiting:
      return;
    case State::Claiming:
      if (past_deadline && !answered_) answerTimeout();
      return;
    case State::Attempting:
      if (!past_deadline) return;
      actions_.emplace_back(CancelAttempt{attempt_});
      answerTimeout();
      return;
    case State::Pausing:
      if (past_deadline) {
        answerTimeout();
      } else if (now >= resume_at_) {
        startAttempt();
      }
      return;
    case State::Streaming:
    case State::Done:
      return;
  }
}

void RequestMachine::answerTimeout() {
  FinalAnswer late;
  late.outcome = outcomeNow();
  const bool not_run = late.outcome == wire::Outcome::NotRun;
  late.status = not_run ? kStatusUnavailable : kStatusGatewayTimeout;
  late.kind = ErrorKind::Timeout;
  late.message = not_run ? "the time limit passed before the request could be sent to a back end"
                         : "the time limit passed before the back end's answer was there";
  late.remedy = not_run || traits_.repeatable ? "send it again after the given time"
                                              : "ask the service whether it took effect";
  if (not_run || traits_.repeatable) late.retry_after = retries_.retryAfter();
  answer(std::move(late));
  if (claim_ != Claim::Asked) finish(claimEndNow(), nullptr);
}

TimePoint RequestMachine::nextTimer() const {
  switch (state_) {
    case State::Attempting:
      return traits_.deadline;
    case State::Claiming:
      return answered_ ? TimePoint::max() : traits_.deadline;
    case State::Pausing:
      return std::min(resume_at_, traits_.deadline);
    case State::Waiting:
    case State::Streaming:
    case State::Done:
      break;
  }
  return TimePoint::max();
}

void RequestMachine::answer(FinalAnswer final_answer) {
  if (answered_) return;
  answered_ = true;
  actions_.emplace_back(AnswerCaller{std::move(final_answer)});
}

void RequestMachine::finish(wire::ClaimEnd end, const BackendResponsePointer& recorded) {
  if (claim_ == Claim::Held) actions_.emplace_back(FinishClaim{end, recorded});
  claim_ = Claim::None;
  state_ = State::Done;
}

wire::Outcome RequestMachine::outcomeNow() const {
  return mayHaveRun() ? wire::Outcome::Unknown : wire::Outcome::NotRun;
}

wire::ClaimEnd RequestMachine::claimEndNow() const {
  return mayHaveRun() ? wire::ClaimEnd::Unknown : wire::ClaimEnd::Released;
}

}  // namespace cometstand::proxy
