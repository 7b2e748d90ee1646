#include "base/event_log.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/random.h"

namespace cometstand {
namespace {

TEST_CASE("a field value never breaks its log line", "[event_log]") {
  CHECK(formatField({"zone", "krk-a"}) == "zone=krk-a");
  CHECK(formatField({"text", "two words"}) == R"(text="two words")");
  CHECK(formatField({"text", "a\nb\"c"}) == R"(text="a\x0ab\"c")");
  CHECK(formatField({"empty", ""}) == R"(empty="")");
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
