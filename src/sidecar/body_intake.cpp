#include "sidecar/body_intake.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {
namespace {

std::uint32_t wholeMilliseconds(Duration time) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

/// @return the remaining queue time of the request, but at least half of the original one: a request whose
/// body was transferred must not be refused because the transfer used up its queue time.
std::uint32_t BodyIntake::remainingQueueTime(const Transfer& transfer, TimePoint now) {
  const Duration queue_time = std::chrono::milliseconds(transfer.request->patience_ms);
  return wholeMilliseconds(std::max(queue_time - (now - transfer.announced_at), queue_time / 2));
}

BodyIntake::Transfers::iterator BodyIntake::find(const GateRequester& requester) {
  return std::find_if(transfers_.begin(), transfers_.end(),
                      [&requester](const Transfer& transfer) { return transfer.requester == requester; });
}

std::size_t BodyIntake::unreceivedBytes() const {
  std::size_t bytes = 0;
  for (const auto& transfer : transfers_) bytes += transfer.expected_bytes - transfer.receivedBytes();
  return bytes;
}

Duration BodyIntake::expectedWait() const {
  const double seconds = static_cast<double>(unreceivedBytes()) / credit_.rate();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void BodyIntake::announce(const GateRequester& requester, std::shared_ptr<wire::ForwardRequestT> request,
                          TimePoint now) {
  const Duration queue_time = std::chrono::milliseconds(request->patience_ms);
  if (expectedWait() > queue_time) {
    listener_.refuse(requester, *request, wire::NotRunReason::Full);
    return;
  }
  Transfer transfer;
  transfer.requester = requester;
  transfer.expected_bytes = request->announced_bytes;
  transfer.announced_at = now;
  transfer.deadline = now + std::chrono::milliseconds(request->deadline_ms);
  transfer.start_by = std::min(transfer.deadline, now + queue_time);
  transfer.request = std::move(request);
  transfer.request->body.clear();
  const auto grant = [this, requester](std::uint32_t bytes) { listener_.grant(requester, bytes); };
  transfer.flow = credit_.open(transfer.request->priority, transfer.expected_bytes, grant, now);
  transfers_.push_back(std::move(transfer));
  credit_.grantMore(now);
}

void BodyIntake::onPart(const GateRequester& requester, const std::vector<std::uint8_t>& bytes,
                        TimePoint now) {
  const auto transfer = find(requester);
  // The request may have been refused or cancelled while the part was in flight.
  if (transfer == transfers_.end()) return;
  if (!credit_.onReceived(transfer->flow, bytes.size(), now)) return;
  auto& body = transfer->request->body;
  if (body.empty()) body.reserve(transfer->expected_bytes);
  body.insert(body.end(), bytes.begin(), bytes.end());
  if (transfer->receivedBytes() < transfer->expected_bytes) {
    credit_.grantMore(now);
    return;
  }
  const Transfer done = std::move(*transfer);
  transfers_.erase(transfer);
  credit_.close(done.flow);
  credit_.grantMore(now);
  done.request->deadline_ms = wholeMilliseconds(std::max(done.deadline - now, Duration::zero()));
  done.request->patience_ms = remainingQueueTime(done, now);
  listener_.whole(done.requester, done.request);
}

void BodyIntake::cancel(const GateRequester& requester, TimePoint now) {
  const auto transfer = find(requester);
  if (transfer == transfers_.end()) return;
  credit_.close(transfer->flow);
  transfers_.erase(transfer);
  credit_.grantMore(now);
}

void BodyIntake::cancelLink(runtime::LinkId link, TimePoint now) {
  transfers_.remove_if([this, link](const Transfer& transfer) {
    if (transfer.requester.link != link) return false;
    credit_.close(transfer.flow);
    return true;
  });
  credit_.grantMore(now);
}

void BodyIntake::rejectAll(Transfers& rejected, wire::NotRunReason reason) {
  for (const auto& transfer : rejected) credit_.close(transfer.flow);
  for (const auto& transfer : rejected) listener_.refuse(transfer.requester, *transfer.request, reason);
}

void BodyIntake::refuseUnstarted(wire::NotRunReason reason, TimePoint now) {
  Transfers rejected;
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    const auto next = std::next(transfer);
    if (!hasStarted(*transfer)) rejected.splice(rejected.end(), transfers_, transfer);
    transfer = next;
  }
  rejectAll(rejected, reason);
  credit_.grantMore(now);
}

void BodyIntake::onTimer(TimePoint now) {
  Transfers rejected;
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    const auto next = std::next(transfer);
    const bool is_overdue = hasStarted(*transfer) ? transfer->deadline <= now : transfer->start_by <= now;
    if (is_overdue) rejected.splice(rejected.end(), transfers_, transfer);
    transfer = next;
  }
  rejectAll(rejected, wire::NotRunReason::Full);
  credit_.onTimer(now);
}

TimePoint BodyIntake::nextTimer() const {
  TimePoint next = credit_.nextTimer();
  for (const auto& transfer : transfers_) {
    next = std::min(next, hasStarted(transfer) ? transfer.deadline : transfer.start_by);
  }
  return next;
}

}  // namespace cometstand::sidecar
