#include "sidecar/receive_credit.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cometstand::sidecar {
namespace {

/// The window is the number of bytes that the link delivers in this time. It spans a few round trips between
/// zones of a region, so that the link does not idle, and bounds the wait of an urgent request behind bodies.
constexpr Duration kWindowDuration = std::chrono::milliseconds(25);
/// Limits of the window: at least a few packets, and at most a small amount of memory.
constexpr std::size_t kMinWindowBytes = 16 * 1024;
constexpr std::size_t kMaxWindowBytes = 256 * 1024;
/// Size of one grant: its transfer takes about 10 ms on a link of 6 Mbit/s.
constexpr std::size_t kGrantBytes = 8 * 1024;
/// Limit of the outstanding bytes of all expedited bodies: two responses of 540 KB, the largest usual size,
/// which take 0.9 s on a link of 9.7 Mbit/s.
constexpr std::size_t kMaxExpeditedBytes = 1024 * 1024;
/// Size of one grant to an expedited body: 55 ms on a link of 9.7 Mbit/s.
constexpr std::size_t kExpeditedGrantBytes = 64 * 1024;
/// The outstanding bytes of a sender that has sent nothing for this long no longer count towards the window.
constexpr Duration kStallTimeout = std::chrono::milliseconds(400);
/// Minimum duration of a rate sample.
constexpr Duration kMinSampleDuration = std::chrono::milliseconds(20);
/// Weight of the latest rate sample.
constexpr double kNewestWeight = 0.2;
/// Lower limit of the estimated rate, so that one low sample cannot block all grants.
constexpr double kMinBytesPerSecond = 50e3;

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

ReceiveCredit::Flow ReceiveCredit::open(unsigned priority, std::size_t expected_bytes, Grant grant,
                                        TimePoint now, Duration extra_latency) {
  const Flow flow{priority, next_number_++};
  State state;
  state.expected_bytes = expected_bytes;
  state.grant = std::move(grant);
  state.extra_latency = extra_latency;
  state.last_progress_at = now;
  flows_.emplace(flow, std::move(state));
  return flow;
}

void ReceiveCredit::setReader(const Flow& flow, std::size_t unread, std::size_t max_unread) {
  auto& state = flows_.at(flow);
  state.unread = unread;
  state.max_unread = max_unread;
}

void ReceiveCredit::onRead(const Flow& flow, std::size_t bytes) {
  auto& state = flows_.at(flow);
  state.unread -= std::min(bytes, state.unread);
}

std::size_t ReceiveCredit::windowBytes() const {
  const auto bytes = static_cast<std::size_t>(rate_ * secondsOf(kWindowDuration));
  return std::clamp(bytes, kMinWindowBytes, kMaxWindowBytes);
}

std::size_t ReceiveCredit::outstandingBytes() const {
  std::size_t bytes = 0;
  for (const auto& [flow, state] : flows_) {
    if (!state.stalled && !state.is_expedited) bytes += countedBytes(state);
  }
  return bytes;
}

std::size_t ReceiveCredit::countedBytes(const State& state) const {
  const auto in_transit = static_cast<std::size_t>(rate_ * secondsOf(state.extra_latency));
  return state.outstanding() - std::min(in_transit, state.outstanding());
}

void ReceiveCredit::updateStalled(TimePoint now) {
  for (auto& [flow, state] : flows_) {
    state.stalled = state.outstanding() > 0 && state.last_progress_at + kStallTimeout <= now;
  }
}

void ReceiveCredit::grantExpeditedPart(State& state, TimePoint now) {
  const std::size_t bytes = std::min(kExpeditedGrantBytes, state.expected_bytes - state.granted);
  if (state.granted == 0) state.last_progress_at = now;
  state.granted += bytes;
  state.grant(static_cast<std::uint32_t>(bytes));
}

/// Each expedited body always has a part in flight, irrespective of the others, so that a slow sender does
/// not block them. The remainder of the bound is granted to the bodies with the fewest outstanding bytes.
void ReceiveCredit::grantExpedited(TimePoint now) {
  std::vector<State*> open;
  std::size_t outstanding = 0;
  for (auto& [flow, state] : flows_) {
    if (!state.is_expedited) continue;
    const bool is_open = state.granted < state.expected_bytes;
    if (is_open && state.outstanding() == 0) grantExpeditedPart(state, now);
    if (is_open) open.push_back(&state);
    outstanding += state.outstanding();
  }
  while (outstanding < kMaxExpeditedBytes) {
    std::erase_if(open, [](const State* state) { return state->granted >= state->expected_bytes; });
    if (open.empty()) return;
    State& least = **std::min_element(open.begin(), open.end(), [](const State* left, const State* right) {
      return left->outstanding() < right->outstanding();
    });
    const std::size_t before = least.outstanding();
    grantExpeditedPart(least, now);
    outstanding += least.outstanding() - before;
  }
}

void ReceiveCredit::grantMore(TimePoint now) {
  const std::size_t max_outstanding = windowBytes();
  std::size_t outstanding = outstandingBytes();
  bool was_idle = std::all_of(flows_.begin(), flows_.end(),
                              [](const auto& item) { return item.second.outstanding() == 0; });
  if (was_idle) measured_until_ = now;
  grantExpedited(now);
  for (auto& [flow, state] : flows_) {
    if (state.stalled || state.is_expedited) continue;
    // The link delivers nothing while the first bytes are in transit, so this time is not part of the sample.
    if (was_idle && state.canGrant()) {
      measured_until_ = now + state.extra_latency;
      was_idle = false;
    }
    while (state.canGrant() && outstanding < max_outstanding) {
      const std::size_t bytes = std::min(kGrantBytes, state.expected_bytes - state.granted);
      if (state.granted == 0) state.last_progress_at = now;
      const std::size_t counted = countedBytes(state);
      state.granted += bytes;
      outstanding += countedBytes(state) - counted;
      state.grant(static_cast<std::uint32_t>(bytes));
    }
    if (outstanding >= max_outstanding) return;
  }
}

void ReceiveCredit::updateRate(std::size_t bytes, TimePoint now) {
  measured_bytes_ += bytes;
  measured_time_ += std::max(Duration::zero(), now - measured_until_);
  measured_until_ = std::max(measured_until_, now);
  if (measured_time_ < kMinSampleDuration) return;
  const double rate = static_cast<double>(measured_bytes_) / secondsOf(measured_time_);
  rate_ = std::max(kMinBytesPerSecond, rate_ + kNewestWeight * (rate - rate_));
  measured_time_ = Duration::zero();
  measured_bytes_ = 0;
}

bool ReceiveCredit::onReceived(const Flow& flow, std::size_t bytes, TimePoint now) {
  auto& state = flows_.at(flow);
  if (bytes > state.outstanding()) return false;
  state.received += bytes;
  state.unread += bytes;
  state.last_progress_at = now;
  state.stalled = false;
  updateRate(bytes, now);
  return true;
}

void ReceiveCredit::onTimer(TimePoint now) {
  updateStalled(now);
  grantMore(now);
}

TimePoint ReceiveCredit::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [flow, state] : flows_) {
    const bool may_stall = state.outstanding() > 0 && !state.stalled;
    if (may_stall) next = std::min(next, state.last_progress_at + kStallTimeout);
  }
  return next;
}

}  // namespace cometstand::sidecar
