#include "store/rollout_analysis.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "base/random.h"

namespace cometstand::store {
namespace {

constexpr std::size_t kBuckets = 33;

/// How a version answers: share of failures, and of slow answers that take `slowness` times as long.
struct Behaviour {
  double failing = 0;
  double slowness = 1;
};

double draw(RandomSource& random) { return static_cast<double>(random.uniform(0, 999'999)) / 1e6; }

/// @return samples of so many runs of one route: times spread over a factor of four, as targets of one
/// version differ in speed.
wire::RouteSampleT makeSample(const std::string& route, std::size_t runs, const Behaviour& behaviour,
                              RandomSource& random) {
  wire::RouteSampleT sample;
  sample.route = route;
  sample.run_times.resize(kBuckets);
  for (std::size_t i = 0; i < runs; ++i) {
    ++sample.ended;
    if (draw(random) < behaviour.failing) {
      ++sample.failed;
      continue;
    }
    const double milliseconds = 100 * std::exp2(2 * draw(random)) * behaviour.slowness;
    ++sample.run_times.at(static_cast<std::size_t>(std::ceil(2 * std::log2(milliseconds))));
  }
  return sample;
}

RolloutVerdict verdictFor(const Behaviour& canary, const Behaviour& stable, std::size_t runs,
                          std::uint64_t seed) {
  RandomSource random(seed);
  VersionSamples before;
  before.add(makeSample("read", 4'000, stable, random));
  before.add(makeSample("write", 3'000, stable, random));
  VersionSamples now;
  now.add(makeSample("read", runs, stable, random));
  now.add(makeSample("write", runs, canary, random));
  return judge(now, before).verdict;
}

std::size_t count(RolloutVerdict verdict, const Behaviour& canary, const Behaviour& stable,
                  std::size_t runs) {
  std::size_t found = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed)
    found += verdictFor(canary, stable, runs, seed) == verdict ? 1 : 0;
  return found;
}

}  // namespace

TEST_CASE("of 300 good versions none is called bad, and nearly all are called good after 200 runs") {
  const Behaviour usual{GENERATE(0.0, 0.01, 0.1), 1};
  CHECK(count(RolloutVerdict::Bad, usual, usual, 200) == 0);
  CHECK(count(RolloutVerdict::Good, usual, usual, 200) >= 290);
}

TEST_CASE("versions that are bad on one route are found within 200 runs of it, and never called good") {
  const auto bad = GENERATE(Behaviour{0.3, 1}, Behaviour{0.5, 1}, Behaviour{0, 3}, Behaviour{0, 6});
  const Behaviour usual{0.01, 1};
  CHECK(count(RolloutVerdict::Bad, bad, usual, 200) >= 298);
  CHECK(count(RolloutVerdict::Good, bad, usual, 200) == 0);
}

TEST_CASE("a version that fails always is found within a dozen runs") {
  CHECK(count(RolloutVerdict::Bad, {1, 1}, {0.02, 1}, 12) == 300);
}

TEST_CASE("without runs nothing is decided") {
  CHECK(verdictFor({}, {}, 0, 1) == RolloutVerdict::Undecided);
  CHECK(judge({}, {}).verdict == RolloutVerdict::Undecided);
}

}  // namespace cometstand::store
