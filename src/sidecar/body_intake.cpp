#include "sidecar/body_intake.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {
namespace {

/// Grants cover what the link brings in this time: a few round trips between zones of a region, so that the
/// link never runs dry, and the most that an urgent request waits behind bodies.
constexpr Duration kGrantTime = std::chrono::milliseconds(25);
/// Bounds of the bytes that are granted and have not come: a few packets at least, and little memory.
constexpr std::size_t kLeastWindow = 16 * 1024;
constexpr std::size_t kMostWindow = 256 * 1024;
/// Bytes of one grant: on a link of 6 Mbit/s one part takes about 10 ms.
constexpr std::size_t kPartBytes = 8 * 1024;
/// A sender that was granted bytes and sent none for so long no longer takes part of the window.
constexpr Duration kStallTime = std::chrono::milliseconds(400);
/// The rate is measured over spans of at least this time.
constexpr Duration kMeasureTime = std::chrono::milliseconds(20);
/// Weight of the newest measured span.
constexpr double kNewest = 0.2;
/// No link is taken for slower, so that one bad span cannot close the intake.
constexpr double kLeastRate = 50e3;

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

std::uint32_t wholeMilliseconds(Duration time) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

/// @return what is left of the request's patience, but enough of it that the bytes were not sent for nothing.
std::uint32_t BodyIntake::patienceLeft(const Transfer& transfer, TimePoint now) {
  const Duration patience = std::chrono::milliseconds(transfer.request->patience_ms);
  return wholeMilliseconds(std::max(patience - (now - transfer.announced_at), patience / 2));
}

BodyIntake::Transfers::iterator BodyIntake::find(const GateAsker& asker) {
  return std::find_if(transfers_.begin(), transfers_.end(),
                      [&asker](const Transfer& transfer) { return transfer.asker == asker; });
}

std::size_t BodyIntake::bytesToCome() const {
  std::size_t bytes = 0;
  for (const auto& transfer : transfers_) bytes += transfer.expected - transfer.received();
  return bytes;
}

Duration BodyIntake::expectedWait() const {
  const double seconds = static_cast<double>(bytesToCome()) / rate_;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void BodyIntake::announce(const GateAsker& asker, std::shared_ptr<wire::ForwardRequestT> request,
                          TimePoint now) {
  const Duration patience = std::chrono::milliseconds(request->patience_ms);
  if (expectedWait() > patience) {
    listener_.refuse(asker, *request, wire::NotRunReason::Full);
    return;
  }
  Transfer transfer;
  transfer.asker = asker;
  transfer.expected = request->announced_bytes;
  transfer.announced_at = now;
  transfer.deadline = now + std::chrono::milliseconds(request->deadline_ms);
  transfer.begin_by = std::min(transfer.deadline, now + patience);
  transfer.active_at = now;
  transfer.request = std::move(request);
  transfer.request->body.clear();
  transfers_.push_back(std::move(transfer));
  grantMore(now);
}

std::size_t BodyIntake::window() const {
  const auto bytes = static_cast<std::size_t>(rate_ * secondsOf(kGrantTime));
  return std::clamp(bytes, kLeastWindow, kMostWindow);
}

std::size_t BodyIntake::outstandingBytes() const {
  std::size_t bytes = 0;
  for (const auto& transfer : transfers_) {
    if (!transfer.stalled) bytes += transfer.outstanding();
  }
  return bytes;
}

void BodyIntake::noteStalled(TimePoint now) {
  for (auto& transfer : transfers_) {
    transfer.stalled = transfer.outstanding() > 0 && transfer.active_at + kStallTime <= now;
  }
}

void BodyIntake::grantMore(TimePoint now) {
  const std::size_t most = window();
  std::size_t outstanding = outstandingBytes();
  if (outstanding == 0) measured_until_ = now;
  for (auto& transfer : transfers_) {
    if (transfer.stalled) continue;
    while (transfer.granted < transfer.expected && outstanding < most) {
      const std::size_t bytes = std::min(kPartBytes, transfer.expected - transfer.granted);
      if (!transfer.hasBegun()) transfer.active_at = now;
      transfer.granted += bytes;
      outstanding += bytes;
      listener_.grant(transfer.asker, static_cast<std::uint32_t>(bytes));
    }
    if (outstanding >= most) return;
  }
}

void BodyIntake::noteReceived(std::size_t bytes, TimePoint now) {
  measured_bytes_ += bytes;
  measured_time_ += now - measured_until_;
  measured_until_ = now;
  if (measured_time_ < kMeasureTime) return;
  const double rate = static_cast<double>(measured_bytes_) / secondsOf(measured_time_);
  rate_ = std::max(kLeastRate, rate_ + kNewest * (rate - rate_));
  measured_time_ = Duration::zero();
  measured_bytes_ = 0;
}

void BodyIntake::onPart(const GateAsker& asker, const std::vector<std::uint8_t>& bytes, TimePoint now) {
  const auto transfer = find(asker);
  // Refused or given up meanwhile; or more than was granted, which no sound sender sends.
  if (transfer == transfers_.end() || bytes.size() > transfer->outstanding()) return;
  auto& body = transfer->request->body;
  if (body.empty()) body.reserve(transfer->expected);
  body.insert(body.end(), bytes.begin(), bytes.end());
  transfer->active_at = now;
  transfer->stalled = false;
  noteReceived(bytes.size(), now);
  if (transfer->received() < transfer->expected) {
    grantMore(now);
    return;
  }
  const Transfer done = std::move(*transfer);
  transfers_.erase(transfer);
  grantMore(now);
  done.request->deadline_ms = wholeMilliseconds(std::max(done.deadline - now, Duration::zero()));
  done.request->patience_ms = patienceLeft(done, now);
  listener_.whole(done.asker, done.request);
}

void BodyIntake::cancel(const GateAsker& asker, TimePoint now) {
  const auto transfer = find(asker);
  if (transfer == transfers_.end()) return;
  transfers_.erase(transfer);
  grantMore(now);
}

void BodyIntake::cancelLink(runtime::LinkId link, TimePoint now) {
  transfers_.remove_if([link](const Transfer& transfer) { return transfer.asker.link == link; });
  grantMore(now);
}

void BodyIntake::refuseUnbegun(wire::NotRunReason reason, TimePoint now) {
  Transfers refused;
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    const auto next = std::next(transfer);
    if (!transfer->hasBegun()) refused.splice(refused.end(), transfers_, transfer);
    transfer = next;
  }
  for (const auto& transfer : refused) listener_.refuse(transfer.asker, *transfer.request, reason);
  grantMore(now);
}

void BodyIntake::onTimer(TimePoint now) {
  Transfers refused;
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    const auto next = std::next(transfer);
    const bool is_late = transfer->hasBegun() ? transfer->deadline <= now : transfer->begin_by <= now;
    if (is_late) refused.splice(refused.end(), transfers_, transfer);
    transfer = next;
  }
  for (const auto& transfer : refused) {
    listener_.refuse(transfer.asker, *transfer.request, wire::NotRunReason::Full);
  }
  noteStalled(now);
  grantMore(now);
}

TimePoint BodyIntake::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& transfer : transfers_) {
    next = std::min(next, transfer.hasBegun() ? transfer.deadline : transfer.begin_by);
    const bool may_stall = transfer.outstanding() > 0 && !transfer.stalled;
    if (may_stall) next = std::min(next, transfer.active_at + kStallTime);
  }
  return next;
}

}  // namespace cometstand::sidecar
