#pragma once

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

#include "base/time.h"

namespace cometstand {

/// The only source of randomness in decision logic: equal seeds give equal decisions on every platform.
/// Not thread-safe; each state machine owns one. Never used for keys or tokens.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// @return a value from [low, high], both included.
  std::uint64_t uniform(std::uint64_t low, std::uint64_t high) {
    return boost::random::uniform_int_distribution<std::uint64_t>(low, high)(engine_);
  }

  /// @return a duration from [low, high], both included.
  Duration uniform(Duration low, Duration high) {
    const auto value = boost::random::uniform_int_distribution<Duration::rep>(low.count(), high.count());
    return Duration(value(engine_));
  }

  /// @return true with the given probability, from [0, 1].
  bool chance(double probability) {
    return boost::random::bernoulli_distribution<double>(probability)(engine_);
  }

 private:
  boost::random::mt19937_64 engine_;
};

/// @return a seed from the operating system, for programs that are not under simulation.
std::uint64_t systemSeed();

}  // namespace cometstand
