#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <vector>

#include "statement_mesh.h"

namespace cometstand::limits::test {

/// Fails the test with each violation that the checker found.
inline void checkStatements(const StatementMesh& mesh) {
  for (const auto& violation : mesh.checker().violations()) FAIL_CHECK(violation);
}

/// @param times in rising order.
inline std::size_t countSince(const std::vector<TimePoint>& times, TimePoint begin) {
  return static_cast<std::size_t>(times.end() - std::lower_bound(times.begin(), times.end(), begin));
}

}  // namespace cometstand::limits::test
