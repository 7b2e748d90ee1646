#include "view/endpoint_order.h"

#include <catch2/catch.hpp>

namespace cometstand::view {
namespace {

wire::EndpointRecordT record(std::uint64_t incarnation, std::uint64_t sequence, wire::EndpointState state) {
  wire::EndpointRecordT result;
  result.incarnation = incarnation;
  result.sequence = sequence;
  result.state = state;
  return result;
}

TEST_CASE("records are ordered by incarnation, then sequence, then state") {
  using wire::EndpointState;
  const std::vector<wire::EndpointRecordT> ascending{
      record(1, 1, EndpointState::Live), record(1, 1, EndpointState::Leaving),
      record(1, 2, EndpointState::Cold), record(2, 1, EndpointState::Cold),
      record(2, 1, EndpointState::Gone)};
  for (std::size_t i = 0; i < ascending.size(); ++i) {
    for (std::size_t j = 0; j < ascending.size(); ++j) {
      const bool as_ranked = compareRecords(ascending[i], ascending[j]) == (i <=> j);
      CHECK(as_ranked);
    }
  }
}

TEST_CASE("records of one step that differ elsewhere are still ordered") {
  auto left = record(1, 1, wire::EndpointState::Live);
  auto right = left;
  right.slots = left.slots + 1;
  CHECK(std::is_lt(compareRecords(left, right)));
  CHECK(std::is_gt(compareRecords(right, left)));
}

}  // namespace
}  // namespace cometstand::view
