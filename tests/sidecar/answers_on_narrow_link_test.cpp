// What small answers wait beside large ones on one narrow link, with answers in one message and in parts.
#include <deque>

#include "net/frame_codec.h"
#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

constexpr runtime::LinkId kIncoming{runtime::kFirstIncomingLink};
constexpr std::size_t kLargeAnswer = 90'000;
constexpr std::size_t kSmallAnswer = 400;
/// 9.7 Mbit/s.
constexpr double kBytesPerSecond = 9.7e6 / 8;
/// One way between two zones of a region.
constexpr Duration kDelay = std::chrono::microseconds(250);
constexpr Duration kTick = std::chrono::microseconds(250);

/// The sidecar beside the callers and the one beside the target. Answers pass a link of kBytesPerSecond in
/// the order in which they are sent; the way there is free. The target answers at once.
class TwoSidecars {
 public:
  explicit TwoSidecars(unsigned answer_credit)
      : asker_(makeAskerOptions(answer_credit)), gate_(makeGateOptions()) {
    asker_.configure();
    asker_.addPeer(SidecarFixture::kPeer);
    gate_.configure();
    auto beat = SidecarFixture::makeBeat("a", 1);
    beat.slots = 100;
    gate_.core.onHeartbeat(beat, gate_.now);
    gate_.step();
  }

  static SidecarOptions makeAskerOptions(unsigned answer_credit) {
    auto options = SidecarFixture::makeOptions();
    options.answer_credit = answer_credit;
    return options;
  }

  static SidecarOptions makeGateOptions() {
    auto options = SidecarFixture::makeOptions();
    options.advertise = SidecarFixture::kPeer;
    return options;
  }

  /// Large requests are the less urgent ones.
  void ask(bool is_large) { begun[asker_.call(is_large ? "/read/1" : "/write/1")] = asker_.now; }

  void tick() {
    asker_.now += kTick;
    gate_.now = asker_.now;
    asker_.core.onTimer(asker_.now);
    gate_.core.onTimer(gate_.now);
    deliverAnswers();
    deliverRequests();
    runTarget();
    queueAnswers();
    for (auto& [id, answer] : std::exchange(asker_.callers.answers, {})) noteAnswer(id, answer);
  }

  struct Times {
    std::vector<Duration> small;
    std::vector<Duration> large;
  };

  Times times;
  std::map<CallId, TimePoint> begun;

 private:
  struct Frame {
    TimePoint arrives;
    runtime::MessagePointer message;
  };

  void deliverRequests() {
    asker_.step();
    const auto link = asker_.links.at(SidecarFixture::kPeer);
    for (const auto& item : std::exchange(asker_.sent, {})) {
      if (item.link == link) to_gate_.push_back({asker_.now + kDelay, item.message});
    }
    while (!to_gate_.empty() && to_gate_.front().arrives <= gate_.now) {
      gate_.core.onMessage(kIncoming, *to_gate_.front().message, gate_.now);
      to_gate_.pop_front();
    }
    gate_.step();
  }

  void runTarget() {
    for (const auto& order : std::exchange(gate_.target.orders, {})) {
      RunResult result;
      result.reply.outcome = wire::ForwardOutcome::Answered;
      result.reply.status = 200;
      result.reply.body.resize(order.request->target == "/read/1" ? kLargeAnswer : kSmallAnswer);
      gate_.core.onRunResult(order.id, std::move(result), gate_.now);
    }
    gate_.step();
  }

  void queueAnswers() {
    for (const auto& item : std::exchange(gate_.sent, {})) {
      if (item.link != kIncoming) continue;
      const auto bytes = static_cast<double>(net::encodeFrame(*item.message).size());
      const auto time =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / kBytesPerSecond));
      link_free_at_ = std::max(link_free_at_, gate_.now) + time;
      to_asker_.push_back({link_free_at_ + kDelay, item.message});
    }
  }

  void deliverAnswers() {
    while (!to_asker_.empty() && to_asker_.front().arrives <= asker_.now) {
      const auto message = to_asker_.front().message;
      to_asker_.pop_front();
      asker_.core.onMessage(asker_.links.at(SidecarFixture::kPeer), *message, asker_.now);
      asker_.step();
    }
  }

  void noteAnswer(CallId id, const CallAnswer& answer) {
    REQUIRE(answer.outcome == CallOutcome::Answered);
    const bool is_large = answer.reply.body.size() == kLargeAnswer;
    if (!is_large) REQUIRE(answer.reply.body.size() == kSmallAnswer);
    (is_large ? times.large : times.small).push_back(asker_.now - begun.at(id));
  }

  SidecarFixture asker_;
  SidecarFixture gate_;
  std::deque<Frame> to_gate_;
  std::deque<Frame> to_asker_;
  TimePoint link_free_at_;
};

struct Summary {
  Duration small_mean{};
  Duration small_longest{};
  Duration large_mean{};
  std::size_t large_count = 0;
};

Duration meanOf(const std::vector<Duration>& times) {
  Duration sum{};
  for (const auto time : times) sum += time;
  return sum / static_cast<Duration::rep>(times.size());
}

/// 4 s of small requests each 10 ms, and four large ones at once each 400 ms: 0.77 of the link.
Summary play(unsigned answer_credit) {
  TwoSidecars sidecars(answer_credit);
  constexpr int kTicks = 16'000;
  constexpr int kSmallEach = 40;
  constexpr int kLargeEach = 1'600;
  for (int tick = 0; tick < kTicks; ++tick) {
    if (tick % kSmallEach == 0) sidecars.ask(false);
    if (tick % kLargeEach == 0) {
      for (int i = 0; i < 4; ++i) sidecars.ask(true);
    }
    sidecars.tick();
  }
  for (int tick = 0; tick < kLargeEach; ++tick) sidecars.tick();
  const auto& times = sidecars.times;
  REQUIRE(times.small.size() + times.large.size() == sidecars.begun.size());
  return {meanOf(times.small), *std::max_element(times.small.begin(), times.small.end()), meanOf(times.large),
          times.large.size()};
}

std::string describe(const Summary& summary) {
  return "small: mean " + std::to_string(summary.small_mean.count()) + " us, longest " +
         std::to_string(summary.small_longest.count()) + " us; large: mean " +
         std::to_string(summary.large_mean.count()) + " us";
}

}  // namespace

TEST_CASE("small answers pass between the parts of large ones on a narrow link", "[sidecar][narrow_link]") {
  const auto whole = play(0);
  const auto parts = play(8'192);
  INFO("in one message: " << describe(whole));
  INFO("in parts: " << describe(parts));
  // Measured here: in one message 112.7 ms on average and 289 ms at most, in parts 17.1 ms and 46 ms; large
  // ones 187 ms and 206 ms on average.
  CHECK(whole.small_longest > milliseconds(250));
  CHECK(parts.small_longest < milliseconds(60));
  CHECK(parts.small_mean < milliseconds(25));
  CHECK(parts.large_mean < whole.large_mean * 6 / 5);
  CHECK(parts.large_count == whole.large_count);
}

}  // namespace cometstand::sidecar::test
