#include "sidecar/stated_limit.h"

#include <catch2/catch.hpp>

namespace cometstand::sidecar::test {

using std::chrono::milliseconds;

namespace {

const mesh::Incarnation kFirst{"a", 1};

struct StatedLimitFixture {
  StatedLimitFixture() { limit.follow(kFirst); }

  /// @param run how long before `now` the request of the response was started.
  bool respond(std::optional<double> rate, Duration run = milliseconds(10)) {
    now += milliseconds(100);
    return limit.onResponse({rate}, now - run, now);
  }

  TimePoint now{std::chrono::seconds(100)};
  StatedLimit limit;
};

}  // namespace

TEST_CASE_METHOD(StatedLimitFixture, "a limit holds until a later response states another or none") {
  CHECK(respond(5.0));
  CHECK_FALSE(respond(5.0));
  CHECK(respond(7.0));
  CHECK(limit.rate() == 7.0);
  CHECK(respond(std::nullopt));
  CHECK_FALSE(limit.rate());
}

TEST_CASE_METHOD(StatedLimitFixture,
                 "a response that was produced before a limit was named does not lift it by arriving later") {
  respond(5.0);
  CHECK_FALSE(respond(std::nullopt, milliseconds(150)));
  CHECK_FALSE(respond(9.0, milliseconds(250)));
  CHECK(limit.rate() == 5.0);
}

TEST_CASE_METHOD(StatedLimitFixture, "a lower limit applies however old its request is") {
  respond(5.0);
  CHECK(respond(2.0, milliseconds(900)));
  CHECK(limit.rate() == 2.0);
}

TEST_CASE_METHOD(StatedLimitFixture, "a malformed limit leaves the limit in force as it is") {
  respond(5.0);
  now += milliseconds(100);
  CHECK_FALSE(limit.onResponse({std::nullopt, true}, now - milliseconds(10), now));
  CHECK(limit.rate() == 5.0);
}

TEST_CASE_METHOD(StatedLimitFixture, "another incarnation under the same id starts without a limit") {
  respond(5.0);
  limit.follow({"a", 0});
  CHECK(limit.rate() == 5.0);
  limit.follow({"a", 2});
  CHECK_FALSE(limit.rate());
  CHECK_FALSE(limit.hasResponse());
}

TEST_CASE_METHOD(StatedLimitFixture, "a start time that becomes known later tells incarnations apart") {
  limit.follow({"b", 0});
  respond(5.0);
  limit.follow({"b", 7});
  CHECK(limit.rate() == 5.0);
  limit.follow({"b", 8});
  CHECK_FALSE(limit.rate());
}

TEST_CASE_METHOD(StatedLimitFixture, "what other sidecars report counts only before the first response") {
  CHECK(limit.onReported(5.0, now));
  CHECK_FALSE(limit.onReported(6.0, now));
  CHECK(limit.onReported(4.0, now));
  CHECK(respond(std::nullopt));
  CHECK_FALSE(limit.onReported(5.0, now));
  CHECK_FALSE(limit.rate());
}

}  // namespace cometstand::sidecar::test
