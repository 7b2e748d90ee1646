#include "store/rollout_analysis.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "base/random.h"

namespace cometstand::store {
namespace {

constexpr std::size_t kBuckets = 33;

/// Simulated behaviour of a version: the share of failed runs, and the factor by which run times grow.
struct Behaviour {
  double failed_share = 0;
  double slowdown = 1;
};

double uniformShare(RandomSource& random) { return static_cast<double>(random.uniform(0, 999'999)) / 1e6; }

/// @return a sample of the given number of runs of one route. Run times vary by a factor of four because
/// targets of one version differ in speed.
wire::RouteSampleT makeSample(const std::string& route, std::size_t runs, const Behaviour& behaviour,
                              RandomSource& random) {
  wire::RouteSampleT sample;
  sample.route = route;
  sample.run_times.resize(kBuckets);
  for (std::size_t i = 0; i < runs; ++i) {
    ++sample.ended;
    if (uniformShare(random) < behaviour.failed_share) {
      ++sample.failed;
      continue;
    }
    const double milliseconds = 100 * std::exp2(2 * uniformShare(random)) * behaviour.slowdown;
    ++sample.run_times.at(static_cast<std::size_t>(std::ceil(2 * std::log2(milliseconds))));
  }
  return sample;
}

RolloutVerdict verdictFor(const Behaviour& canary, const Behaviour& stable, std::size_t runs,
                          std::uint64_t seed) {
  RandomSource random(seed);
  VersionSamples stable_samples;
  stable_samples.add(makeSample("read", 4'000, stable, random));
  stable_samples.add(makeSample("write", 3'000, stable, random));
  VersionSamples canary_samples;
  canary_samples.add(makeSample("read", runs, stable, random));
  canary_samples.add(makeSample("write", runs, canary, random));
  return judge(canary_samples, stable_samples).verdict;
}

std::size_t count(RolloutVerdict verdict, const Behaviour& canary, const Behaviour& stable,
                  std::size_t runs) {
  std::size_t matching = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed)
    matching += verdictFor(canary, stable, runs, seed) == verdict ? 1 : 0;
  return matching;
}

}  // namespace

TEST_CASE("none of 300 good versions gets a bad verdict, and nearly all get a good one after 200 runs") {
  const Behaviour baseline{GENERATE(0.0, 0.01, 0.1), 1};
  CHECK(count(RolloutVerdict::Bad, baseline, baseline, 200) == 0);
  CHECK(count(RolloutVerdict::Good, baseline, baseline, 200) >= 290);
}

TEST_CASE(
    "versions that are bad on one route are detected within 200 runs of it and never get a good verdict") {
  const auto bad = GENERATE(Behaviour{0.3, 1}, Behaviour{0.5, 1}, Behaviour{0, 3}, Behaviour{0, 6});
  const Behaviour baseline{0.01, 1};
  CHECK(count(RolloutVerdict::Bad, bad, baseline, 200) >= 298);
  CHECK(count(RolloutVerdict::Good, bad, baseline, 200) == 0);
}

TEST_CASE("a version that always fails is detected within 12 runs") {
  CHECK(count(RolloutVerdict::Bad, {1, 1}, {0.02, 1}, 12) == 300);
}

TEST_CASE("the verdict is undecided without runs") {
  CHECK(verdictFor({}, {}, 0, 1) == RolloutVerdict::Undecided);
  CHECK(judge({}, {}).verdict == RolloutVerdict::Undecided);
}

}  // namespace cometstand::store
