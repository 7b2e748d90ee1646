// Tests how a sidecar detects unresponsive zones and selects endpoints meanwhile.
#include "sidecar/zone_health.h"

#include <catch2/catch.hpp>
#include <set>

#include "sidecar/endpoint_directory.h"
#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSelections = 50;
constexpr Duration kMeanResponseTime = milliseconds(40);

/// Endpoint directory of a sidecar in zone a, with three endpoints in each of the given zones.
class ZonedDirectory {
 public:
  explicit ZonedDirectory(const std::vector<std::string>& zones) {
    wire::EndpointUpdateT update;
    for (const auto& zone : zones) {
      for (int i = 0; i < 3; ++i) {
        auto record = std::make_shared<wire::EndpointRecordT>();
        record->service = "shop";
        record->address = "10." + zone + ".0." + std::to_string(i);
        record->endpoint = "instance-" + record->address;
        record->port = 7'000;
        record->zone = zone;
        record->state = wire::EndpointState::Live;
        record->slots = 4;
        update.records.push_back(std::move(record));
      }
    }
    directory.apply(update, true, now);
    for (const auto& record : update.records) directory.noteLinked({record->address, record->port}, now);
    now += milliseconds(1);
    directory.noteAnswered("shop", kMeanResponseTime);
  }

  static runtime::Address address(const std::string& zone, int index) {
    return {"10." + zone + ".0." + std::to_string(index), 7'000};
  }

  Endpoint& at(const std::string& zone, int index) { return *directory.find(address(zone, index)); }

  void endLink(const std::string& zone, int index) { directory.noteLinkFailed(address(zone, index), now); }

  /// Sends the endpoint a request to which it does not reply.
  void sendUnanswered(const std::string& zone, int index) {
    EndpointDirectory::noteSent(at(zone, index), now);
  }

  void answer(const std::string& zone, int index) {
    directory.onReply(at(zone, index), wire::ForwardReplyT(), now);
  }

  Endpoint* choose(bool may_repeat = true) {
    EndpointCriteria criteria;
    criteria.service = "shop";
    criteria.may_repeat = may_repeat;
    return directory.choose(criteria, {}, random, now);
  }

  /// @return the zones of the endpoints selected in kSelections selections.
  std::set<std::string> selectedZones(bool may_repeat = true) {
    std::set<std::string> zones;
    for (int i = 0; i < kSelections; ++i) {
      const auto* endpoint = choose(may_repeat);
      if (endpoint != nullptr) zones.insert(endpoint->zone);
    }
    return zones;
  }

  static SidecarOptions makeOptions() {
    SidecarOptions options;
    options.zone = "a";
    return options;
  }

  const SidecarOptions options = makeOptions();
  ZoneEvacuations evacuations;
  EndpointDirectory directory{options, evacuations};
  RandomSource random{1};
  TimePoint now{seconds(100)};
};

using Zones = std::set<std::string>;

}  // namespace

TEST_CASE("a zone is unresponsive once two of its machines failed without contact since the first failure") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  health.noteFailure("b", "m1", now);
  health.noteFailure("b", "m1", now + milliseconds(10));
  CHECK_FALSE(health.isUnresponsive("b"));
  health.noteContact("b", now + milliseconds(15));
  health.noteFailure("b", "m2", now + milliseconds(20));
  CHECK_FALSE(health.isUnresponsive("b"));
  health.noteFailure("b", "m3", now + milliseconds(30));
  CHECK(health.isUnresponsive("b"));
  CHECK_FALSE(health.isUnresponsive("c"));
  health.noteContact("b", now + milliseconds(40));
  CHECK_FALSE(health.isUnresponsive("b"));
}

TEST_CASE("a machine that failed before the last contact with its zone is not counted") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  health.noteContact("b", now);
  health.noteFailure("b", "m1", now - milliseconds(10));
  health.noteFailure("b", "m2", now + milliseconds(10));
  CHECK_FALSE(health.isUnresponsive("b"));
}

TEST_CASE("failures of machines outside the time window do not make their zone unresponsive") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  health.noteFailure("b", "m1", now);
  health.noteFailure("b", "m2", now + milliseconds(1'100));
  CHECK_FALSE(health.isUnresponsive("b"));
}

TEST_CASE("the zone of the sidecar is never unresponsive") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  for (const char* host : {"m1", "m2", "m3"}) health.noteFailure("a", host, now);
  CHECK_FALSE(health.isUnresponsive("a"));
}

TEST_CASE("an unresponsive zone is probed by single requests at increasing intervals") {
  ZoneHealth health("a");
  const TimePoint begin{seconds(100)};
  health.noteFailure("b", "m1", begin);
  health.noteFailure("b", "m2", begin);
  std::vector<Duration> probes;
  for (TimePoint now = begin; now < begin + seconds(16); now += milliseconds(10)) {
    if (!health.isProbeDue("b", now)) continue;
    health.noteProbe("b", now);
    probes.push_back(now - begin);
  }
  CHECK(probes == std::vector<Duration>{seconds(1), seconds(2), seconds(4), seconds(8), seconds(12)});
}

