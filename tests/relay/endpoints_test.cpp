// Endpoint liveness: merging, leases, sightings, hints and the panic threshold.
#include <catch2/catch.hpp>

#include "relay/relay_fixture.h"

namespace cometstand::relay::test {
namespace {

using view::EndpointId;
using view::EndpointRecordPointer;
using wire::EndpointState;

EndpointRecordPointer record(const std::string& endpoint, std::uint64_t incarnation, std::uint64_t sequence,
                             EndpointState state) {
  auto result = std::make_shared<wire::EndpointRecordT>();
  result->tenant = "napisy";
  result->service = "editor-desk";
  result->endpoint = endpoint;
  result->incarnation = incarnation;
  result->sequence = sequence;
  result->state = state;
  return result;
}

EndpointId endpointId(const std::string& endpoint) { return {"napisy", "editor-desk", endpoint}; }

/// A relay of zone krk-a whose service "editor-desk" has the endpoints e1 to eN there; it probes them.
struct EndpointFixture : RelayFixture {
  explicit EndpointFixture(int endpoints = 4) {
    follow();
    std::vector<wire::EndpointSpecT> specs;
    for (int i = 1; i <= endpoints; ++i) {
      specs.push_back(config::test::endpoint("e" + std::to_string(i), static_cast<std::uint16_t>(9000 + i)));
    }
    receiveDelta({changeAt(11, config::test::putService("napisy", "editor-desk", specs))}, 11);
    proxy = serve("proxy-1");
    for (int i = 1; i <= endpoints; ++i) probe("e" + std::to_string(i), EndpointState::Live);
    driver.advance(milliseconds(100));
    driver.take<wire::EndpointUpdateT>(proxy);
  }

  void probe(const std::string& endpoint, EndpointState state, std::uint64_t incarnation = 1) {
    core.onProbeResult(endpointId(endpoint), {true, state, incarnation}, driver.now());
    driver.collect();
  }

  void probeAll(std::initializer_list<const char*> endpoints, EndpointState state) {
    for (const char* endpoint : endpoints) probe(endpoint, state);
  }

  void sight(LinkId link, const std::string& endpoint, std::uint64_t incarnation = 1) {
    wire::EndpointUpdateT update;
    update.records.push_back(record(endpoint, incarnation, 0, EndpointState::Leaving));
    driver.receive(link, update);
  }

  EndpointState state(const std::string& endpoint) const {
    return core.endpointTable().find(endpointId(endpoint))->state;
  }

  std::size_t available() const {
    const auto& records = core.endpointTable().records();
    return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [](const auto& item) {
      return item.second->state <= EndpointState::Live;
    }));
  }

  LinkId proxy{};
};

TEST_CASE("tables that merged the same records in any order are equal") {
  std::vector<EndpointRecordPointer> records;
  for (std::uint64_t incarnation = 1; incarnation < 4; ++incarnation) {
    for (std::uint64_t sequence = 1; sequence < 4; ++sequence) {
      records.push_back(record("e1", incarnation, sequence, EndpointState::Live));
      records.push_back(record("e1", incarnation, sequence, EndpointState::Leaving));
    }
  }
  RandomSource random(5);
  for (int round = 0; round < 20; ++round) {
    for (std::size_t i = records.size(); i > 1; --i)
      std::swap(records[i - 1], records[random.uniform(0, i - 1)]);
    EndpointTable table;
    for (const auto& one : records) table.merge(one);
    for (const auto& one : records) CHECK_FALSE(table.merge(one));
    const auto newest = table.find(endpointId("e1"));
    CHECK(newest->incarnation == 3);
    CHECK(newest->sequence == 3);
    CHECK(newest->state == EndpointState::Leaving);
  }
}

TEST_CASE("a leaving endpoint goes to proxies at once, a returning one within the window") {
  EndpointFixture relay;
  relay.probe("e1", EndpointState::Leaving);
  const auto left = relay.driver.takeOne<wire::EndpointUpdateT>(relay.proxy);
  REQUIRE(left.records.size() == 1);
  CHECK(left.records[0]->state == EndpointState::Leaving);
  relay.probe("e1", EndpointState::Live, 2);
  CHECK(relay.driver.take<wire::EndpointUpdateT>(relay.proxy).empty());
  relay.driver.advance(milliseconds(50));
  CHECK(relay.driver.takeOne<wire::EndpointUpdateT>(relay.proxy).records[0]->incarnation == 2);
}

