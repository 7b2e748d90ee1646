// A trace passes only if every outcome is as stated.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/event_log.h"
#include "rehearsal/replay/replayer.h"

namespace {

using namespace cometstand;
using namespace cometstand::replay;

constexpr const char* kFleet = R"({"at_ms":0,"event":"fleet","deployment":"krakow","seed":3}
{"at_ms":0,"event":"change_pause","pause_ms":3600000}
{"at_ms":3000,"event":"mark"}
{"at_ms":3000,"event":"command","operator":"operator-admin","id":"good","text":"change { put secret wspolnota/a value \"b\"; }"}
{"at_ms":3000,"event":"call","id":"run","host":"editor-desk.example","target":"/commits/1","key":"k","proxy":"proxy-krk-a-1"}
)";

std::vector<unsigned> differingLines(const std::string& expectations) {
  setLogLevel(LogLevel::Error);
  std::vector<unsigned> lines;
  for (const auto& each : Replayer(parseTrace(kFleet + expectations)).run()) lines.push_back(each.line);
  return lines;
}

}  // namespace

TEST_CASE("stated outcomes that come about are no differences") {
  CHECK(differingLines(R"({"at_ms":6000,"expect":"command","id":"good","outcome":"completed"}
{"at_ms":6000,"expect":"call","id":"run","outcome":"completed"}
{"at_ms":6000,"expect":"runs","key":"k","count":1}
{"at_ms":6000,"expect":"accepted","at_least":1,"at_most":1}
{"at_ms":6000,"expect":"leader"}
{"at_ms":6000,"expect":"converged"})")
            .empty());
}

TEST_CASE("each stated outcome that does not come about is named with its line") {
  CHECK(differingLines(R"({"at_ms":6000,"expect":"command","id":"good","outcome":"not_run"}
{"at_ms":6000,"expect":"command","id":"missing","outcome":"completed"}
{"at_ms":6000,"expect":"command","id":"good","outcome":"completed","sent_at_least":2}
{"at_ms":6000,"expect":"call","id":"run","outcome":"not_run"}
{"at_ms":6000,"expect":"runs","key":"k","count":2}
{"at_ms":6000,"expect":"accepted","at_least":2}
{"at_ms":6000,"expect":"one_accepted","ids":["good","missing"]}
{"at_ms":6000,"expect":"leader","changes":1})") == std::vector<unsigned>{6, 7, 8, 9, 10, 11, 12, 13});
}

TEST_CASE("a malformed trace is refused with its line") {
  CHECK_THROWS_WITH(parseTrace(R"({"at_ms":0,"event":"kill"})"), Catch::Contains("fleet"));
  CHECK_THROWS_WITH(parseTrace(std::string(kFleet) + "nonsense"), Catch::Contains("line 6"));
  CHECK_THROWS_WITH(parseTrace(std::string(kFleet) + R"({"event":"kill"})"), Catch::Contains("at_ms"));
  CHECK_THROWS_AS(differingLines(R"({"at_ms":1,"event":"earthquake"})"), Error);
}
