// Latency of small responses that share a narrow link with large ones, which are sent in one message or in
// parts.
#include <deque>

#include "net/frame_codec.h"
#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

constexpr runtime::LinkId kIncoming{runtime::kFirstIncomingLink};
constexpr std::size_t kLargeResponseBytes = 90'000;
constexpr std::size_t kSmallResponseBytes = 400;
/// 9.7 Mbit/s.
constexpr double kBytesPerSecond = 9.7e6 / 8;
/// One-way latency between two zones of a region.
constexpr Duration kDelay = std::chrono::microseconds(250);
constexpr Duration kTick = std::chrono::microseconds(250);

/// A client sidecar and the sidecar of a target. Responses pass a link of kBytesPerSecond in the order in
/// which they are sent; requests are not limited. The target responds at once.
class TwoSidecars {
 public:
  explicit TwoSidecars(unsigned answer_credit)
      : client_(makeClientOptions(answer_credit)), server_(makeServerOptions()) {
    client_.configure();
    client_.addPeer(SidecarFixture::kPeer);
    server_.configure();
    auto beat = SidecarFixture::makeHeartbeat("a", 1);
    beat.slots = 100;
    server_.core.onHeartbeat(beat, server_.now);
    server_.step();
  }

  static SidecarOptions makeClientOptions(unsigned answer_credit) {
    auto options = SidecarFixture::makeOptions();
    options.answer_credit = answer_credit;
    return options;
  }

  static SidecarOptions makeServerOptions() {
    auto options = SidecarFixture::makeOptions();
    options.advertise = SidecarFixture::kPeer;
    return options;
  }

  /// Requests with a large response have the lower priority.
  void sendRequest(bool is_large) {
    started_at[client_.call(is_large ? "/read/1" : "/write/1")] = client_.now;
  }

  void tick() {
    client_.now += kTick;
    server_.now = client_.now;
    client_.core.onTimer(client_.now);
    server_.core.onTimer(server_.now);
    deliverResponses();
    deliverRequests();
    runTarget();
    queueResponses();
    for (auto& [id, answer] : std::exchange(client_.callers.answers, {})) recordResponse(id, answer);
  }

  struct Times {
    std::vector<Duration> small;
    std::vector<Duration> large;
  };

  Times times;
  std::map<CallId, TimePoint> started_at;

 private:
  struct Frame {
    TimePoint arrives_at;
    runtime::MessagePointer message;
  };

  void deliverRequests() {
    client_.step();
    const auto link = client_.links.at(SidecarFixture::kPeer);
    for (const auto& item : std::exchange(client_.sent, {})) {
      if (item.link == link) to_server_.push_back({client_.now + kDelay, item.message});
    }
    while (!to_server_.empty() && to_server_.front().arrives_at <= server_.now) {
      server_.core.onMessage(kIncoming, *to_server_.front().message, server_.now);
      to_server_.pop_front();
    }
    server_.step();
  }

  void runTarget() {
    for (const auto& order : std::exchange(server_.target.orders, {})) {
      RunResult result;
      result.reply.outcome = wire::ForwardOutcome::Answered;
      result.reply.status = 200;
      result.reply.body.resize(order.request->target == "/read/1" ? kLargeResponseBytes
                                                                  : kSmallResponseBytes);
      server_.core.onRunResult(order.id, std::move(result), server_.now);
    }
    server_.step();
  }

  void queueResponses() {
    for (const auto& item : std::exchange(server_.sent, {})) {
      if (item.link != kIncoming) continue;
      const auto bytes = static_cast<double>(net::encodeFrame(*item.message).size());
      const auto time =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / kBytesPerSecond));
      link_free_at_ = std::max(link_free_at_, server_.now) + time;
      to_client_.push_back({link_free_at_ + kDelay, item.message});
    }
  }

  void deliverResponses() {
    while (!to_client_.empty() && to_client_.front().arrives_at <= client_.now) {
      const auto message = to_client_.front().message;
      to_client_.pop_front();
      client_.core.onMessage(client_.links.at(SidecarFixture::kPeer), *message, client_.now);
      client_.step();
    }
  }

  void recordResponse(CallId id, const CallAnswer& answer) {
    REQUIRE(answer.outcome == CallOutcome::Answered);
    const bool is_large = answer.reply.body.size() == kLargeResponseBytes;
    if (!is_large) REQUIRE(answer.reply.body.size() == kSmallResponseBytes);
    (is_large ? times.large : times.small).push_back(client_.now - started_at.at(id));
  }

  SidecarFixture client_;
  SidecarFixture server_;
  std::deque<Frame> to_server_;
  std::deque<Frame> to_client_;
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

/// Simulates 4 s with one request for a small response every 10 ms and four for large ones every 400 ms,
/// which together use 0.77 of the link.
Summary simulate(unsigned answer_credit) {
  TwoSidecars sidecars(answer_credit);
  constexpr int kTicks = 16'000;
  constexpr int kTicksPerSmallRequest = 40;
  constexpr int kTicksPerLargeRequests = 1'600;
  for (int tick = 0; tick < kTicks; ++tick) {
    if (tick % kTicksPerSmallRequest == 0) sidecars.sendRequest(false);
    if (tick % kTicksPerLargeRequests == 0) {
      for (int i = 0; i < 4; ++i) sidecars.sendRequest(true);
    }
    sidecars.tick();
  }
  for (int tick = 0; tick < kTicksPerLargeRequests; ++tick) sidecars.tick();
  const auto& times = sidecars.times;
  REQUIRE(times.small.size() + times.large.size() == sidecars.started_at.size());
  return {meanOf(times.small), *std::max_element(times.small.begin(), times.small.end()), meanOf(times.large),
          times.large.size()};
}

std::string describe(const Summary& summary) {
  return "small: mean " + std::to_string(summary.small_mean.count()) + " us, longest " +
         std::to_string(summary.small_longest.count()) + " us; large: mean " +
         std::to_string(summary.large_mean.count()) + " us";
}

}  // namespace

TEST_CASE("small responses are sent between the parts of large ones on a narrow link",
          "[sidecar][narrow_link]") {
  const auto whole = simulate(0);
  const auto parts = simulate(8'192);
  INFO("in one message: " << describe(whole));
  INFO("in parts: " << describe(parts));
  // This scenario gives, for small responses, a mean of 112.7 ms and a maximum of 289 ms with large ones in
  // one message, and 17.1 ms and 46 ms in parts; the mean of the large ones is 187 ms and 206 ms.
  CHECK(whole.small_longest > milliseconds(250));
  CHECK(parts.small_longest < milliseconds(60));
  CHECK(parts.small_mean < milliseconds(25));
  CHECK(parts.large_mean < whole.large_mean * 6 / 5);
  CHECK(parts.large_count == whole.large_count);
}

}  // namespace cometstand::sidecar::test