TEST_CASE("endpoint records of a tenant do not go to proxies of another") {
  EndpointFixture relay;
  const LinkId other = relay.serve("proxy-4");
  relay.driver.take<wire::EndpointUpdateT>(other);
  relay.probe("e1", EndpointState::Leaving);
  CHECK(relay.driver.take<wire::EndpointUpdateT>(other).empty());
}

TEST_CASE("a lease that runs out counts as leaving") {
  EndpointFixture relay;
  for (int i = 0; i < 4; ++i) {
    relay.driver.advance(seconds(2));
    relay.probeAll({"e2", "e3", "e4"}, EndpointState::Live);
    relay.core.onProbeResult(endpointId("e1"), ProbeResult(), relay.driver.now());
  }
  CHECK(relay.state("e1") == EndpointState::Leaving);
  CHECK(relay.state("e2") == EndpointState::Live);
}

TEST_CASE("hints never take a service below half of its endpoints") {
  EndpointFixture relay;
  SECTION("leases that all run out together") { relay.driver.advance(seconds(20)); }
  SECTION("probes") { relay.probeAll({"e1", "e2", "e3", "e4"}, EndpointState::Leaving); }
  SECTION("the machine list") {
    relay.driver.advance(seconds(5));
    std::vector<MachineState> machines;
    for (std::uint16_t port = 9001; port <= 9004; ++port) machines.push_back({{"127.0.0.1", port}, true});
    relay.core.onMachineList(machines, relay.driver.now());
  }
  CHECK(relay.available() == 2);
}

TEST_CASE("a proxy's sighting counts at once, below half as well, and outranks probes for a while") {
  EndpointFixture relay(2);
  relay.sight(relay.proxy, "e1");
  relay.sight(relay.proxy, "e2");
  CHECK(relay.available() == 0);
  relay.driver.advance(seconds(2));
  relay.probe("e1", EndpointState::Live);
  CHECK(relay.state("e1") == EndpointState::Leaving);
  relay.driver.advance(seconds(10));
  relay.probe("e1", EndpointState::Live);
  CHECK(relay.state("e1") == EndpointState::Live);
}

TEST_CASE("a new incarnation returns at once; an old sighting does not touch it") {
  EndpointFixture relay;
  relay.sight(relay.proxy, "e1");
  relay.probe("e1", EndpointState::Cold, 2);
  CHECK(relay.state("e1") == EndpointState::Cold);
  relay.sight(relay.proxy, "e1", 1);
  CHECK(relay.state("e1") == EndpointState::Cold);
}

TEST_CASE("a proxy cannot make another tenant's endpoints leave") {
  EndpointFixture relay;
  const LinkId foreign = relay.serve("proxy-4");
  relay.sight(foreign, "e1");
  CHECK(relay.state("e1") == EndpointState::Live);
}

TEST_CASE("a probe that was answered lately outranks the machine list") {
  EndpointFixture relay;
  relay.core.onMachineList({{{"127.0.0.1", 9001}, true}}, relay.driver.now());
  CHECK(relay.state("e1") == EndpointState::Live);
}

TEST_CASE("an endpoint ordered to stop stays leaving until a new incarnation") {
  EndpointFixture relay;
  wire::StopOrderT order;
  order.kind = wire::StopKind::Endpoint;
  order.tenant = "napisy";
  order.name = "editor-desk";
  order.endpoint = "e1";
  relay.driver.receive(*relay.store, order);
  CHECK(relay.state("e1") == EndpointState::Leaving);
  relay.driver.advance(seconds(30));
  relay.probe("e1", EndpointState::Live);
  CHECK(relay.state("e1") == EndpointState::Leaving);
  relay.probe("e1", EndpointState::Cold, 2);
  CHECK(relay.state("e1") == EndpointState::Cold);
}

TEST_CASE("peers hear of changes, and of the whole table when they join") {
  EndpointFixture relay;
  const LinkId peer = relay.joinPeer("relay-b1", "krk-b");
  CHECK(relay.driver.takeOne<wire::EndpointUpdateT>(peer).records.size() == 4);
  relay.probe("e1", EndpointState::Leaving);
  CHECK(relay.driver.takeOne<wire::EndpointUpdateT>(peer).records.size() == 1);

  relay.driver.take<wire::EndpointUpdateT>(relay.proxy);
  wire::EndpointUpdateT update;
  update.records = {record("e2", 1, 2, EndpointState::Leaving), record("e3", 0, 9, EndpointState::Leaving)};
  relay.driver.receive(peer, update);
  CHECK(relay.state("e2") == EndpointState::Leaving);
  CHECK(relay.state("e3") == EndpointState::Live);
  CHECK(relay.driver.takeOne<wire::EndpointUpdateT>(relay.proxy).records.size() == 1);
}

