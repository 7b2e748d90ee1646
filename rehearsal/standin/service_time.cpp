#include "rehearsal/standin/service_time.h"

#include <fmt/format.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>

#include "base/error.h"

namespace cometstand::rehearsal {

ServiceTimeShape parseServiceTimeShape(const std::string& name) {
  if (name == "constant") return ServiceTimeShape::Constant;
  if (name == "exponential") return ServiceTimeShape::Exponential;
  if (name == "lognormal") return ServiceTimeShape::LogNormal;
  throw Error(ErrorKind::Invalid, fmt::format("unknown service time shape '{}'", name),
              "use constant, exponential or lognormal");
}

Duration ServiceTimeSource::next() {
  const auto mean = static_cast<double>(options_.mean.count());
  if (options_.shape == ServiceTimeShape::Constant || mean <= 0) return options_.mean;
  double drawn = 0;
  if (options_.shape == ServiceTimeShape::Exponential) {
    drawn = boost::random::exponential_distribution<double>(1.0 / mean)(engine_);
  } else {
    const double location = std::log(mean) - options_.sigma * options_.sigma / 2;
    drawn = boost::random::lognormal_distribution<double>(location, options_.sigma)(engine_);
  }
  return Duration(static_cast<Duration::rep>(drawn));
}

}  // namespace cometstand::rehearsal
