// Leave notices that targets state in their responses, with real stores and sidecars on a simulated network.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "statement_mesh.h"

namespace cometstand::limits::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCalls = 240;

std::size_t countSince(const std::vector<TimePoint>& times, TimePoint begin) {
  return static_cast<std::size_t>(times.end() - std::lower_bound(times.begin(), times.end(), begin));
}

}  // namespace

TEST_CASE("a target that states that it leaves gets no requests while its heartbeats still say ready",
          "[limits]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  INFO("seed " << seed);
  StatementMesh mesh(seed, kCalls);
  mesh.runFor(seconds(2));
  mesh.leave(2);
  mesh.runFor(seconds(2));
  const TimePoint left = mesh.network.now();
  mesh.runFor(seconds(6));
  CHECK(mesh.checker().violations() == std::vector<std::string>());
  CHECK(countSince(mesh.arrivals(2), left) == 0);
}

}  // namespace cometstand::limits::test
