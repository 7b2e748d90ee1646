// Requests that end in every way, wherever they are, on a simulated network.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "request_mesh.h"
#include "tests/platform_processes/environment_number.h"

namespace cometstand::requests::test {
namespace {

using sidecar::CallOutcome;

constexpr std::uint64_t kSeedsInCi = 40;
/// Set it for a longer run by hand.
constexpr const char* kSeedsVariable = "COMETSTAND_REQUEST_ENDS_SEEDS";
constexpr Duration kTime = std::chrono::seconds(10);

}  // namespace

// Guards against indexes, timers and callbacks that outlive their request: an exception, a second answer,
// none, or entries that stay.
TEST_CASE("a request leaves nothing behind, by whatever way and wherever it ends", "[request_ends]") {
  setLogLevel(LogLevel::Error);
  std::map<CallOutcome, std::size_t> ended;
  std::size_t left = 0;
  std::size_t streamed = 0;
  const auto seeds = platform::numberFromEnvironment(kSeedsVariable, kSeedsInCi);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    RequestMesh mesh(seed);
    mesh.runFor(kTime);
    for (const auto& line : mesh.leftovers()) FAIL_CHECK(line);
    for (const auto& line : mesh.wrongAnswers()) FAIL_CHECK(line);
    left += mesh.left();
    streamed += mesh.streamed();
    for (const auto outcome : {CallOutcome::Answered, CallOutcome::NotRun, CallOutcome::Failed,
                               CallOutcome::TimedOut, CallOutcome::UnknownKey, CallOutcome::OverQuota})
      ended[outcome] += mesh.ended(outcome);
  }
  // The series reaches each of these ends.
  for (const auto& [outcome, count] : ended) {
    CAPTURE(sidecar::nameOf(outcome));
    CHECK(count > seeds);
  }
  CHECK(left > seeds);
  CHECK(streamed > seeds);
}

}  // namespace cometstand::requests::test
