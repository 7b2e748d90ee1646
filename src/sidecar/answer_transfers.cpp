#include "sidecar/answer_transfers.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {
namespace {

/// An asker says itself that its time is up; only one that fails to is given up here, so much later.
constexpr Duration kCancelGrace = std::chrono::milliseconds(200);
/// An asker that has granted nothing for so long has its own reasons: behind a full link of 10 Mbit/s a grant
/// comes after 0.4 to 0.7 s, with 30 askers of 16 KiB each (reckoned).
constexpr Duration kStallTime = std::chrono::milliseconds(1'500);

/// The rate at which fewer answers leave may be that of their askers, not that of the link.
constexpr std::size_t kLeastActive = 4;

}  // namespace

std::vector<std::uint8_t> AnswerTransfers::nextBytes(Transfer& transfer, std::size_t bytes) {
  const auto begin = transfer.body.begin() + static_cast<std::ptrdiff_t>(transfer.sent);
  const std::size_t length = std::min(bytes, transfer.left());
  transfer.sent += length;
  return {begin, begin + static_cast<std::ptrdiff_t>(length)};
}

AnswerTransfers::Transfers::iterator AnswerTransfers::forget(Transfers::iterator transfer) {
  held_bytes_ -= transfer->second.body.size();
  return transfers_.erase(transfer);
}

bool AnswerTransfers::isFull(std::size_t answer_bytes, unsigned credit, TimePoint now) const {
  if (held_bytes_ >= kMostHeldBytes) return true;
  const bool is_large = credit > 0 && answer_bytes > credit;
  return is_large && expectedWait(now) >= kMostWait;
}

Duration AnswerTransfers::expectedWait(TimePoint now) const {
  const double rate = rate_.bytesPerSecond();
  if (rate <= 0) return Duration::zero();
  std::size_t bytes = 0;
  std::size_t active = 0;
  for (const auto& [asker, transfer] : transfers_) {
    if (transfer.active_at + kStallTime <= now) continue;
    bytes += transfer.left();
    ++active;
  }
  if (active < kLeastActive) return Duration::zero();
  const std::chrono::duration<double> time(static_cast<double>(bytes) / rate);
  return std::chrono::duration_cast<Duration>(time);
}

void AnswerTransfers::send(const GateAsker& asker, wire::ForwardReplyT reply, TimePoint now) {
  const std::size_t credit = asker.answer.credit;
  const bool is_large = credit > 0 && reply.body.size() > credit;
  if (is_large && reply.outcome == wire::ForwardOutcome::Answered) {
    Transfer transfer;
    transfer.body = std::move(reply.body);
    transfer.give_up_at = asker.answer.wanted_until + kCancelGrace;
    reply.body = nextBytes(transfer, credit);
    reply.body_follows = true;
    transfer.active_at = now;
    cancel(asker);
    if (transfers_.empty()) rate_.begin(now);
    held_bytes_ += transfer.body.size();
    transfers_.emplace(asker, std::move(transfer));
  }
  actions_.send(asker.link, std::move(reply), asker.request_id);
}

void AnswerTransfers::onGrant(const GateAsker& asker, std::size_t bytes, TimePoint now) {
  const auto found = transfers_.find(asker);
  if (found == transfers_.end() || bytes == 0) return;
  wire::BodyPartT part;
  part.bytes = nextBytes(found->second, bytes);
  found->second.active_at = now;
  rate_.note(part.bytes.size(), now);
  const bool is_whole = found->second.left() == 0;
  if (is_whole) part.end = wire::BodyEnd::Whole;
  actions_.send(asker.link, std::move(part), asker.request_id);
  if (is_whole) forget(found);
}

void AnswerTransfers::cancel(const GateAsker& asker) {
  const auto found = transfers_.find(asker);
  if (found != transfers_.end()) forget(found);
}

void AnswerTransfers::cancelLink(runtime::LinkId link) {
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    transfer = transfer->first.link == link ? forget(transfer) : std::next(transfer);
  }
}

void AnswerTransfers::onTimer(TimePoint now) {
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    if (transfer->second.give_up_at > now) {
      ++transfer;
      continue;
    }
    wire::BodyPartT part;
    part.end = wire::BodyEnd::Broken;
    actions_.send(transfer->first.link, std::move(part), transfer->first.request_id);
    transfer = forget(transfer);
  }
}

TimePoint AnswerTransfers::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [asker, transfer] : transfers_) next = std::min(next, transfer.give_up_at);
  return next;
}

}  // namespace cometstand::sidecar
