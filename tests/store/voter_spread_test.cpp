// Tests the choice of voter replacements that spread the voters over zones.
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

/// @return the proposed replacement with one learner, whose identifier is 100.
std::optional<consensus::MembershipChange> spreadChangeFor(const std::vector<std::string>& voter_zones,
                                                           const std::string& learner_zone,
                                                           std::size_t lost_zones = 1) {
  wire::ReplicaT learner;
  learner.zone = learner_zone;
  return nextSpreadChange(membershipOf(voter_zones), {{100, &learner}}, lost_zones, 1);
}

}  // namespace

TEST_CASE(
    "a majority survives the loss of the zones with the most voters only if enough voters are elsewhere") {
  CHECK(survivesZoneLosses({{"a", 1}, {"b", 1}, {"c", 1}}, 1));
  CHECK_FALSE(survivesZoneLosses({{"a", 2}, {"b", 1}}, 1));
  CHECK(survivesZoneLosses({{"a", 2}, {"b", 2}, {"c", 1}}, 1));
  CHECK_FALSE(survivesZoneLosses({{"a", 2}, {"b", 2}, {"c", 1}}, 2));
  CHECK(survivesZoneLosses({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}}, 2));
}

TEST_CASE("a voter in the zone with the most voters is replaced, but never the leader") {
  const auto change = spreadChangeFor({"a", "a", "b"}, "c");
  REQUIRE(change);
  CHECK(change->kind == consensus::MembershipChangeKind::ReplaceVoter);
  CHECK(change->replica.id == 100);
  CHECK(change->replaced == 2);
}

TEST_CASE("a replacement that does not balance the number of voters in the zones is not proposed") {
  CHECK_FALSE(spreadChangeFor({"a", "b", "c"}, "a"));
  CHECK_FALSE(spreadChangeFor({"a", "b", "c"}, "d"));
  CHECK_FALSE(spreadChangeFor({"a", "a", "b"}, "b"));
  CHECK_FALSE(spreadChangeFor({"", "", ""}, ""));
}

TEST_CASE("a replacement that would survive fewer zone losses while both replicas vote is not proposed") {
  const std::vector<std::string> voters{"a", "a", "a", "b", "c", "d", "e", "f", "g"};
  CHECK_FALSE(spreadChangeFor(voters, "b", 2));
  CHECK(spreadChangeFor(voters, "h", 2));
}

}  // namespace cometstand::store::test
