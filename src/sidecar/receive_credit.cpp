#include "sidecar/receive_credit.h"

#include <algorithm>
#include <utility>
#include <vector>

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
/// Bytes that are granted ahead of all expedited bodies together: two of the largest answers that are usual
/// (540 KB, as our deployments say), which a link of 9.7 Mbit/s brings in 0.9 s.
constexpr std::size_t kMostExpedited = 1024 * 1024;
/// Bytes of one such grant: 55 ms on a link of 9.7 Mbit/s.
constexpr std::size_t kExpeditedPartBytes = 64 * 1024;
/// A sender that was granted bytes and sent none for so long no longer takes part of the window.
constexpr Duration kStallTime = std::chrono::milliseconds(400);
/// The rate is measured over spans of at least this time.
constexpr Duration kMeasureTime = std::chrono::milliseconds(20);
/// Weight of the newest measured span.
constexpr double kNewest = 0.2;
/// No link is taken for slower, so that one bad span cannot close the intake.
constexpr double kLeastRate = 50e3;

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

ReceiveCredit::Flow ReceiveCredit::open(unsigned priority, std::size_t expected, Grant grant, TimePoint now,
                                        Duration way) {
  const Flow flow{priority, next_number_++};
  State state;
  state.expected = expected;
  state.grant = std::move(grant);
  state.way = way;
  state.active_at = now;
  flows_.emplace(flow, std::move(state));
  return flow;
}

void ReceiveCredit::setReader(const Flow& flow, std::size_t unread, std::size_t most_unread) {
  auto& state = flows_.at(flow);
  state.unread = unread;
  state.most_unread = most_unread;
}

void ReceiveCredit::onRead(const Flow& flow, std::size_t bytes) {
  auto& state = flows_.at(flow);
  state.unread -= std::min(bytes, state.unread);
}

std::size_t ReceiveCredit::window() const {
  const auto bytes = static_cast<std::size_t>(rate_ * secondsOf(kGrantTime));
  return std::clamp(bytes, kLeastWindow, kMostWindow);
}

std::size_t ReceiveCredit::outstandingBytes() const {
  std::size_t bytes = 0;
  for (const auto& [flow, state] : flows_) {
    if (!state.stalled && !state.is_expedited) bytes += countedBytes(state);
  }
  return bytes;
}

std::size_t ReceiveCredit::countedBytes(const State& state) const {
  const auto on_way = static_cast<std::size_t>(rate_ * secondsOf(state.way));
  return state.outstanding() - std::min(on_way, state.outstanding());
}

void ReceiveCredit::noteStalled(TimePoint now) {
  for (auto& [flow, state] : flows_) {
    state.stalled = state.outstanding() > 0 && state.active_at + kStallTime <= now;
  }
}

void ReceiveCredit::grantPart(State& state, TimePoint now) {
  const std::size_t bytes = std::min(kExpeditedPartBytes, state.expected - state.granted);
  if (state.granted == 0) state.active_at = now;
  state.granted += bytes;
  state.grant(static_cast<std::uint32_t>(bytes));
}

/// Each has a part under way, whatever the others have: a sender that is slow must not hold up the bodies of
/// others. What is left of the bound goes to the one that has the least.
void ReceiveCredit::grantExpedited(TimePoint now) {
  std::vector<State*> open;
  std::size_t outstanding = 0;
  for (auto& [flow, state] : flows_) {
    if (!state.is_expedited) continue;
    const bool is_open = state.granted < state.expected;
    if (is_open && state.outstanding() == 0) grantPart(state, now);
    if (is_open) open.push_back(&state);
    outstanding += state.outstanding();
  }
  while (outstanding < kMostExpedited) {
    std::erase_if(open, [](const State* state) { return state->granted >= state->expected; });
    if (open.empty()) return;
    State& least = **std::min_element(open.begin(), open.end(), [](const State* left, const State* right) {
      return left->outstanding() < right->outstanding();
    });
    const std::size_t before = least.outstanding();
    grantPart(least, now);
    outstanding += least.outstanding() - before;
  }
}

void ReceiveCredit::grantMore(TimePoint now) {
  const std::size_t most = window();
  std::size_t outstanding = outstandingBytes();
  bool was_idle = std::all_of(flows_.begin(), flows_.end(),
                              [](const auto& item) { return item.second.outstanding() == 0; });
  if (was_idle) measured_until_ = now;
  grantExpedited(now);
  for (auto& [flow, state] : flows_) {
    if (state.stalled || state.is_expedited) continue;
    // While the first bytes are on their way, the link brings nothing.
    if (was_idle && state.mayGrant()) {
      measured_until_ = now + state.way;
      was_idle = false;
    }
    while (state.mayGrant() && outstanding < most) {
      const std::size_t bytes = std::min(kPartBytes, state.expected - state.granted);
      if (state.granted == 0) state.active_at = now;
      const std::size_t counted = countedBytes(state);
      state.granted += bytes;
      outstanding += countedBytes(state) - counted;
      state.grant(static_cast<std::uint32_t>(bytes));
    }
    if (outstanding >= most) return;
  }
}

void ReceiveCredit::noteReceived(std::size_t bytes, TimePoint now) {
  measured_bytes_ += bytes;
  measured_time_ += std::max(Duration::zero(), now - measured_until_);
  measured_until_ = std::max(measured_until_, now);
  if (measured_time_ < kMeasureTime) return;
  const double rate = static_cast<double>(measured_bytes_) / secondsOf(measured_time_);
  rate_ = std::max(kLeastRate, rate_ + kNewest * (rate - rate_));
  measured_time_ = Duration::zero();
  measured_bytes_ = 0;
}

bool ReceiveCredit::onReceived(const Flow& flow, std::size_t bytes, TimePoint now) {
  auto& state = flows_.at(flow);
  if (bytes > state.outstanding()) return false;
  state.received += bytes;
  state.unread += bytes;
  state.active_at = now;
  state.stalled = false;
  noteReceived(bytes, now);
  return true;
}

void ReceiveCredit::onTimer(TimePoint now) {
  noteStalled(now);
  grantMore(now);
}

TimePoint ReceiveCredit::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [flow, state] : flows_) {
    const bool may_stall = state.outstanding() > 0 && !state.stalled;
    if (may_stall) next = std::min(next, state.active_at + kStallTime);
  }
  return next;
}

}  // namespace cometstand::sidecar
