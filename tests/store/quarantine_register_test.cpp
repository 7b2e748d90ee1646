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

/// @return a report on the end of instance "i-" + number, with the same number as its crash event.
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

TEST_CASE("a content is quarantined by its third crash with no completed run in between") {
  QuarantineRegister quarantine;
  for (std::uint64_t crash = 1; crash <= 2; ++crash) {
    CHECK(quarantine.apply(makeReport(crash)) == QuarantineResult::Changed);
    CHECK(stateOf(quarantine) == State::Suspected);
  }
  quarantine.apply(makeReport(3));
  CHECK(stateOf(quarantine) == State::Quarantined);
  CHECK(quarantine.find(kContent)->instances == std::vector<std::string>{"i-1", "i-2", "i-3"});
}

TEST_CASE("a repeated crash report and several crashes of one event count once") {
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

TEST_CASE("a completed run clears a suspect unless the node had not yet received its newest crash") {
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

TEST_CASE("one crash renews a quarantine after a non-final release, and a final release removes the record") {
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

TEST_CASE("suspects of a caller that exceeds the limit do not evict those of another caller") {
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

TEST_CASE("updates contain contents from their second crash on, and releases") {
  QuarantineRegister quarantine;
  quarantine.apply(makeReport(1));
  CHECK(quarantine.updateSince(0).notices.empty());
  const auto before = quarantine.lastNumber();
  quarantine.apply(makeReport(2));
  const auto update = quarantine.updateSince(before);
  REQUIRE(update.notices.size() == 1);
  CHECK_FALSE(update.is_whole);
  CHECK(update.notices.at(0)->state == State::Suspected);
  quarantine.apply(makeClearance(quarantine.lastNumber()));
  const auto released = quarantine.updateSince(update.number);
  REQUIRE(released.notices.size() == 1);
  CHECK(released.notices.at(0)->state == State::Released);
  CHECK(quarantine.updateSince(0).is_whole);
  CHECK(quarantine.updateSince(0).notices.empty());
}

TEST_CASE(
    "a restored state equals the captured one and gives full updates to nodes that may lack a release") {
  QuarantineRegister quarantine;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) quarantine.apply(makeReport(crash));
  QuarantineRegister restored;
  restored.restore(quarantine.capture());
  CHECK(stateOf(restored) == State::Quarantined);
  CHECK(restored.hasCountedInstance("i-2"));
  CHECK(restored.lastNumber() == quarantine.lastNumber());
  CHECK(restored.lastEvent() == quarantine.lastEvent());
  CHECK(restored.updateSince(1).is_whole);
}

}  // namespace cometstand::store
