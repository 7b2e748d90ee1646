// What targets say of themselves, damaged at random: it is read, or refused with a remedy, and nothing else
// happens.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "platform/heartbeat_format.h"
#include "tests/fuzz/mutator.h"

namespace cometstand::fuzz {
namespace {

const std::vector<std::string> kCorpus{
    R"({"born":1791000000123,"address":"10.0.0.1:80","info":{"service":"shop","version":"v1","zone":"z","slots":6},)"
    R"("status":{"state":"ready","sequence":4,"cold_remaining_s":0.5}})",
    R"({"info":{"service":"shop"},"status":{"state":"draining","sequence":0}})",
    R"({"born":0,"info":{"service":"s","slots":1e3,"x":[{"y":null}]},"status":{"state":"ready","sequence":9}})",
    R"({"born":5})",
};

}  // namespace

TEST_CASE("damaged heartbeats and deregistrations are read or refused with a remedy", "[fuzz]") {
  Mutator mutator(31, {"{",        "}",        "[",          "]",         "\"",           ":",       ",",
                       "null",     "true",     "-1",         "1e999",     "NaN",          "1e19",    "0.5",
                       "\"born\"", "\"info\"", "\"status\"", "\"state\"", "\"sequence\"", "\\u0000", "\xff"});
  int read = 0;
  int refused = 0;
  for (int i = 0; i < kCases; ++i) {
    const auto text = mutator.mutate(mutator.pick(kCorpus));
    INFO(text);
    try {
      const auto beat = platform::readHeartbeat("i-1", text);
      CHECK(beat.slots >= 1);
      CHECK_FALSE(beat.service.empty());
      ++read;
    } catch (const Error& error) {
      CHECK_FALSE(error.remedy().empty());
      ++refused;
    }
    try {
      const auto incarnation = platform::readDeregistration("i-1", text);
      CHECK(incarnation.id == "i-1");
    } catch (const Error& error) {
      CHECK_FALSE(error.remedy().empty());
    }
  }
  CHECK(read > 0);
  CHECK(refused > kCases / 4);
}

}  // namespace cometstand::fuzz
