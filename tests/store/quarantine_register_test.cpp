#include "store/quarantine_register.h"

#include <catch2/catch.hpp>

#include "store/state_machine.h"

namespace cometstand::store {
namespace {

using State = wire::ContentState;

const mesh::ContentDigest kContent{1, 2};

std::shared_ptr<wire::SuspectT> makeSuspect(const mesh::ContentDigest& digest, const std::string& caller) {
  auto suspect = std::make_shared<wire::SuspectT>();
  suspect->digest = mesh::writeDigest(digest);
  suspect->caller_service = caller;
  return suspect;
}

/// @return the report on the end of instance i-NUMBER, which is also the number of its event.
wire::CrashReportT makeReport(std::uint64_t number, const mesh::ContentDigest& digest = kContent) {
  wire::CrashReportT report;
  report.instance = "i-" + std::to_string(number);
  report.service = "desk";
  report.event = number;
  report.suspects.push_back(makeSuspect(digest, "desk"));
  return report;
}

wire::ContentClearanceT makeClearance(std::uint64_t number) {
  wire::ContentClearanceT clearance;
  clearance.digest = mesh::writeDigest(kContent);
  clearance.number = number;
  return clearance;
}

State stateOf(const QuarantineRegister& quarantine) { return quarantine.find(kContent)->state; }

}  // namespace

TEST_CASE("the third crash without a run to the end in between quarantines a content") {
  QuarantineRegister quarantine;
  for (std::uint64_t crash = 1; crash <= 2; ++crash) {
    CHECK(quarantine.apply(makeReport(crash)) == QuarantineResult::Changed);
    CHECK(stateOf(quarantine) == State::Suspected);
  }
  quarantine.apply(makeReport(3));
  CHECK(stateOf(quarantine) == State::Quarantined);
  CHECK(quarantine.find(kContent)->instances == std::vector<std::string>{"i-1", "i-2", "i-3"});
}

TEST_CASE("a report that comes again, and crashes of one event, count once") {
  QuarantineRegister quarantine;
  quarantine.apply(makeReport(1));
  CHECK(quarantine.apply(makeReport(1)) == QuarantineResult::Unchanged);
  for (std::uint64_t number = 2; number <= 5; ++number) {
    auto report = makeReport(number);
    report.event = 2;
    quarantine.apply(report);
  }
  CHECK(quarantine.find(kContent)->crashes == 2);
  CHECK(stateOf(quarantine) == State::Suspected);
}

TEST_CASE("a run to the end clears a suspect, unless a crash came that its node did not know") {
  QuarantineRegister quarantine;
  quarantine.apply(makeReport(1));
  quarantine.apply(makeReport(2));
  const auto known = quarantine.find(kContent)->number;
  CHECK(quarantine.apply(makeClearance(known - 1)) == QuarantineResult::Unchanged);
  CHECK(quarantine.apply(makeClearance(known)) == QuarantineResult::Changed);
  CHECK(quarantine.find(kContent) == nullptr);
  for (std::uint64_t crash = 3; crash <= 5; ++crash) quarantine.apply(makeReport(crash));
  CHECK(quarantine.apply(makeClearance(quarantine.lastNumber())) == QuarantineResult::Unchanged);
  CHECK(stateOf(quarantine) == State::Quarantined);
}

TEST_CASE("after an eased quarantine one crash is enough, and a final release forgets all") {
  QuarantineRegister quarantine;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) quarantine.apply(makeReport(crash));
  wire::ContentReleaseT release;
  release.digest = mesh::writeDigest(kContent);
  release.number = 1;
  CHECK(quarantine.apply(release) == QuarantineResult::Unchanged);
  release.number = quarantine.find(kContent)->number;
  CHECK(quarantine.apply(release) == QuarantineResult::Changed);
  CHECK(stateOf(quarantine) == State::Suspected);
  quarantine.apply(makeReport(4));
  CHECK(stateOf(quarantine) == State::Quarantined);
  CHECK(quarantine.find(kContent)->quarantines == 2);
  release.number = 0;
  release.is_final = true;
  quarantine.apply(release);
  CHECK(quarantine.find(kContent) == nullptr);
}

TEST_CASE("a caller with very many suspects pushes out its own only") {
  QuarantineRegister quarantine;
  auto other = makeReport(1);
  other.suspects = {makeSuspect(kContent, "vault")};
  quarantine.apply(other);
  constexpr std::uint64_t kMany = 1'500;
  for (std::uint64_t number = 2; number <= kMany; ++number) quarantine.apply(makeReport(number, {9, number}));
  CHECK(quarantine.find(kContent) != nullptr);
  CHECK(quarantine.find({9, 2}) == nullptr);
  CHECK(quarantine.find({9, kMany}) != nullptr);
  CHECK(quarantine.all().size() == 1'024);
}

TEST_CASE("nodes are told of a content from its second crash on, and of what is released") {
  QuarantineRegister quarantine;
  quarantine.apply(makeReport(1));
  CHECK(quarantine.updateSince(0).notices.empty());
  const auto before = quarantine.lastNumber();
  quarantine.apply(makeReport(2));
  const auto told = quarantine.updateSince(before);
  REQUIRE(told.notices.size() == 1);
  CHECK_FALSE(told.is_whole);
  CHECK(told.notices.at(0)->state == State::Suspected);
  quarantine.apply(makeClearance(quarantine.lastNumber()));
  const auto released = quarantine.updateSince(told.number);
  REQUIRE(released.notices.size() == 1);
  CHECK(released.notices.at(0)->state == State::Released);
  CHECK(quarantine.updateSince(0).is_whole);
  CHECK(quarantine.updateSince(0).notices.empty());
}

TEST_CASE("a restored state is the same, and tells all to nodes that may have missed a release") {
  QuarantineRegister quarantine;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) quarantine.apply(makeReport(crash));
  QuarantineRegister restored;
  restored.restore(quarantine.capture());
  CHECK(stateOf(restored) == State::Quarantined);
  CHECK(restored.hasCounted("i-2"));
  CHECK(restored.lastNumber() == quarantine.lastNumber());
  CHECK(restored.lastEvent() == quarantine.lastEvent());
  CHECK(restored.updateSince(1).is_whole);
}

}  // namespace cometstand::store
