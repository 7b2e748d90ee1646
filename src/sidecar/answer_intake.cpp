#include "sidecar/answer_intake.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {

void AnswerIntake::begin(std::uint64_t sending, const wire::ForwardReplyT& reply, unsigned priority,
                         Duration way, TimePoint now) {
  now_ = now;
  const auto grant_to = [this, sending](std::uint32_t bytes) { grant(sending, bytes); };
  const auto flow = credit_.open(priority, ReceiveCredit::kUnknownSize, grant_to, now, way);
  auto& answer = answers_.emplace(sending, Answer{reply, flow, std::nullopt}).first->second;
  if (all_due_) expedite(answer, *all_due_);
  credit_.grantMore(now);
}

void AnswerIntake::grant(std::uint64_t sending, std::uint32_t bytes) {
  const auto& answer = answers_.at(sending);
  wire::BodyGrantT message;
  message.bytes = bytes;
  if (answer.due) {
    message.due_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, ceilMilliseconds(*answer.due - now_)));
    message.received = static_cast<std::uint32_t>(credit_.received(answer.flow));
  }
  grant_(sending, message);
}

void AnswerIntake::confirm(std::uint64_t sending) {
  if (answers_.at(sending).due) grant(sending, 0);
}

AnswerIntake::Progress AnswerIntake::onPart(std::uint64_t sending, const wire::BodyPartT& part,
                                            TimePoint now) {
  const auto found = answers_.find(sending);
  if (found == answers_.end()) return Progress::Unknown;
  now_ = now;
  auto& [reply, flow, due] = found->second;
  const bool is_granted = credit_.onReceived(flow, part.bytes.size(), now);
  if (!is_granted || part.end == wire::BodyEnd::Broken) {
    drop(sending, now);
    return Progress::Broken;
  }
  reply.body.insert(reply.body.end(), part.bytes.begin(), part.bytes.end());
  const bool is_whole = part.end == wire::BodyEnd::Whole;
  confirm(sending);
  if (is_whole) credit_.close(flow);
  credit_.grantMore(now);
  return is_whole ? Progress::Whole : Progress::Open;
}

wire::ForwardReplyT AnswerIntake::take(std::uint64_t sending) {
  auto reply = std::move(answers_.at(sending).reply);
  answers_.erase(sending);
  reply.body_follows = false;
  return reply;
}

wire::ForwardReplyT AnswerIntake::pass(std::uint64_t sending) {
  auto& [reply, flow, due] = answers_.at(sending);
  credit_.setReader(flow, reply.body.size(), kMostUnread);
  auto head = reply;
  reply.body.clear();
  return head;
}

std::vector<std::uint8_t> AnswerIntake::takePart(std::uint64_t sending) {
  return std::exchange(answers_.at(sending).reply.body, {});
}

void AnswerIntake::onRead(std::uint64_t sending, std::size_t bytes, TimePoint now) {
  const auto found = answers_.find(sending);
  if (found == answers_.end()) return;
  now_ = now;
  credit_.onRead(found->second.flow, bytes);
  credit_.grantMore(now);
}

void AnswerIntake::expedite(Answer& answer, TimePoint due) {
  answer.due = due;
  credit_.expedite(answer.flow);
}

void AnswerIntake::expediteAll(TimePoint due, TimePoint now) {
  now_ = now;
  all_due_ = due;
  for (auto& [sending, answer] : answers_) expedite(answer, due);
  credit_.grantMore(now);
}

void AnswerIntake::expedite(std::uint64_t sending, TimePoint due, TimePoint now) {
  const auto found = answers_.find(sending);
  if (found == answers_.end() || found->second.due) return;
  now_ = now;
  expedite(found->second, due);
  credit_.grantMore(now);
}

void AnswerIntake::drop(std::uint64_t sending, TimePoint now) {
  const auto found = answers_.find(sending);
  if (found == answers_.end()) return;
  now_ = now;
  credit_.close(found->second.flow);
  answers_.erase(found);
  credit_.grantMore(now);
}

}  // namespace cometstand::sidecar
