// The steps that spread voters over zones.
#include <catch2/catch.hpp>

#include "store/voter_spread.h"

namespace cometstand::store::test {
namespace {

wire::MembershipT membershipOf(const std::vector<std::string>& voter_zones) {
  wire::MembershipT membership;
  for (const auto& zone : voter_zones) {
    membership.voters.push_back(std::make_shared<wire::ReplicaT>());
    membership.voters.back()->id = membership.voters.size();
    membership.voters.back()->zone = zone;
  }
  return membership;
}

/// @return the step for one learner, of id 100.
std::optional<consensus::MembershipChange> stepFor(const std::vector<std::string>& voter_zones,
                                                   const std::string& learner_zone, std::size_t zones = 1) {
  wire::ReplicaT learner;
  learner.zone = learner_zone;
  return spreadStep(membershipOf(voter_zones), {{100, &learner}}, zones, 1);
}

}  // namespace

TEST_CASE("a majority outlasts the loss of the fullest zones or does not") {
  CHECK(outlastsZones({{"a", 1}, {"b", 1}, {"c", 1}}, 1));
  CHECK_FALSE(outlastsZones({{"a", 2}, {"b", 1}}, 1));
  CHECK(outlastsZones({{"a", 2}, {"b", 2}, {"c", 1}}, 1));
  CHECK_FALSE(outlastsZones({{"a", 2}, {"b", 2}, {"c", 1}}, 2));
  CHECK(outlastsZones({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}}, 2));
}

TEST_CASE("a step of the spread takes from the fullest zone, and never the leader") {
  const auto step = stepFor({"a", "a", "b"}, "c");
  REQUIRE(step);
  CHECK(step->kind == consensus::MembershipChangeKind::ReplaceVoter);
  CHECK(step->replica.id == 100);
  CHECK(step->replaced == 2);
}

TEST_CASE("a step that makes the numbers of the zones no more equal is not taken") {
  CHECK_FALSE(stepFor({"a", "b", "c"}, "a"));
  CHECK_FALSE(stepFor({"a", "b", "c"}, "d"));
  CHECK_FALSE(stepFor({"a", "a", "b"}, "b"));
  CHECK_FALSE(stepFor({"", "", ""}, ""));
}

TEST_CASE("a step whose first half would outlast fewer zones is not taken") {
  const std::vector<std::string> voters{"a", "a", "a", "b", "c", "d", "e", "f", "g"};
  CHECK_FALSE(stepFor(voters, "b", 2));
  CHECK(stepFor(voters, "h", 2));
}

}  // namespace cometstand::store::test
