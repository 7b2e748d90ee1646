#include "settings/units.h"

#include <catch2/catch.hpp>

#include "base/error.h"

using namespace cometstand;
using namespace cometstand::settings;
using namespace std::chrono_literals;

TEST_CASE("durations and sizes are written with a unit") {
  CHECK(parseDuration("50ms") == 50ms);
  CHECK(parseDuration("1m") == 60s);
  CHECK(parseDuration("0s") == 0s);
  CHECK(formatDuration(2s) == "2s");
  CHECK(formatDuration(1500us) == "1500us");
  CHECK(formatDuration(Duration::zero()) == "0us");
  CHECK(parseSize("64KiB") == 65536);
  CHECK(formatSize(65536) == "64KiB");
  for (const auto* text : {"", "5", "ms", "-5ms", "5 ms", "5kb", "1.5s", "99999999999999999999s"}) {
    CHECK_THROWS_AS(parseDuration(text), Error);
    CHECK_THROWS_AS(parseSize(text), Error);
  }
}

TEST_CASE("addresses are IP and port") {
  CHECK(formatAddress(parseAddress("127.0.0.1:7000")) == "127.0.0.1:7000");
  CHECK(formatAddress(parseAddress("[::1]:80")) == "[::1]:80");
  for (const auto* text : {"", ":80", "host:80", "127.0.0.1", "127.0.0.1:", "::1:80", "1.2.3.4:-1"}) {
    CHECK_THROWS_AS(parseAddress(text), Error);
  }
}
