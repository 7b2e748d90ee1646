#include "sidecar/receive_credit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace cometstand;
using sidecar::ReceiveCredit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Simulates senders behind one link of kBytesPerSecond. The first bytes of a grant arrive after the
/// round-trip time.
class DistantSenders {
 public:
  static constexpr double kBytesPerSecond = 1.2e6;
  static constexpr std::size_t kBodyBytes = 90'000;
  static constexpr std::size_t kBodiesAtOnce = 4;

  /// @param round_trip round-trip time between the receiver and the senders.
  /// @param extra_latency value that is passed to ReceiveCredit.
  DistantSenders(Duration round_trip, Duration extra_latency)
      : round_trip_(round_trip), extra_latency_(extra_latency) {}

  /// @return the rate of completed bodies within the time, in bytes per second.
  double run(Duration time) {
    std::size_t whole = 0;
    for (const TimePoint end = now_ + time; now_ < end;) {
      while (bodies_.size() < kBodiesAtOnce) begin();
      const auto next = std::min_element(arrivals_.begin(), arrivals_.end());
      if (next == arrivals_.end() || next->first > now_ + milliseconds(100)) {
        now_ += milliseconds(1);
        credit_.onTimer(now_);
        continue;
      }
      now_ = std::max(now_, next->first);
      const auto [flow, bytes] = next->second;
      arrivals_.erase(next);
      whole += receive(flow, bytes);
    }
    return static_cast<double>(whole) / std::chrono::duration<double>(time).count();
  }

 private:
  struct Body {
    std::size_t unsent = kBodyBytes;
    std::size_t unreceived = kBodyBytes;
  };

  void begin() {
    const std::uint64_t number = next_body_++;
    bodies_[number] = Body();
    const auto grant = [this, number](std::uint32_t bytes) { send(number, bytes); };
    flows_[number] = credit_.open(1, ReceiveCredit::kUnknownSize, grant, now_, extra_latency_);
    credit_.grantMore(now_);
  }

  void send(std::uint64_t number, std::size_t bytes) {
    auto& body = bodies_.at(number);
    const std::size_t length = std::min(bytes, body.unsent);
    if (length == 0) return;
    body.unsent -= length;
    const auto takes = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(length) / kBytesPerSecond));
    link_free_at_ = std::max(link_free_at_, now_ + round_trip_) + takes;
    arrivals_.emplace(link_free_at_, std::pair(number, length));
  }

  std::size_t receive(std::uint64_t number, std::size_t bytes) {
    auto& body = bodies_.at(number);
    REQUIRE(credit_.onReceived(flows_.at(number), bytes, now_));
    body.unreceived -= bytes;
    const bool is_whole = body.unreceived == 0;
    if (is_whole) {
      credit_.close(flows_.at(number));
      bodies_.erase(number);
    }
    credit_.grantMore(now_);
    return is_whole ? kBodyBytes : 0;
  }

  Duration round_trip_;
  Duration extra_latency_;
  TimePoint now_{seconds(100)};
  TimePoint link_free_at_;
  std::uint64_t next_body_ = 1;
  std::map<std::uint64_t, Body> bodies_;
  std::map<std::uint64_t, ReceiveCredit::Flow> flows_;
  std::multimap<TimePoint, std::pair<std::uint64_t, std::size_t>> arrivals_;
  ReceiveCredit credit_;
};

}  // namespace

TEST_CASE("bodies from senders with a short round trip fill the link") {
  DistantSenders senders(milliseconds(1), Duration::zero());
  CHECK(senders.run(seconds(20)) > 0.8 * DistantSenders::kBytesPerSecond);
}

// This scenario gives 225 KB/s of 1,200 KB/s without the extra latency, and 666 KB/s with it. The size of a
// response is not known before its end, so that each still loses one round trip.
TEST_CASE("a long round trip does not reduce the window so far that the link is mostly idle") {
  DistantSenders without(milliseconds(60), Duration::zero());
  DistantSenders with(milliseconds(60), milliseconds(60));
  const double before = without.run(seconds(20));
  const double after = with.run(seconds(20));
  INFO("without extra latency " << before << " bytes/s, with it " << after);
  CHECK(before < 0.3 * DistantSenders::kBytesPerSecond);
  CHECK(after > 0.45 * DistantSenders::kBytesPerSecond);
}

TEST_CASE("an expedited body is granted irrespective of the window and its reader, up to a bound",
          "[receive_credit]") {
  constexpr std::size_t kMaxExpeditedBytes = 1024 * 1024;
  ReceiveCredit credit;
  const TimePoint now{seconds(100)};
  std::map<std::uint64_t, std::size_t> granted;
  const auto open = [&](std::uint64_t number) {
    return credit.open(
        1, ReceiveCredit::kUnknownSize, [&granted, number](std::uint32_t bytes) { granted[number] += bytes; },
        now);
  };
  const auto ordinary = open(1);
  credit.grantMore(now);
  const std::size_t window = granted[1];
  REQUIRE(window > 0);
  const auto expedited = open(2);
  credit.setReader(expedited, 0, 1);
  credit.grantMore(now);
  CHECK(granted[2] == 0);
  credit.expedite(expedited);
  credit.grantMore(now);
  CHECK(granted[2] == kMaxExpeditedBytes);
  // Other bodies keep their window.
  CHECK(credit.onReceived(ordinary, window, now + milliseconds(10)));
  credit.grantMore(now + milliseconds(10));
  CHECK(granted[1] > window);
  CHECK(credit.onReceived(expedited, 100'000, now + milliseconds(20)));
  credit.grantMore(now + milliseconds(20));
  CHECK(granted[2] >= kMaxExpeditedBytes + 100'000);
  CHECK(granted[2] < kMaxExpeditedBytes + 200'000);
}
