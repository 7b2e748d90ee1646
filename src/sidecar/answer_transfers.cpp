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

/// Bytes of answers with a due time that may be under way together, which the next in the order waits behind:
/// 0.1 s of a link of 10 Mbit/s, and more than that link brings in a round trip between regions (75 KB).
constexpr std::size_t kMostUnconfirmed = 128 * 1024;
/// Of these, the share of one answer: an asker that is dead holds up no more than this.
constexpr std::size_t kMostUnconfirmedOfOne = 48 * 1024;
/// Bytes of a message that is sent in the order: 13 ms of such a link, which other messages wait behind.
constexpr std::size_t kOrderedPartBytes = 16 * 1024;

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

/// At least the answer's own bytes must have left, so that those who are refused together do not come back at
/// once to a link that is as full as before.
Duration AnswerTransfers::timeUntilRoom(std::size_t answer_bytes, TimePoint now) const {
  const std::size_t excess = held_bytes_ - std::min(held_bytes_, kMostHeldBytes);
  return std::max({expectedWait(now) - kMostWait, sendingTime(excess), sendingTime(answer_bytes)});
}

Duration AnswerTransfers::sendingTime(std::size_t bytes) const {
  const double rate = rate_.bytesPerSecond();
  if (rate <= 0) return Duration::zero();
  const std::chrono::duration<double> time(static_cast<double>(bytes) / rate);
  return std::chrono::duration_cast<Duration>(time);
}

Duration AnswerTransfers::expectedWait(TimePoint now) const {
  std::size_t bytes = 0;
  std::size_t active = 0;
  for (const auto& [asker, transfer] : transfers_) {
    if (transfer.active_at + kStallTime <= now) continue;
    bytes += transfer.left();
    ++active;
  }
  return active < kLeastActive ? Duration::zero() : sendingTime(bytes);
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
    transfer.sent_first = transfer.sent;
    transfer.active_at = now;
    cancel(asker);
    if (transfers_.empty()) rate_.begin(now);
    held_bytes_ += transfer.body.size();
    transfers_.emplace(asker, std::move(transfer));
  }
  actions_.send(asker.link, std::move(reply), asker.request_id);
}

void AnswerTransfers::onGrant(const GateAsker& asker, const wire::BodyGrantT& grant, TimePoint now) {
  const auto found = transfers_.find(asker);
  unconfirmed_.onConfirmed(asker, grant.received, now);
  if (found != transfers_.end()) {
    auto& transfer = found->second;
    transfer.active_at = now;
    transfer.granted += std::min<std::size_t>(grant.bytes, transfer.left() - transfer.granted);
    noteDue(asker, transfer, grant, now);
  }
  sendGranted(now);
}

void AnswerTransfers::noteDue(const GateAsker& asker, Transfer& transfer, const wire::BodyGrantT& grant,
                              TimePoint now) {
  if (grant.due_ms == 0) return;
  const std::size_t in_parts = transfer.sent - transfer.sent_first;
  if (!transfer.due)
    unconfirmed_.begin(asker, in_parts, std::min<std::size_t>(grant.received, in_parts), now);
  transfer.due = now + std::chrono::milliseconds(grant.due_ms);
}

void AnswerTransfers::sendGranted(TimePoint now) {
  for (auto next = nextToSend(); next != transfers_.end(); next = nextToSend()) sendPart(next, now);
}

bool AnswerTransfers::hasRoom(const GateAsker& asker, const Transfer& transfer) const {
  return !transfer.due || unconfirmed_.of(asker) < kMostUnconfirmedOfOne;
}

AnswerTransfers::Transfers::iterator AnswerTransfers::nextToSend() {
  const bool is_ordered = std::any_of(transfers_.begin(), transfers_.end(), [](const auto& item) {
    return item.second.due && item.second.granted > 0;
  });
  if (is_ordered && unconfirmed_.total() >= kMostUnconfirmed) return transfers_.end();
  auto best = transfers_.end();
  for (auto item = transfers_.begin(); item != transfers_.end(); ++item) {
    const auto& [asker, transfer] = *item;
    if (transfer.granted == 0 || !hasRoom(asker, transfer)) continue;
    if (best == transfers_.end() || transfer.mustEndBy() < best->second.mustEndBy()) best = item;
  }
  return best;
}

void AnswerTransfers::sendPart(Transfers::iterator item, TimePoint now) {
  const GateAsker asker = item->first;
  auto& transfer = item->second;
  wire::BodyPartT part;
  part.bytes =
      nextBytes(transfer, transfer.due ? std::min(transfer.granted, kOrderedPartBytes) : transfer.granted);
  transfer.granted -= part.bytes.size();
  if (transfer.due) unconfirmed_.onSent(asker, part.bytes.size(), now);
  rate_.note(part.bytes.size(), now);
  const bool is_whole = transfer.left() == 0;
  if (is_whole) part.end = wire::BodyEnd::Whole;
  actions_.send(asker.link, std::move(part), asker.request_id);
  if (!is_whole) return;
  unconfirmed_.finish(asker);
  forget(item);
}

void AnswerTransfers::cancel(const GateAsker& asker) {
  unconfirmed_.forget(asker);
  const auto found = transfers_.find(asker);
  if (found != transfers_.end()) forget(found);
}

void AnswerTransfers::cancelLink(runtime::LinkId link) {
  unconfirmed_.forgetLink(link);
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
    unconfirmed_.forget(transfer->first);
    transfer = forget(transfer);
  }
  unconfirmed_.expire(now);
  sendGranted(now);
}

TimePoint AnswerTransfers::nextTimer() const {
  TimePoint next = unconfirmed_.nextExpiry();
  for (const auto& [asker, transfer] : transfers_) next = std::min(next, transfer.give_up_at);
  return next;
}

}  // namespace cometstand::sidecar
