// Zones that do not answer, as one sidecar sees them.
#include "sidecar/zone_health.h"

#include <catch2/catch.hpp>
#include <set>

#include "sidecar/endpoint_directory.h"
#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDraws = 50;
constexpr Duration kUsualAnswer = milliseconds(40);

/// A sidecar of zone a, with three endpoints in each of the zones that the test names.
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
    directory.noteAnswered("shop", kUsualAnswer);
  }

  static runtime::Address address(const std::string& zone, int index) {
    return {"10." + zone + ".0." + std::to_string(index), 7'000};
  }

  Endpoint& at(const std::string& zone, int index) { return *directory.find(address(zone, index)); }

  void lose(const std::string& zone, int index) { directory.noteUnlinked(address(zone, index), now); }

  /// The endpoint gets a request and is silent on it.
  void sendUnanswered(const std::string& zone, int index) {
    EndpointDirectory::noteSent(at(zone, index), now);
  }

  void answer(const std::string& zone, int index) {
    directory.onReply(at(zone, index), wire::ForwardReplyT(), now);
  }

  Endpoint* choose(bool may_repeat = true) {
    EndpointWant want;
    want.service = "shop";
    want.may_repeat = may_repeat;
    return directory.choose(want, {}, random, now);
  }

  /// @return the zones that get requests.
  std::set<std::string> zonesOf(bool may_repeat = true) {
    std::set<std::string> zones;
    for (int i = 0; i < kDraws; ++i) {
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

TEST_CASE("a zone is dark once two of its machines are missed and none was heard since the first") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  health.noteMissed("b", "m1", now);
  health.noteMissed("b", "m1", now + milliseconds(10));
  CHECK_FALSE(health.isDark("b"));
  health.noteHeard("b", now + milliseconds(15));
  health.noteMissed("b", "m2", now + milliseconds(20));
  CHECK_FALSE(health.isDark("b"));
  health.noteMissed("b", "m3", now + milliseconds(30));
  CHECK(health.isDark("b"));
  CHECK_FALSE(health.isDark("c"));
  health.noteHeard("b", now + milliseconds(40));
  CHECK_FALSE(health.isDark("b"));
}

TEST_CASE("a machine that was missed before its zone was heard counts no more") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  health.noteHeard("b", now);
  health.noteMissed("b", "m1", now - milliseconds(10));
  health.noteMissed("b", "m2", now + milliseconds(10));
  CHECK_FALSE(health.isDark("b"));
}

TEST_CASE("machines of a zone that are missed one long after the other make it not dark") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  health.noteMissed("b", "m1", now);
  health.noteMissed("b", "m2", now + milliseconds(1'100));
  CHECK_FALSE(health.isDark("b"));
}

TEST_CASE("the zone of the sidecar is never dark") {
  ZoneHealth health("a");
  const TimePoint now{seconds(100)};
  for (const char* host : {"m1", "m2", "m3"}) health.noteMissed("a", host, now);
  CHECK_FALSE(health.isDark("a"));
}

TEST_CASE("a dark zone is probed ever more rarely, one request at a time") {
  ZoneHealth health("a");
  const TimePoint begin{seconds(100)};
  health.noteMissed("b", "m1", begin);
  health.noteMissed("b", "m2", begin);
  std::vector<Duration> probes;
  for (TimePoint now = begin; now < begin + seconds(16); now += milliseconds(10)) {
    if (!health.wantsProbe("b", now)) continue;
    health.noteProbe("b", now);
    probes.push_back(now - begin);
  }
  CHECK(probes == std::vector<Duration>{seconds(1), seconds(2), seconds(4), seconds(8), seconds(12)});
}

TEST_CASE("after two links to a zone were reset, its other endpoints are avoided until one is linked again") {
  ZonedDirectory mesh({"b", "c"});
  mesh.lose("b", 0);
  CHECK(mesh.zonesOf() == Zones{"b", "c"});
  mesh.lose("b", 1);
  CHECK(mesh.zonesOf() == Zones{"c"});
  mesh.directory.noteLinked(ZonedDirectory::address("b", 0), mesh.now);
  CHECK(mesh.zonesOf() == Zones{"b", "c"});
}

TEST_CASE("after two endpoints of a zone fell silent, the third is avoided until one answers") {
  ZonedDirectory mesh({"b", "c"});
  mesh.sendUnanswered("b", 0);
  mesh.sendUnanswered("b", 1);
  mesh.now += milliseconds(400);
  CHECK(mesh.zonesOf() == Zones{"b", "c"});
  mesh.now += milliseconds(150);
  CHECK(mesh.zonesOf() == Zones{"c"});
  mesh.answer("b", 1);
  CHECK(mesh.zonesOf().contains("b"));
}

TEST_CASE("one silent endpoint, or one link that ended, says nothing of its zone") {
  ZonedDirectory mesh({"b"});
  SECTION("silent") { mesh.sendUnanswered("b", 0); }
  SECTION("ended") { mesh.lose("b", 0); }
  mesh.now += milliseconds(700);
  CHECK(mesh.zonesOf(false) == Zones{"b"});
}

TEST_CASE("endpoints that are silent while others of their zone answer do not make it dark") {
  ZonedDirectory mesh({"b", "c"});
  mesh.sendUnanswered("b", 0);
  mesh.sendUnanswered("b", 1);
  for (int i = 0; i < 10; ++i) {
    mesh.now += milliseconds(100);
    mesh.answer("b", 2);
    CHECK(mesh.zonesOf().contains("b"));
  }
}

TEST_CASE("links that could not be opened in the first place do not make a zone dark") {
  ZonedDirectory mesh({"b"});
  for (int i = 0; i < 2; ++i) {
    mesh.lose("b", 0);
    mesh.now += milliseconds(800);
  }
  mesh.at("b", 1).live = false;
  mesh.lose("b", 1);
  CHECK(mesh.zonesOf(false) == Zones{"b"});
}

TEST_CASE("a zone that may hear without being heard gets nothing that must not be repeated, but a probe") {
  ZonedDirectory mesh({"b"});
  mesh.sendUnanswered("b", 0);
  mesh.sendUnanswered("b", 1);
  mesh.now += milliseconds(600);
  CHECK(mesh.choose(false) == nullptr);
  CHECK(mesh.zonesOf(true) == Zones{"b"});
  mesh.now += milliseconds(1'000);
  CHECK(mesh.choose(false) != nullptr);
  CHECK(mesh.choose(false) == nullptr);
}

TEST_CASE("a probe of a dark zone is a request that may be repeated, if another zone can take the others") {
  ZonedDirectory mesh({"b", "c"});
  mesh.lose("b", 0);
  mesh.lose("b", 1);
  for (int i = 0; i < 3; ++i) EndpointDirectory::noteSent(mesh.at("c", i), mesh.now);
  mesh.now += milliseconds(1'000);
  for (int i = 0; i < 3; ++i) mesh.answer("c", i);
  CHECK(mesh.zonesOf(false) == Zones{"c"});
  int probes = 0;
  for (int i = 0; i < kDraws; ++i) probes += mesh.choose()->zone == "b" ? 1 : 0;
  CHECK(probes == 1);
}

TEST_CASE("a sidecar whose machine is cut off sends to its own zone as before") {
  ZonedDirectory mesh({"a", "b"});
  for (const char* zone : {"a", "b"}) {
    mesh.lose(zone, 0);
    mesh.lose(zone, 1);
  }
  CHECK(mesh.zonesOf(false) == Zones{"a"});
}

TEST_CASE("a sidecar refuses at once what must not be repeated while all that could take it is dark") {
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
  sidecar.pass(milliseconds(600));
  const auto refused = sidecar.call("/write/1");
  REQUIRE(sidecar.callers.answers.contains(refused));
  CHECK(sidecar.callers.answers.at(refused).outcome == CallOutcome::NotRun);
  CHECK_FALSE(sidecar.callers.answers.contains(sidecar.call("/read/1")));
}

}  // namespace cometstand::sidecar::test
