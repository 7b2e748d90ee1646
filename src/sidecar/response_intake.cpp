#include "sidecar/response_intake.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {

void ResponseIntake::begin(std::uint64_t attempt_id, const wire::ForwardReplyT& reply, unsigned priority,
                           Duration extra_latency, TimePoint now) {
  now_ = now;
  const auto grant_to = [this, attempt_id](std::uint32_t bytes) { grant(attempt_id, bytes); };
  const auto flow = credit_.open(priority, ReceiveCredit::kUnknownSize, grant_to, now, extra_latency);
  Response begun{reply, flow, std::nullopt, overload::MemoryBudget::Charge(memory_)};
  auto& response = responses_.emplace(attempt_id, std::move(begun)).first->second;
  if (stop_due_) expedite(response, *stop_due_);
  credit_.grantMore(now);
}

void ResponseIntake::grant(std::uint64_t attempt_id, std::uint32_t bytes) {
  const auto& response = responses_.at(attempt_id);
  wire::BodyGrantT message;
  message.bytes = bytes;
  if (response.due) {
    message.due_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, ceilMilliseconds(*response.due - now_)));
    message.received = static_cast<std::uint32_t>(credit_.received(response.flow));
  }
  grant_(attempt_id, message);
}

void ResponseIntake::confirm(std::uint64_t attempt_id) {
  if (responses_.at(attempt_id).due) grant(attempt_id, 0);
}

ResponseIntake::Progress ResponseIntake::onPart(std::uint64_t attempt_id, const wire::BodyPartT& part,
                                                TimePoint now) {
  const auto found = responses_.find(attempt_id);
  if (found == responses_.end()) return Progress::Unknown;
  now_ = now;
  auto& [reply, flow, due, charge] = found->second;
  const bool is_granted = credit_.onReceived(flow, part.bytes.size(), now);
  if (!is_granted || part.end == wire::BodyEnd::Broken) {
    drop(attempt_id, now);
    return Progress::Broken;
  }
  reply.body.insert(reply.body.end(), part.bytes.begin(), part.bytes.end());
  const std::size_t held = reply.body.capacity();
  if (held <= 2 * kStreamingThresholdBytes) {
    charge.resize(held);
  } else if (!charge.tryResize(held)) {
    drop(attempt_id, now);
    return Progress::NoMemory;
  }
  const bool is_whole = part.end == wire::BodyEnd::Whole;
  confirm(attempt_id);
  if (is_whole) credit_.close(flow);
  credit_.grantMore(now);
  return is_whole ? Progress::Whole : Progress::Open;
}

wire::ForwardReplyT ResponseIntake::take(std::uint64_t attempt_id) {
  auto reply = std::move(responses_.at(attempt_id).reply);
  responses_.erase(attempt_id);
  reply.body_follows = false;
  return reply;
}

wire::ForwardReplyT ResponseIntake::beginStreaming(std::uint64_t attempt_id) {
  auto& [reply, flow, due, charge] = responses_.at(attempt_id);
  credit_.setReader(flow, reply.body.size(), kMaxUnreadBytes);
  auto head = reply;
  reply.body.clear();
  return head;
}

std::vector<std::uint8_t> ResponseIntake::takeReceivedBytes(std::uint64_t attempt_id) {
  return std::exchange(responses_.at(attempt_id).reply.body, {});
}

void ResponseIntake::onRead(std::uint64_t attempt_id, std::size_t bytes, TimePoint now) {
  const auto found = responses_.find(attempt_id);
  if (found == responses_.end()) return;
  now_ = now;
  credit_.onRead(found->second.flow, bytes);
  credit_.grantMore(now);
}

void ResponseIntake::expedite(Response& response, TimePoint due) {
  response.due = due;
  credit_.expedite(response.flow);
}

void ResponseIntake::expediteAll(TimePoint due, TimePoint now) {
  now_ = now;
  stop_due_ = due;
  for (auto& [attempt_id, response] : responses_) expedite(response, due);
  credit_.grantMore(now);
}

void ResponseIntake::expedite(std::uint64_t attempt_id, TimePoint due, TimePoint now) {
  const auto found = responses_.find(attempt_id);
  if (found == responses_.end() || found->second.due) return;
  now_ = now;
  expedite(found->second, due);
  credit_.grantMore(now);
}

void ResponseIntake::drop(std::uint64_t attempt_id, TimePoint now) {
  const auto found = responses_.find(attempt_id);
  if (found == responses_.end()) return;
  now_ = now;
  credit_.close(found->second.flow);
  responses_.erase(found);
  credit_.grantMore(now);
}

}  // namespace cometstand::sidecar
