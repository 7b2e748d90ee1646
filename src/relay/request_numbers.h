#pragma once

#include <cstdint>

namespace cometstand::relay {

/// Gives the ids of requests that the relay sends up; no id is used twice by one process.
class RequestNumbers {
 public:
  std::uint64_t next() { return ++last_; }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace cometstand::relay
