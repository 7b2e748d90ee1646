// Randomized tests of targets that restart repeatedly, under one id or each time under a new one, while
// messages are delayed and clocks step.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "base/random.h"
#include "sidecar/target_state.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kIncarnations = 5;
constexpr Duration kHeartbeatInterval = milliseconds(1'500);
constexpr Duration kMaxDelay = seconds(6);
/// Lifetime of the last incarnation: long enough for all delayed messages to arrive, for the previous
/// incarnation to count as silent, and for two more heartbeats to arrive. After an incarnation that reported
/// that it is leaving, silence is no evidence.
constexpr Duration lastLifetime(bool has_leave_notice) {
  const Duration silence =
      has_leave_notice ? TargetState::kMaxHeartbeatDelay : TargetState::kHeartbeatTimeout;
  return kMaxDelay + silence + 4 * kHeartbeatInterval;
}

/// A message of an incarnation with its arrival time.
struct Message {
  TimePoint arrives;
  Heartbeat beat;
  bool is_deregistration = false;
};

class IncarnationSeries {
 public:
  explicit IncarnationSeries(std::uint64_t seed, bool has_new_ids = false)
      : random_(seed), has_new_ids_(has_new_ids) {
    for (int i = 0; i < kIncarnations; ++i) addIncarnation(i == kIncarnations - 1);
    std::stable_sort(messages_.begin(), messages_.end(),
                     [](const Message& left, const Message& right) { return left.arrives < right.arrives; });
    // A sidecar that starts in the middle of the series receives delayed messages of one incarnation between
    // those of its successor.
    const auto missed = random_.uniform(0, messages_.size() / 2);
    messages_.erase(messages_.begin(), messages_.begin() + static_cast<std::ptrdiff_t>(missed));
  }

  const std::vector<Message>& messages() const { return messages_; }
  const mesh::Incarnation& last() const { return incarnation_; }

 private:
  bool withProbability(unsigned percent) { return random_.uniform(0, 99) < percent; }
  Duration randomBetween(Duration minimum, Duration maximum) { return random_.uniform(minimum, maximum); }

  void addIncarnation(bool is_last) {
    const Duration clock_step =
        withProbability(30) ? randomBetween(-seconds(40), seconds(40)) : Duration::zero();
    // Clock steps add up. No two incarnations start in the same millisecond.
    clock_offset_ += clock_step;
    const auto born =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch() + clock_offset_).count();
    incarnation_ = {has_new_ids_ ? "a-" + std::to_string(born_.size()) : "a",
                    static_cast<std::uint64_t>(born)};
    while (!born_.insert(incarnation_.born_ms).second) ++incarnation_.born_ms;
    const TimePoint end =
        now_ + (is_last ? lastLifetime(has_leave_notice_) : randomBetween(seconds(2), seconds(12)));
    const bool drains = !is_last && withProbability(40);
    std::uint64_t sequence = 0;
    for (; now_ < end; now_ += kHeartbeatInterval) addMessage(++sequence, !drains || now_ + seconds(3) < end);
    if (!is_last && withProbability(40)) addMessage(++sequence, false, true);
    now_ += randomBetween(milliseconds(100), seconds(4));
  }

  void addMessage(std::uint64_t sequence, bool is_ready, bool is_deregistration = false) {
    Heartbeat beat;
    beat.incarnation = incarnation_;
    beat.service = "shop";
    beat.sequence = sequence;
    beat.ready = is_ready;
    has_leave_notice_ = has_leave_notice_ || !is_ready;
    const Duration delay =
        withProbability(20) ? randomBetween(Duration::zero(), kMaxDelay) : Duration::zero();
    messages_.push_back({now_ + delay, beat, is_deregistration});
  }

  RandomSource random_;
  bool has_new_ids_;
  TimePoint now_{std::chrono::hours(1)};
  Duration clock_offset_{};
  mesh::Incarnation incarnation_;
  std::set<std::uint64_t> born_;
  bool has_leave_notice_ = false;
  std::vector<Message> messages_;
};

void deliver(TargetState& state, const Message& message) {
  if (message.is_deregistration) {
    state.onDeregistered(message.beat.incarnation, message.arrives);
  } else {
    state.onHeartbeat(message.beat, message.arrives);
  }
}

}  // namespace

TEST_CASE("no message of an earlier incarnation applies to a later one, and the last one becomes current",
          "[incarnation]") {
  constexpr std::uint64_t kSeeds = 1'000;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const IncarnationSeries series(seed);
    TargetState state;
    std::set<mesh::Incarnation> superseded;
    std::set<mesh::Incarnation> seen_leaving;
    for (const auto& message : series.messages()) {
      const auto before = state.incarnation();
      deliver(state, message);
      const auto& current = state.incarnation();
      if (current != before && !before.empty()) superseded.insert(before);
      if (superseded.contains(current))
        FAIL("superseded incarnation became current again: " << current.name());
      const bool is_ready = state.condition() == TargetCondition::Ready;
      if (is_ready && seen_leaving.contains(current))
        FAIL("incarnation became ready after leaving: " << current.name());
      if (state.condition() == TargetCondition::Leaving) seen_leaving.insert(current);
    }
    if (state.incarnation() != series.last())
      FAIL("unexpected current incarnation: " << state.incarnation().name());
    if (state.condition() != TargetCondition::Ready) FAIL("the last incarnation is not ready");
  }
}

// Guards against a target that is excluded for good by messages of the targets before it, or by refusals of
// requests that were sent to them.
TEST_CASE("of targets with new ids the last one becomes current, and none is ready after it left",
          "[incarnation]") {
  constexpr std::uint64_t kSeeds = 1'000;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const IncarnationSeries series(seed, true);
    RandomSource random(seed);
    TargetState state;
    std::set<mesh::Incarnation> seen_leaving;
    mesh::Incarnation running;
    for (const auto& message : series.messages()) {
      // The sidecar restarts and knows only the committed leave notices.
      if (random.uniform(0, 9) == 0) {
        state = TargetState();
        for (const auto& left : seen_leaving) state.onLeaveRecovered(left, message.arrives);
      }
      deliver(state, message);
      const auto& current = state.incarnation();
      const bool is_ready = state.condition() == TargetCondition::Ready;
      if (is_ready && seen_leaving.contains(current))
        FAIL("incarnation became ready after leaving: " << current.name());
      if (state.condition() == TargetCondition::Leaving) seen_leaving.insert(current);
      // A request reaches the running target, which refuses one for another. The refusal may come late.
      if (running < message.beat.incarnation) running = message.beat.incarnation;
      const auto expected = random.uniform(0, 1) == 0 ? current : series.messages().front().beat.incarnation;
      if (expected != running && random.uniform(0, 3) == 0) state.onIdMismatch(expected);
    }
    if (state.incarnation() != series.last())
      FAIL("unexpected current incarnation: " << state.incarnation().name());
    if (state.condition() != TargetCondition::Ready) FAIL("the last incarnation is not ready");
  }
}

}  // namespace cometstand::sidecar::test