TEST_CASE("of two relays of a zone the smaller name probes; the other takes over when it is gone") {
  // Four of "napisy" and one of "protokoly".
  const std::size_t targets = 5;
  EndpointFixture relay;
  CHECK(relay.core.probeTargets().size() == targets);
  const LinkId peer = relay.joinPeer("relay-a0", "krk-a");
  CHECK(relay.core.probeTargets().empty());
  relay.driver.lose(peer);
  CHECK(relay.core.probeTargets().size() == targets);
}

TEST_CASE("a relay that stops asks its endpoints until it has ended") {
  EndpointFixture relay;
  const auto targets = relay.core.probeTargets().size();
  relay.core.beginStop(relay.driver.now());
  CHECK(relay.core.probeTargets().size() == targets);
}

// astana seeds 989 and 7340250 of the simulator: nobody asked the endpoints of a zone whose relay was gone.
TEST_CASE("endpoints of a zone without any relay left are looked after by another zone's relay") {
  EndpointFixture relay;
  auto far = config::test::endpoint("far", 9009);
  far.zone = "krk-b";
  std::vector<wire::EndpointSpecT> specs{far};
  for (int i = 1; i <= 3; ++i) {
    specs.push_back(config::test::endpoint("e" + std::to_string(i), static_cast<std::uint16_t>(9000 + i)));
  }
  relay.receiveDelta({changeAt(12, config::test::putService("napisy", "editor-desk", specs))}, 12);
  const auto is_probed = [&relay] {
    const auto targets = relay.core.probeTargets();
    return std::any_of(targets.begin(), targets.end(),
                       [](const ProbeTarget& target) { return target.endpoint.endpoint == "far"; });
  };
  const LinkId peer = relay.joinPeer("relay-b1", "krk-b");
  relay.advanceWithBeats(1);
  CHECK_FALSE(is_probed());
  relay.driver.lose(peer);
  relay.advanceWithBeats(2);
  REQUIRE(is_probed());
  relay.probe("far", EndpointState::Live);
  // The zone may be cut off from here and well: silence says nothing.
  relay.advanceWithBeats(20);
  CHECK(relay.state("far") == EndpointState::Live);
  relay.probeAll({"e1", "e2", "e3"}, EndpointState::Live);
  relay.probe("far", EndpointState::Leaving);
  CHECK(relay.state("far") == EndpointState::Leaving);
  relay.joinPeer("relay-b1", "krk-b");
  relay.advanceWithBeats(2);
  CHECK_FALSE(is_probed());
}

TEST_CASE("proxies are told how many share each endpoint's connections") {
  EndpointFixture relay;
  relay.driver.advance(seconds(2));
  relay.driver.take<wire::ConnectionShareT>(relay.proxy);
  const LinkId peer = relay.joinPeer("relay-b1", "krk-b");
  wire::InForceReportT report;
  report.proxies = 9;
  relay.driver.receive(peer, report);
  relay.driver.advance(seconds(2));
  CHECK(relay.driver.takeOne<wire::ConnectionShareT>(relay.proxy).proxies == 10);
}

TEST_CASE("a question for one service brings its records, and none of the fleet's") {
  EndpointFixture relay;
  wire::EndpointUpdateT update;
  update.records = {record("e9", 1, 1, EndpointState::Live)};
  update.records[0]->service = "other";
  relay.driver.receive(relay.joinPeer("relay-b1", "krk-b"), update);
  wire::StatusRequestT about_service;
  about_service.proxies = false;
  about_service.tenant = "napisy";
  about_service.service = "editor-desk";
  relay.driver.receive(*relay.store, about_service, 5);
  const auto answer = relay.driver.takeOne<wire::StatusReplyT>(*relay.store);
  CHECK(answer.proxies.empty());
  CHECK(answer.endpoints.size() == 4);
  CHECK(relay.core.endpointTable().records().size() == 5);
  relay.driver.receive(*relay.store, wire::StatusRequestT(), 6);
  CHECK(relay.driver.takeOne<wire::StatusReplyT>(*relay.store).endpoints.empty());
}

}  // namespace
}  // namespace cometstand::relay::test
