#include "sidecar/response_transfers.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {
namespace {

/// A requester cancels the request itself at its deadline. A transfer that was not cancelled is aborted after
/// this additional time.
constexpr Duration kCancelGracePeriod = std::chrono::milliseconds(200);
/// A transfer without a grant for this long is stalled by its requester. Behind a full link of 10 Mbit/s,
/// with 30 requesters of 16 KiB each, a grant takes an estimated 0.4 to 0.7 s.
constexpr Duration kStallTimeout = std::chrono::milliseconds(1'500);

/// With fewer active transfers the send rate may be limited by the requesters and not by the link.
constexpr std::size_t kMinActiveTransfers = 4;

/// Limit of the unconfirmed bytes of all responses with a due time. The next part waits behind them: 0.1 s on
/// a link of 10 Mbit/s. It exceeds the bandwidth-delay product of such a link between regions (75 KB).
constexpr std::size_t kMaxUnconfirmedBytes = 128 * 1024;
/// Limit of the unconfirmed bytes of one response, so that a failed requester blocks no more than these.
constexpr std::size_t kMaxUnconfirmedBytesPerTransfer = 48 * 1024;
/// Maximum size of a part of a response with a due time. Other messages wait behind it: 13 ms on a link of
/// 10 Mbit/s.
constexpr std::size_t kMaxDuePartBytes = 16 * 1024;

}  // namespace

std::vector<std::uint8_t> ResponseTransfers::nextBytes(Transfer& transfer, std::size_t bytes) {
  const auto begin = transfer.body.begin() + static_cast<std::ptrdiff_t>(transfer.sent);
  const std::size_t length = std::min(bytes, transfer.unsentBytes());
  transfer.sent += length;
  return {begin, begin + static_cast<std::ptrdiff_t>(length)};
}

ResponseTransfers::Transfers::iterator ResponseTransfers::erase(Transfers::iterator transfer) {
  held_bytes_ -= transfer->second.body.size();
  charge_.resize(held_bytes_);
  return transfers_.erase(transfer);
}

bool ResponseTransfers::isFull(std::size_t answer_bytes, unsigned credit, TimePoint now) const {
  if (held_bytes_ >= kMaxHeldBytes) return true;
  const bool is_large = credit > 0 && answer_bytes > credit;
  return is_large && expectedWait(now) >= kMaxExpectedWait;
}

/// The result covers at least the transmission time of the response itself, so that requests which are
/// refused together do not all retry at once while the link is still full.
Duration ResponseTransfers::timeUntilCapacity(std::size_t answer_bytes, TimePoint now) const {
  const std::size_t excess = held_bytes_ - std::min(held_bytes_, kMaxHeldBytes);
  return std::max(
      {expectedWait(now) - kMaxExpectedWait, transmissionTime(excess), transmissionTime(answer_bytes)});
}

Duration ResponseTransfers::transmissionTime(std::size_t bytes) const {
  const double rate = rate_.bytesPerSecond();
  if (rate <= 0) return Duration::zero();
  const std::chrono::duration<double> time(static_cast<double>(bytes) / rate);
  return std::chrono::duration_cast<Duration>(time);
}

Duration ResponseTransfers::expectedWait(TimePoint now) const {
  std::size_t bytes = 0;
  std::size_t active = 0;
  for (const auto& [requester, transfer] : transfers_) {
    if (transfer.last_grant_at + kStallTimeout <= now) continue;
    bytes += transfer.unsentBytes();
    ++active;
  }
  return active < kMinActiveTransfers ? Duration::zero() : transmissionTime(bytes);
}

void ResponseTransfers::send(const GateRequester& requester, wire::ForwardReplyT reply, TimePoint now) {
  const std::size_t credit = requester.answer.credit;
  const bool is_large = credit > 0 && reply.body.size() > credit;
  if (is_large && reply.outcome == wire::ForwardOutcome::Answered) {
    Transfer transfer;
    transfer.body = std::move(reply.body);
    transfer.abort_at = requester.answer.useful_until + kCancelGracePeriod;
    reply.body = nextBytes(transfer, credit);
    reply.body_follows = true;
    transfer.sent_in_first_message = transfer.sent;
    transfer.last_grant_at = now;
    cancel(requester);
    if (transfers_.empty()) rate_.begin(now);
    held_bytes_ += transfer.body.size();
    charge_.resize(held_bytes_);
    transfers_.emplace(requester, std::move(transfer));
  }
  actions_.send(requester.link, std::move(reply), requester.request_id);
}

void ResponseTransfers::onGrant(const GateRequester& requester, const wire::BodyGrantT& grant,
                                TimePoint now) {
  const auto found = transfers_.find(requester);
  unconfirmed_.onConfirmed(requester, grant.received, now);
  if (found != transfers_.end()) {
    auto& transfer = found->second;
    transfer.last_grant_at = now;
    transfer.granted += std::min<std::size_t>(grant.bytes, transfer.unsentBytes() - transfer.granted);
    updateDueTime(requester, transfer, grant, now);
  }
  sendGranted(now);
}

void ResponseTransfers::updateDueTime(const GateRequester& requester, Transfer& transfer,
                                      const wire::BodyGrantT& grant, TimePoint now) {
  if (grant.due_ms == 0) return;
  const std::size_t sent_in_parts = transfer.sent - transfer.sent_in_first_message;
  if (!transfer.due)
    unconfirmed_.begin(requester, sent_in_parts, std::min<std::size_t>(grant.received, sent_in_parts), now);
  transfer.due = now + std::chrono::milliseconds(grant.due_ms);
}

void ResponseTransfers::sendGranted(TimePoint now) {
  for (auto next = nextToSend(); next != transfers_.end(); next = nextToSend()) sendPart(next, now);
}

bool ResponseTransfers::isBelowUnconfirmedLimit(const GateRequester& requester,
                                                const Transfer& transfer) const {
  return !transfer.due || unconfirmed_.bytesOf(requester) < kMaxUnconfirmedBytesPerTransfer;
}

ResponseTransfers::Transfers::iterator ResponseTransfers::nextToSend() {
  const bool has_due_transfer = std::any_of(transfers_.begin(), transfers_.end(), [](const auto& item) {
    return item.second.due && item.second.granted > 0;
  });
  if (has_due_transfer && unconfirmed_.totalBytes() >= kMaxUnconfirmedBytes) return transfers_.end();
  auto best = transfers_.end();
  for (auto item = transfers_.begin(); item != transfers_.end(); ++item) {
    const auto& [requester, transfer] = *item;
    if (transfer.granted == 0 || !isBelowUnconfirmedLimit(requester, transfer)) continue;
    if (best == transfers_.end() || transfer.effectiveDueTime() < best->second.effectiveDueTime())
      best = item;
  }
  return best;
}

void ResponseTransfers::sendPart(Transfers::iterator item, TimePoint now) {
  const GateRequester requester = item->first;
  auto& transfer = item->second;
  wire::BodyPartT part;
  part.bytes =
      nextBytes(transfer, transfer.due ? std::min(transfer.granted, kMaxDuePartBytes) : transfer.granted);
  transfer.granted -= part.bytes.size();
  if (transfer.due) unconfirmed_.onSent(requester, part.bytes.size(), now);
  rate_.onSent(part.bytes.size(), now);
  const bool is_whole = transfer.unsentBytes() == 0;
  if (is_whole) part.end = wire::BodyEnd::Whole;
  actions_.send(requester.link, std::move(part), requester.request_id);
  if (!is_whole) return;
  unconfirmed_.finish(requester);
  erase(item);
}

void ResponseTransfers::cancel(const GateRequester& requester) {
  unconfirmed_.forget(requester);
  const auto found = transfers_.find(requester);
  if (found != transfers_.end()) erase(found);
}

void ResponseTransfers::cancelLink(runtime::LinkId link) {
  unconfirmed_.forgetLink(link);
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    transfer = transfer->first.link == link ? erase(transfer) : std::next(transfer);
  }
}

void ResponseTransfers::onTimer(TimePoint now) {
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    if (transfer->second.abort_at > now) {
      ++transfer;
      continue;
    }
    wire::BodyPartT part;
    part.end = wire::BodyEnd::Broken;
    actions_.send(transfer->first.link, std::move(part), transfer->first.request_id);
    unconfirmed_.forget(transfer->first);
    transfer = erase(transfer);
  }
  unconfirmed_.expire(now);
  sendGranted(now);
}

TimePoint ResponseTransfers::nextTimer() const {
  TimePoint next = unconfirmed_.nextExpiry();
  for (const auto& [requester, transfer] : transfers_) next = std::min(next, transfer.abort_at);
  return next;
}

}  // namespace cometstand::sidecar
