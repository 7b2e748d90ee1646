#include "rehearsal/simulator/operator_client.h"

#include <algorithm>

#include "store/request_id.h"

namespace cometstand::simulator {
namespace {

/// An answer that takes longer counts as lost.
constexpr Duration kAnswerLimit = std::chrono::seconds(7);
constexpr Duration kPauseMinimum = std::chrono::milliseconds(20);
constexpr Duration kPauseMaximum = std::chrono::milliseconds(400);

/// @return true if the refusal says nothing on an earlier sending of the same command.
bool isPassing(ErrorKind kind) {
  return kind == ErrorKind::Unavailable || kind == ErrorKind::Overloaded || kind == ErrorKind::Timeout ||
         kind == ErrorKind::Stopping;
}

}  // namespace

OperatorClient::OperatorClient(OperatorIdentity identity, std::vector<runtime::Address> stores,
                               std::uint64_t seed)
    : identity_(std::move(identity)), stores_(std::move(stores)), random_(seed) {}

void OperatorClient::submit(std::string text, Duration limit, TimePoint now, Handler handler) {
  Command command;
  command.text = std::move(text);
  command.handler = std::move(handler);
  command.give_up = now + limit;
  command.first_sending = sendings_ + 1;
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
  command.result.request_id =
      store::makeRequestId(static_cast<std::uint64_t>(milliseconds.count()), random_.uniform(0, UINT64_MAX));
  command_ = std::move(command);
  if (link_open_) {
    send();
    command_->resend_at = now + kAnswerLimit;
  } else if (!link_) {
    connect(now);
  }
}

void OperatorClient::connect(TimePoint /*now*/) {
  connect_at_ = TimePoint::max();
  link_ = actions_.connect(stores_[random_.uniform(0, stores_.size() - 1)]);
  link_open_ = false;
}

void OperatorClient::send() {
  ++sendings_;
  ++command_->result.sendings;
  wire::CommandRequestT request;
  request.request_id = command_->result.request_id;
  request.tenant = identity_.tenant;
  request.operator_name = identity_.name;
  request.token = identity_.token;
  request.text = command_->text;
  actions_.send(*link_, std::move(request), sendings_);
}

void OperatorClient::onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& /*peer*/,
                                  TimePoint now) {
  if (link_ != link) return;
  link_open_ = true;
  if (!command_) return;
  send();
  command_->resend_at = now + kAnswerLimit;
}

void OperatorClient::onLinkClosed(runtime::LinkId link, TimePoint now) {
  if (link_ != link) return;
  link_.reset();
  link_open_ = false;
  if (command_) tryElsewhere(now, random_.uniform(kPauseMinimum, kPauseMaximum));
}

void OperatorClient::tryElsewhere(TimePoint now, Duration pause) {
  if (link_) actions_.close(*link_);
  link_.reset();
  link_open_ = false;
  command_->resend_at = TimePoint::max();
  connect_at_ = now + pause;
}

void OperatorClient::onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  const auto* reply = message.body.AsCommandReply();
  const bool is_current = link_ == link && command_ && message.request_id >= command_->first_sending;
  if (reply != nullptr && is_current) onReply(*reply, now);
}

void OperatorClient::onReply(const wire::CommandReplyT& reply, TimePoint now) {
  auto& result = command_->result;
  result.outcome = reply.outcome;
  result.version = reply.version;
  result.kind = reply.error == nullptr ? ErrorKind::None : static_cast<ErrorKind>(reply.error->kind);
  result.message = reply.error == nullptr ? "" : reply.error->message;
  result.rows.clear();
  for (const auto& row : reply.rows) result.rows.push_back(row->cells);
  const bool decided = reply.outcome == wire::Outcome::Completed ||
                       (reply.outcome == wire::Outcome::NotRun && !isPassing(result.kind));
  if (decided) {
    finish();
    return;
  }
  if (reply.outcome == wire::Outcome::NotRun && result.sendings > 1) result.outcome = wire::Outcome::Unknown;
  const auto wish = std::chrono::milliseconds(reply.error == nullptr ? 0 : reply.error->retry_after_ms);
  tryElsewhere(now, std::max<Duration>(wish, random_.uniform(kPauseMinimum, kPauseMaximum)));
}

void OperatorClient::finish() {
  const Command done = std::move(*command_);
  command_.reset();
  done.handler(done.result);
}

void OperatorClient::onTimer(TimePoint now) {
  if (command_ && command_->give_up <= now) {
    // A first sending that was refused did not run; anything else is not known.
    const bool refused = command_->result.outcome == wire::Outcome::NotRun;
    if (!refused) command_->result.outcome = wire::Outcome::Unknown;
    if (link_) actions_.close(*link_);
    link_.reset();
    link_open_ = false;
    connect_at_ = TimePoint::max();
    finish();
    return;
  }
  if (command_ && command_->resend_at <= now) {
    command_->result.outcome = wire::Outcome::Unknown;
    tryElsewhere(now, kPauseMinimum);
  }
  if (connect_at_ <= now) connect(now);
}

TimePoint OperatorClient::nextTimer() const {
  TimePoint next = connect_at_;
  if (command_) next = std::min({next, command_->give_up, command_->resend_at});
  return next;
}

}  // namespace cometstand::simulator
