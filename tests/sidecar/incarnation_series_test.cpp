// Targets that start again and again under one id, with words that come late and clocks that step, by seed.
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
constexpr Duration kBeatInterval = milliseconds(1'500);
constexpr Duration kLongestDelay = seconds(6);
/// The last one lives until all late words have come, the silence of the one before was seen, and two
/// heartbeats came.
constexpr Duration kLastLife = kLongestDelay + TargetState::kSilence + 4 * kBeatInterval;

/// One word of one incarnation, as it arrives.
struct Word {
  TimePoint arrives;
  Heartbeat beat;
  bool is_deregistration = false;
};

class Series {
 public:
  explicit Series(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kIncarnations; ++i) live(i == kIncarnations - 1);
    std::stable_sort(words_.begin(), words_.end(),
                     [](const Word& left, const Word& right) { return left.arrives < right.arrives; });
    // A sidecar that starts in between hears words that were held back beside those of the one that followed.
    const auto missed = random_.uniform(0, words_.size() / 2);
    words_.erase(words_.begin(), words_.begin() + static_cast<std::ptrdiff_t>(missed));
  }

  const std::vector<Word>& words() const { return words_; }
  const mesh::Incarnation& last() const { return incarnation_; }

 private:
  bool chance(unsigned percent) { return random_.uniform(0, 99) < percent; }
  Duration between(Duration least, Duration most) { return random_.uniform(least, most); }

  void live(bool is_last) {
    const Duration clock_step = chance(30) ? between(-seconds(40), seconds(40)) : Duration::zero();
    // The clock stays stepped. Two births never fall on one millisecond.
    clock_offset_ += clock_step;
    const auto born =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch() + clock_offset_).count();
    incarnation_ = {"a", static_cast<std::uint64_t>(born)};
    while (!born_.insert(incarnation_.born_ms).second) ++incarnation_.born_ms;
    const TimePoint end = now_ + (is_last ? kLastLife : between(seconds(2), seconds(12)));
    const bool drains = !is_last && chance(40);
    std::uint64_t sequence = 0;
    for (; now_ < end; now_ += kBeatInterval) say(++sequence, !drains || now_ + seconds(3) < end);
    if (!is_last && chance(40)) say(++sequence, false, true);
    now_ += between(milliseconds(100), seconds(4));
  }

  void say(std::uint64_t sequence, bool is_ready, bool is_deregistration = false) {
    Heartbeat beat;
    beat.incarnation = incarnation_;
    beat.service = "shop";
    beat.sequence = sequence;
    beat.ready = is_ready;
    const Duration delay = chance(20) ? between(Duration::zero(), kLongestDelay) : Duration::zero();
    words_.push_back({now_ + delay, beat, is_deregistration});
  }

  RandomSource random_;
  TimePoint now_{std::chrono::hours(1)};
  Duration clock_offset_{};
  mesh::Incarnation incarnation_;
  std::set<std::uint64_t> born_;
  std::vector<Word> words_;
};

void hear(TargetState& state, const Word& word) {
  if (word.is_deregistration) {
    state.onDeregistered(word.beat.incarnation, word.arrives);
  } else {
    state.onHeartbeat(word.beat, word.arrives);
  }
}

}  // namespace

TEST_CASE("no word of an earlier incarnation speaks for a later one, and the last one is known",
          "[incarnation]") {
  constexpr std::uint64_t kSeeds = 1'000;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const Series series(seed);
    TargetState state;
    std::set<mesh::Incarnation> followed;
    std::set<mesh::Incarnation> left;
    for (const auto& word : series.words()) {
      const auto before = state.incarnation();
      hear(state, word);
      const auto& now_known = state.incarnation();
      if (now_known != before && !before.empty()) followed.insert(before);
      if (followed.contains(now_known)) FAIL("it came back: " << now_known.name());
      const bool is_ready = state.condition() == TargetCondition::Ready;
      if (is_ready && left.contains(now_known)) FAIL("it had left: " << now_known.name());
      if (state.condition() == TargetCondition::Leaving) left.insert(now_known);
    }
    if (state.incarnation() != series.last()) FAIL("known is " << state.incarnation().name());
    if (state.condition() != TargetCondition::Ready) FAIL("the last one is not ready");
  }
}

}  // namespace cometstand::sidecar::test
