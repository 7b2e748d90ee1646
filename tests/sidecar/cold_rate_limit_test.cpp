#include "sidecar/cold_rate_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace cometstand;
using sidecar::ColdRateLimit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kRate = 14;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 8;
/// The operators' bound on any second.
constexpr std::size_t kMostInSecond = 29;

struct LimitFixture {
  LimitFixture() { limit.setRate(kRate); }

  /// Sends whenever there is room, for so long. @return the sendings.
  std::vector<TimePoint> sendAll(Duration time) {
    std::vector<TimePoint> sent;
    for (const TimePoint end = now + time; now < end; now += milliseconds(1)) {
      if (limit.room(now) == 0) continue;
      limit.noteSent(now);
      sent.push_back(now);
    }
    return sent;
  }

  ColdRateLimit limit{kOvershoot, kSlack};
  TimePoint now{seconds(100)};
};

std::size_t mostInAnySecond(const std::vector<TimePoint>& times) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + seconds(1));
    most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
  }
  return most;
}

}  // namespace

TEST_CASE_METHOD(LimitFixture, "a cold target gets the rate that it bears") {
  const auto sent = sendAll(seconds(10));
  CHECK(sent.size() >= 139);
  CHECK(sent.size() <= 143);
  CHECK(mostInAnySecond(sent) <= 17);
}

TEST_CASE_METHOD(LimitFixture,
                 "a target that turns cold after many requests gets nothing until the window is free") {
  std::vector<TimePoint> sent;
  for (int i = 0; i < 60; ++i) {
    limit.noteSent(now);
    sent.push_back(now);
    now += milliseconds(10);
  }
  CHECK(limit.room(now) == 0);
  const TimePoint first = limit.nextRoom(now);
  const auto later = sendAll(seconds(3));
  REQUIRE_FALSE(later.empty());
  CHECK(later.front() == first);
  // What it got while it was warm is past the bound; from then on no second holds more.
  std::vector<TimePoint> all(sent.begin() + (60 - static_cast<int>(kMostInSecond)), sent.end());
  all.insert(all.end(), later.begin(), later.end());
  CHECK(mostInAnySecond(all) <= kMostInSecond);
}

TEST_CASE_METHOD(LimitFixture, "the time until there is room holds, and grows with those that wait before") {
  sendAll(milliseconds(500));
  while (limit.room(now) > 0) limit.noteSent(now);
  const TimePoint next = limit.nextRoom(now);
  CHECK(next > now);
  CHECK(limit.room(next - milliseconds(1)) == 0);
  CHECK(limit.room(next) > 0);
  // Seven more at 14 a second.
  const Duration longer = limit.nextRoom(now, 7) - next;
  CHECK(longer >= milliseconds(499));
  CHECK(longer <= milliseconds(501));
}

TEST_CASE_METHOD(LimitFixture, "another instance begins anew, without saved requests") {
  for (int i = 0; i < 60; ++i) limit.noteSent(now);
  limit.reset(now);
  CHECK(limit.room(now) == 0);
  CHECK(limit.room(now + milliseconds(72)) == 1);
}

TEST_CASE("a rate of less than one request a second lets one through at last") {
  ColdRateLimit limit(1, 0);
  limit.setRate(0.5);
  const TimePoint start{seconds(100)};
  limit.reset(start);
  CHECK(limit.room(start + seconds(1)) == 0);
  CHECK(limit.room(start + seconds(2)) == 1);
  CHECK(limit.nextRoom(start) == start + seconds(2));
}
