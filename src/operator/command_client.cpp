#include "operator/command_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "base/error.h"

namespace cometstand::command {

using runtime::LinkId;

namespace {

constexpr Duration kMinimumPause = std::chrono::milliseconds(50);
constexpr Duration kMaximumPause = std::chrono::seconds(1);

/// Role in the certificates of store replicas.
constexpr const char* kStoreRole = "store";

constexpr std::uint64_t kEnvelopeRequestId = 1;

/// @return true if another replica, or the same one later, may take the command. Other refusals were decided
///   on the command itself, at its place in the order of all changes or before it.
bool isTransient(ErrorKind kind) {
  return kind == ErrorKind::Unavailable || kind == ErrorKind::Stopping || kind == ErrorKind::Overloaded ||
         kind == ErrorKind::Timeout || kind == ErrorKind::InputOutput;
}

ErrorKind kindOf(const wire::CommandReplyT& reply) {
  return reply.error ? static_cast<ErrorKind>(reply.error->kind) : ErrorKind::None;
}

Duration retryAfter(const wire::CommandReplyT& reply) {
  return std::chrono::milliseconds(reply.error ? reply.error->retry_after_ms : 0);
}

wire::CommandReplyT makeReply(wire::Outcome outcome, ErrorKind kind, std::string message,
                              std::string remedy) {
  wire::CommandReplyT reply;
  reply.outcome = outcome;
  reply.error = std::make_shared<wire::ErrorInfoT>();
  reply.error->kind = static_cast<std::uint16_t>(kind);
  reply.error->message = std::move(message);
  reply.error->remedy = std::move(remedy);
  return reply;
}

}  // namespace

CommandClient::CommandClient(ClientOptions options)
    : options_(std::move(options)), random_(options_.seed), backoff_(kMinimumPause, kMaximumPause) {
  if (options_.stores.empty()) {
    throw Error(ErrorKind::Invalid, "no store replica is named", "name one with --store ADDRESS:PORT");
  }
  next_store_ = random_.uniform(0, options_.stores.size() - 1);
}

void CommandClient::start(const runtime::FileReader& /*files*/, TimePoint now) {
  deadline_ = now + options_.time_limit;
  connectNext();
}

void CommandClient::connectNext() {
  connect_at_ = TimePoint::max();
  link_ = actions_.connect(options_.stores[next_store_]);
}

void CommandClient::onLinkOpened(LinkId link, const runtime::PeerIdentity& peer, TimePoint now) {
  if (link != link_) return;
  if (!peer.role.empty() && peer.role != kStoreRole) {
    last_reply_ = makeReply(wire::Outcome::NotRun, ErrorKind::Unauthenticated,
                            fmt::format("the peer's certificate names the role '{}', not a store", peer.role),
                            "name the address of a store replica");
    return endAttempt(now, Duration::zero());
  }
  sent_ = true;
  reached_ = true;
  attempt_deadline_ = now + options_.attempt_limit;
  actions_.send(link, options_.request, kEnvelopeRequestId);
}

void CommandClient::onLinkClosed(LinkId link, TimePoint now) {
  if (link != link_) return;
  link_.reset();
  endAttempt(now, Duration::zero());
}

void CommandClient::endAttempt(TimePoint now, Duration wish) {
  if (link_) actions_.close(*link_);
  link_.reset();
  if (sent_) may_have_run_ = true;
  scheduleNext(now, wish);
}

void CommandClient::scheduleNext(TimePoint now, Duration wish) {
  sent_ = false;
  attempt_deadline_ = TimePoint::max();
  next_store_ = (next_store_ + 1) % options_.stores.size();
  const Duration pause = std::max(backoff_.next(random_), wish);
  connect_at_ = now + pause;
}

void CommandClient::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (link != link_ || message.request_id != kEnvelopeRequestId || !sent_) return;
  if (const auto* reply = message.body.AsCommandReply()) onReply(*reply, now);
}

void CommandClient::onReply(const wire::CommandReplyT& reply, TimePoint now) {
  last_reply_ = reply;
  if (reply.outcome == wire::Outcome::Completed) return finish(reply);
  if (reply.outcome == wire::Outcome::Unknown) return endAttempt(now, retryAfter(reply));
  // A wait that ran into its own time limit, for example, is answered.
  const bool is_timeout = kindOf(reply) == ErrorKind::Timeout && !mayHaveRun();
  if (is_timeout || !isTransient(kindOf(reply))) return finish(reply);
  // This attempt did not run.
  sent_ = false;
  refused_by_.insert(next_store_);
  const bool asked_all = refused_by_.size() == options_.stores.size();
  if (asked_all && !mayHaveRun()) return finish(reply);
  endAttempt(now, asked_all ? retryAfter(reply) : Duration::zero());
}

void CommandClient::onTimer(TimePoint now) {
  if (result_) return;
  if (now >= deadline_) return finishOverdue();
  if (now >= attempt_deadline_) endAttempt(now, Duration::zero());
  if (now >= connect_at_) connectNext();
}

TimePoint CommandClient::nextTimer() const {
  if (result_) return TimePoint::max();
  return std::min({deadline_, attempt_deadline_, connect_at_});
}

void CommandClient::beginStop(TimePoint /*now*/) {
  if (!result_) finishOverdue();
}

void CommandClient::finishOverdue() {
  if (sent_) may_have_run_ = true;
  if (mayHaveRun()) {
    if (last_reply_ && last_reply_->outcome == wire::Outcome::Unknown) return finish(*last_reply_);
    return finish(makeReply(wire::Outcome::Unknown, ErrorKind::Unknown,
                            "the command was sent, but no answer came in time",
                            "send it again under the same request identifier"));
  }
  if (last_reply_) return finish(*last_reply_);
  finish(makeReply(wire::Outcome::NotRun, ErrorKind::Unavailable,
                   reached_ ? "no store replica answered in time" : "no store replica could be reached",
                   "check the addresses, the network and the replicas' logs"));
}

void CommandClient::finish(wire::CommandReplyT reply) {
  if (link_) actions_.close(*link_);
  link_.reset();
  result_ = ClientResult{std::move(reply), reached_};
}

}  // namespace cometstand::command
