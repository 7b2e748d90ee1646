#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace cometstand::rehearsal {

enum class ServiceTimeShape : std::uint8_t { Constant, Exponential, LogNormal };

/// Distribution of the time that a back end works on one request.
struct ServiceTimeOptions {
  ServiceTimeShape shape = ServiceTimeShape::Exponential;
  Duration mean = std::chrono::milliseconds(10);
  /// Standard deviation of the logarithm; of LogNormal alone.
  double sigma = 0.8;
};

/// @return the shape named "constant", "exponential" or "lognormal".
/// @throw Error(Invalid) for any other name.
ServiceTimeShape parseServiceTimeShape(const std::string& name);

/// Draws service times; equal seeds give equal sequences.
class ServiceTimeSource {
 public:
  ServiceTimeSource(ServiceTimeOptions options, std::uint64_t seed) : options_(options), engine_(seed) {}

  Duration next();

 private:
  ServiceTimeOptions options_;
  boost::random::mt19937_64 engine_;
};

}  // namespace cometstand::rehearsal
