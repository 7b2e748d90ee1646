#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace cometstand::rehearsal {

/// One kind of request that a caller stand-in makes.
struct RequestKind {
  std::string name;
  std::string method = "GET";
  std::string host;
  std::string path = "/";
  /// Share of the arrivals, relative to the other kinds.
  double weight = 1;
  /// Time from the intended start after which an answer is of no use.
  Duration deadline = std::chrono::seconds(2);
  /// The request may be run again without harm.
  bool repeatable = true;
  /// Carries an Idempotency-Key, by which a caller may send it again after a lost answer.
  bool keyed = false;
  /// Bytes of the request's and of the answer's body.
  std::uint64_t request_bytes = 0;
  std::uint64_t answer_bytes = 200;
};

/// The kinds of request of one caller.
struct Workload {
  std::vector<RequestKind> kinds;
};

/// @param value {"kinds": [{"name", "method", "host", "path", "weight", "deadline_ms", "repeatable", "keyed",
/// "request_bytes", "answer_bytes"}]}; members left out keep their defaults.
/// @throw Error(Malformed or Invalid) naming the member.
Workload parseWorkload(const boost::json::value& value);

/// @return the form that parseWorkload() reads.
boost::json::value toJson(const Workload& workload);

}  // namespace cometstand::rehearsal
