#include "sidecar/answer_intake.h"

#include <utility>

namespace cometstand::sidecar {

void AnswerIntake::begin(std::uint64_t sending, const wire::ForwardReplyT& reply, unsigned priority,
                         Duration way, TimePoint now) {
  const auto grant = [this, sending](std::uint32_t bytes) { grant_(sending, bytes); };
  const auto flow = credit_.open(priority, ReceiveCredit::kUnknownSize, grant, now, way);
  answers_.emplace(sending, Answer{reply, flow});
  if (expedites_) credit_.expedite(flow);
  credit_.grantMore(now);
}

AnswerIntake::Progress AnswerIntake::onPart(std::uint64_t sending, const wire::BodyPartT& part,
                                            TimePoint now) {
  const auto found = answers_.find(sending);
  if (found == answers_.end()) return Progress::Unknown;
  auto& [reply, flow] = found->second;
  const bool is_granted = credit_.onReceived(flow, part.bytes.size(), now);
  if (!is_granted || part.end == wire::BodyEnd::Broken) {
    drop(sending, now);
    return Progress::Broken;
  }
  reply.body.insert(reply.body.end(), part.bytes.begin(), part.bytes.end());
  const bool is_whole = part.end == wire::BodyEnd::Whole;
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
  auto& [reply, flow] = answers_.at(sending);
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
  credit_.onRead(found->second.flow, bytes);
  credit_.grantMore(now);
}

void AnswerIntake::expediteAll(TimePoint now) {
  expedites_ = true;
  for (const auto& [sending, answer] : answers_) credit_.expedite(answer.flow);
  credit_.grantMore(now);
}

void AnswerIntake::expedite(std::uint64_t sending, TimePoint now) {
  const auto found = answers_.find(sending);
  if (found == answers_.end()) return;
  credit_.expedite(found->second.flow);
  credit_.grantMore(now);
}

void AnswerIntake::drop(std::uint64_t sending, TimePoint now) {
  const auto found = answers_.find(sending);
  if (found == answers_.end()) return;
  credit_.close(found->second.flow);
  answers_.erase(found);
  credit_.grantMore(now);
}

}  // namespace cometstand::sidecar
