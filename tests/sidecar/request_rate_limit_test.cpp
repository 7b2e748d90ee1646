#include "sidecar/request_rate_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace cometstand;
using sidecar::RequestRateLimit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kRate = 14;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 8;
/// The operators' limit for any second, from the three constants above.
constexpr std::size_t kMaxInSecond = 29;

struct LimitFixture {
  LimitFixture() { limit.setRate(kRate); }

  /// Sends for the given time whenever the limit allows.
  /// @return the send times.
  std::vector<TimePoint> sendAll(Duration time) {
    std::vector<TimePoint> sent;
    for (const TimePoint end = now + time; now < end; now += milliseconds(1)) {
      if (limit.available(now) == 0) continue;
      limit.recordSent(now);
      sent.push_back(now);
    }
    return sent;
  }

  RequestRateLimit limit{{.window = seconds(1),
                          .overshoot = kOvershoot,
                          .slack = kSlack,
                          .margin = milliseconds(250),
                          .max_tokens = 3}};
  TimePoint now{seconds(100)};
};

std::size_t maxInAnySecond(const std::vector<TimePoint>& times) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + seconds(1));
    most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
  }
  return most;
}

}  // namespace

TEST_CASE_METHOD(LimitFixture, "a cold target gets the configured rate") {
  const auto sent = sendAll(seconds(10));
  CHECK(sent.size() >= 139);
  CHECK(sent.size() <= 143);
  CHECK(maxInAnySecond(sent) <= 17);
}

TEST_CASE_METHOD(LimitFixture,
                 "a target that turns cold after many requests gets none until the window allows it") {
  std::vector<TimePoint> sent;
  for (int i = 0; i < 60; ++i) {
    limit.recordSent(now);
    sent.push_back(now);
    now += milliseconds(10);
  }
  CHECK(limit.available(now) == 0);
  const TimePoint first = limit.nextAvailable(now);
  const auto later = sendAll(seconds(3));
  REQUIRE_FALSE(later.empty());
  CHECK(later.front() == first);
  // Requests sent while the target was warm exceed the limit; from then on no second contains more than the
  // limit.
  std::vector<TimePoint> all(sent.begin() + (60 - static_cast<int>(kMaxInSecond)), sent.end());
  all.insert(all.end(), later.begin(), later.end());
  CHECK(maxInAnySecond(all) <= kMaxInSecond);
}

TEST_CASE_METHOD(LimitFixture,
                 "the predicted time of the next request is exact and grows with the queue ahead") {
  sendAll(milliseconds(500));
  while (limit.available(now) > 0) limit.recordSent(now);
  const TimePoint next = limit.nextAvailable(now);
  CHECK(next > now);
  CHECK(limit.available(next - milliseconds(1)) == 0);
  CHECK(limit.available(next) > 0);
  // Seven more requests at 14 per second take 500 ms.
  const Duration longer = limit.nextAvailable(now, 7) - next;
  CHECK(longer >= milliseconds(499));
  CHECK(longer <= milliseconds(501));
}

TEST_CASE_METHOD(LimitFixture, "a new instance starts with an empty window and no saved tokens") {
  for (int i = 0; i < 60; ++i) limit.recordSent(now);
  limit.reset(now);
  CHECK(limit.available(now) == 0);
  CHECK(limit.available(now + milliseconds(72)) == 1);
}

TEST_CASE("a rate below one request per second still allows a request in time") {
  RequestRateLimit limit(
      {.window = seconds(1), .overshoot = 1, .slack = 0, .margin = milliseconds(250), .max_tokens = 3});
  limit.setRate(0.5);
  const TimePoint start{seconds(100)};
  limit.reset(start);
  CHECK(limit.available(start + seconds(1)) == 0);
  CHECK(limit.available(start + seconds(2)) == 1);
  CHECK(limit.nextAvailable(start) == start + seconds(2));
}
