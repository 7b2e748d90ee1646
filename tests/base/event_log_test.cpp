#include "base/event_log.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/log_budget.h"
#include "base/random.h"

namespace cometstand {
namespace {

TEST_CASE("a field value never breaks its log line", "[event_log]") {
  CHECK(formatField({"zone", "krk-a"}) == "zone=krk-a");
  CHECK(formatField({"text", "two words"}) == R"(text="two words")");
  CHECK(formatField({"text", "a\nb\"c"}) == R"(text="a\x0ab\"c")");
  CHECK(formatField({"empty", ""}) == R"(empty="")");
}

TEST_CASE("an event is one JSON object whose values never break it", "[event_log]") {
  constexpr EventDefinition kEvent{9001, LogLevel::Warning, "thing_happened", "Nothing."};
  CHECK(
      formatJson(kEvent, {{"count", 3}, {"text", "a\n\"b"}, {"yes", true}}, "T", 0) ==
      R"({"time":"T","level":"warning","event":9001,"name":"thing_happened","count":3,"text":"a\n\"b","yes":"true"})");
  CHECK(formatJson(kEvent, {}, "T", 7) ==
        R"({"time":"T","level":"warning","event":9001,"name":"thing_happened","dropped":7})");
}

TEST_CASE("lines of one kind are bounded, and what is dropped is counted", "[event_log]") {
  LogBudget budget;
  TimePoint now{std::chrono::seconds(100)};
  int written = 0;
  for (int i = 0; i < 1'000; ++i) written += budget.take(now) ? 1 : 0;
  CHECK(written == LogBudget::kBurst);
  CHECK(budget.takeDropped() == 1'000 - LogBudget::kBurst);
  CHECK(budget.takeDropped() == 0);
  now += std::chrono::seconds(1);
  for (int i = 0; i < 1'000; ++i) written += budget.take(now) ? 1 : 0;
  CHECK(written == LogBudget::kBurst + LogBudget::kLinesPerSecond);
}

TEST_CASE("an error says what happened and what to do", "[error]") {
  const Error error(ErrorKind::Conflict, "version 12 is not current", "read version 13 and decide anew");
  CHECK(std::string(error.what()) == "conflict: version 12 is not current (read version 13 and decide anew)");
}

TEST_CASE("equal seeds give equal random values", "[random]") {
  RandomSource first(42);
  RandomSource second(42);
  constexpr int kDraws = 100;
  for (int i = 0; i < kDraws; ++i) {
    CHECK(first.uniform(0, 1'000'000) == second.uniform(0, 1'000'000));
  }
}

}  // namespace
}  // namespace cometstand