TEST_CASE("after two links to a zone ended, its other endpoints are avoided until one is linked again") {
  ZonedDirectory mesh({"b", "c"});
  mesh.endLink("b", 0);
  CHECK(mesh.selectedZones() == Zones{"b", "c"});
  mesh.endLink("b", 1);
  CHECK(mesh.selectedZones() == Zones{"c"});
  mesh.directory.noteLinked(ZonedDirectory::address("b", 0), mesh.now);
  CHECK(mesh.selectedZones() == Zones{"b", "c"});
}

TEST_CASE("after two endpoints of a zone stopped replying, the third is avoided until one replies") {
  ZonedDirectory mesh({"b", "c"});
  mesh.sendUnanswered("b", 0);
  mesh.sendUnanswered("b", 1);
  mesh.now += milliseconds(400);
  CHECK(mesh.selectedZones() == Zones{"b", "c"});
  mesh.now += milliseconds(150);
  CHECK(mesh.selectedZones() == Zones{"c"});
  mesh.answer("b", 1);
  CHECK(mesh.selectedZones().contains("b"));
}

TEST_CASE("one overdue endpoint or one ended link does not make its zone unresponsive") {
  ZonedDirectory mesh({"b"});
  SECTION("reply overdue") { mesh.sendUnanswered("b", 0); }
  SECTION("link ended") { mesh.endLink("b", 0); }
  mesh.now += milliseconds(700);
  CHECK(mesh.selectedZones(false) == Zones{"b"});
}

TEST_CASE("overdue endpoints do not make their zone unresponsive while another of its endpoints replies") {
  ZonedDirectory mesh({"b", "c"});
  mesh.sendUnanswered("b", 0);
  mesh.sendUnanswered("b", 1);
  for (int i = 0; i < 10; ++i) {
    mesh.now += milliseconds(100);
    mesh.answer("b", 2);
    CHECK(mesh.selectedZones().contains("b"));
  }
}

TEST_CASE("links that could not be opened do not make a zone unresponsive") {
  ZonedDirectory mesh({"b"});
  for (int i = 0; i < 2; ++i) {
    mesh.endLink("b", 0);
    mesh.now += milliseconds(800);
  }
  mesh.at("b", 1).live = false;
  mesh.endLink("b", 1);
  CHECK(mesh.selectedZones(false) == Zones{"b"});
}

TEST_CASE("an unresponsive zone gets requests that must not be repeated only as probes") {
  ZonedDirectory mesh({"b"});
  mesh.sendUnanswered("b", 0);
  mesh.sendUnanswered("b", 1);
  mesh.now += milliseconds(600);
  CHECK(mesh.choose(false) == nullptr);
  CHECK(mesh.selectedZones(true) == Zones{"b"});
  mesh.now += milliseconds(1'000);
  CHECK(mesh.choose(false) != nullptr);
  CHECK(mesh.choose(false) == nullptr);
}

TEST_CASE(
    "a probe of an unresponsive zone is a repeatable request if another zone can take the other requests") {
  ZonedDirectory mesh({"b", "c"});
  mesh.endLink("b", 0);
  mesh.endLink("b", 1);
  for (int i = 0; i < 3; ++i) EndpointDirectory::noteSent(mesh.at("c", i), mesh.now);
  mesh.now += milliseconds(1'000);
  for (int i = 0; i < 3; ++i) mesh.answer("c", i);
  CHECK(mesh.selectedZones(false) == Zones{"c"});
  int probes = 0;
  for (int i = 0; i < kSelections; ++i) probes += mesh.choose()->zone == "b" ? 1 : 0;
  CHECK(probes == 1);
}

TEST_CASE("a sidecar whose machine is cut off keeps sending to its own zone") {
  ZonedDirectory mesh({"a", "b"});
  for (const char* zone : {"a", "b"}) {
    mesh.endLink(zone, 0);
    mesh.endLink(zone, 1);
  }
  CHECK(mesh.selectedZones(false) == Zones{"a"});
}

TEST_CASE(
    "a request that must not be repeated is refused at once while all zones that could take it are "
    "unresponsive") {
  auto options = SidecarFixture::makeOptions();
  options.zone = "zone-b";
  SidecarFixture sidecar(options);
  sidecar.configure();
  for (const auto& peer : {SidecarFixture::kPeer, SidecarFixture::kOtherPeer}) sidecar.addPeer(peer);
  const auto first = sidecar.call("/write/1");
  for (const auto& peer : {SidecarFixture::kPeer, SidecarFixture::kOtherPeer}) {
    for (const auto number : sidecar.forwardsTo(peer))
      sidecar.reply(peer, number, wire::ForwardOutcome::Answered);
  }
  REQUIRE(sidecar.callers.answers.contains(first));
  for (int i = 0; i < 4; ++i) sidecar.call("/write/1");
  sidecar.advance(milliseconds(600));
  const auto refused = sidecar.call("/write/1");
  REQUIRE(sidecar.callers.answers.contains(refused));
  CHECK(sidecar.callers.answers.at(refused).outcome == CallOutcome::NotRun);
  CHECK_FALSE(sidecar.callers.answers.contains(sidecar.call("/read/1")));
}

}  // namespace cometstand::sidecar::test
