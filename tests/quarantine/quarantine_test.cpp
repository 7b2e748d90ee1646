// Requests that end the targets that run them, by the real stores and sidecars.
#include <catch2/catch.hpp>

#include "crash_mesh.h"

namespace cometstand::quarantine::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPoison = "/read/poison";
/// Operators' bound: after the third end of a target and this time, so many more runs at most.
constexpr Duration kLearningTime = seconds(3);
constexpr std::size_t kMostRunsAfterwards = 3;

}  // namespace

TEST_CASE("a request that ended three targets is not run any more, wherever and under whatever id it comes") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(400));
  mesh.runFor(seconds(40));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  CHECK(mesh.at(kPoison).ended.size() >= 3);
  CHECK(mesh.begunAfterThirdEnd(kPoison, kLearningTime) <= kMostRunsAfterwards);
}

}  // namespace cometstand::quarantine::test
