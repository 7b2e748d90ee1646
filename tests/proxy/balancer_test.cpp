#include <catch2/catch.hpp>
#include <map>

#include "proxy/balancer.h"
#include "tests/proxy/objects.h"

namespace cometstand::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::EndpointState;

const ServiceKey& service() {
  static const ServiceKey key{"t", "s"};
  return key;
}

/// A balancer over one service, with its clock.
struct Fixture {
  explicit Fixture(unsigned endpoints, unsigned slots = 6, BalancerOptions options = {})
      : balancer(options, 1) {
    balancer.endpointSet().setServices(Router({makeService("s", endpoints, slots)}).services(), now);
  }
  void record(const std::string& endpoint, EndpointState state, std::uint64_t sequence,
              std::uint64_t incarnation = 1) {
    balancer.endpointSet().applyRecord(makeRecord("s", endpoint, state, sequence, incarnation), now);
  }
  /// Picks and finishes at once. @return how often each endpoint was chosen.
  std::map<std::string, int> spread(int picks, AttemptVerdict verdict = AttemptVerdict::Success) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < picks; ++i) {
      const auto endpoint = balancer.pick(service(), {}, now);
      if (endpoint == nullptr) continue;
      ++chosen[endpoint->key.endpoint];
      balancer.finish(*endpoint, verdict, now);
    }
    return chosen;
  }

  TimePoint now{seconds(1000)};
  Balancer balancer;
};

TEST_CASE("a leaving endpoint gets no work, by record or by its own word", "[balancer]") {
  Fixture fixture(3);
  fixture.record("e0", EndpointState::Leaving, 5);
  CHECK(fixture.spread(200).count("e0") == 0);
  const auto endpoint = fixture.balancer.pick(service(), {}, fixture.now);
  fixture.balancer.finish(*endpoint, AttemptVerdict::Leaving, fixture.now);
  CHECK(fixture.spread(200).size() == 1);
  SECTION("an older record changes nothing") {
    fixture.record("e0", EndpointState::Live, 4);
    CHECK(fixture.spread(200).count("e0") == 0);
  }
  SECTION("its next incarnation is back") {
    fixture.record("e0", EndpointState::Live, 1, 2);
    fixture.now += BalancerOptions().slow_start;
    CHECK(fixture.spread(200).count("e0") == 1);
  }
}

TEST_CASE("no endpoint gets more than its slots", "[balancer]") {
  Fixture fixture(2, 3);
  CHECK(fixture.balancer.capacity(service(), fixture.now) == 6);
  for (int i = 0; i < 6; ++i) REQUIRE(fixture.balancer.pick(service(), {}, fixture.now) != nullptr);
  CHECK(fixture.balancer.pick(service(), {}, fixture.now) == nullptr);
}

TEST_CASE("connections are shared among the proxies", "[balancer]") {
  Fixture fixture(1);
  fixture.balancer.setSharingProxies(65);
  const auto endpoint = fixture.balancer.pick(service(), {}, fixture.now);
  CHECK(fixture.balancer.connectionBudget(*endpoint) == 2);
  CHECK(fixture.balancer.slotLimit(*endpoint, fixture.now) == 2);
}

TEST_CASE("a new endpoint warms up: its share grows, and its slots are the last to fill", "[balancer]") {
  Fixture fixture(1, 6);
  fixture.record("new", EndpointState::Cold, 1);
  CHECK(fixture.balancer.capacity(service(), fixture.now) == 6 + 1);
  fixture.record("new", EndpointState::Live, 2);
  CHECK(fixture.balancer.capacity(service(), fixture.now) == 6 + 6);
  const auto share = [&] { return fixture.spread(1000)["new"]; };
  const int cold = share();
  CHECK(cold > 10);
  CHECK(cold < 120);
  fixture.now += BalancerOptions().slow_start / 2;
  CHECK(share() > 2 * cold);
  CHECK(share() < 400);
  // Half warm: three of its slots compete with the others', three wait for the others to be full.
  std::map<std::string, int> busy;
  for (int i = 0; i < 9; ++i) ++busy[fixture.balancer.pick(service(), {}, fixture.now)->key.endpoint];
  CHECK(busy["e0"] == 6);
  CHECK(busy["new"] == 3);
  CHECK(fixture.balancer.pick(service(), {}, fixture.now)->key.endpoint == "new");
}

TEST_CASE("an endpoint that sheds gets less until it succeeds again, the others as much as before",
          "[balancer]") {
  Fixture fixture(2);
  const auto all = fixture.balancer.endpointSet().endpoints(service());
  for (int i = 0; i < 20; ++i) {
    fixture.now += milliseconds(200);
    ++all[0]->outstanding;
    fixture.balancer.finish(*all[0], AttemptVerdict::Shed, fixture.now);
  }
  CHECK(fixture.balancer.slotLimit(*all[0], fixture.now) == 1);
  CHECK(fixture.balancer.slotLimit(*all[1], fixture.now) == 6);
  for (int i = 0; i < 100; ++i) {
    all[0]->outstanding = fixture.balancer.slotLimit(*all[0], fixture.now);
    fixture.balancer.finish(*all[0], AttemptVerdict::Success, fixture.now);
  }
  CHECK(fixture.balancer.slotLimit(*all[0], fixture.now) == 6);
}

TEST_CASE("failures in a row eject an endpoint for a time, but never too many", "[balancer]") {
  Fixture fixture(4);
  const auto failAll = [&](const std::string& name) {
    for (const auto& endpoint : fixture.balancer.endpointSet().endpoints(service())) {
      if (endpoint->key.endpoint != name) continue;
      for (int i = 0; i < 10; ++i) fixture.balancer.finish(*endpoint, AttemptVerdict::Failure, fixture.now);
    }
  };
  failAll("e0");
  CHECK(fixture.balancer.ejections() == 1);
  CHECK(fixture.spread(200).count("e0") == 0);
  failAll("e1");
  failAll("e2");
  failAll("e3");
  // Half of four is the limit.
  CHECK(fixture.balancer.ejections() == 2);
  CHECK(fixture.spread(200).size() == 2);
  fixture.now += seconds(3);
  CHECK(fixture.spread(200).size() == 4);
}

TEST_CASE("below the panic threshold ejections are ignored", "[balancer]") {
  BalancerOptions options;
  options.ejection_limit = 1;
  Fixture fixture(3, 6, options);
  for (const auto& endpoint : fixture.balancer.endpointSet().endpoints(service())) {
    for (int i = 0; i < 10; ++i) fixture.balancer.finish(*endpoint, AttemptVerdict::Failure, fixture.now);
  }
  REQUIRE(fixture.balancer.ejections() == 3);
  CHECK(fixture.spread(200).size() == 3);
}

TEST_CASE("an endpoint that lies about its load gets no more than its part", "[balancer]") {
  Fixture fixture(3);
  std::map<std::string, int> chosen;
  std::vector<EndpointPointer> held;
  // Each attempt lasts as long as six others; the liar reports nothing to do.
  for (int i = 0; i < 600; ++i) {
    const auto endpoint = fixture.balancer.pick(service(), {}, fixture.now);
    REQUIRE(endpoint != nullptr);
    ++chosen[endpoint->key.endpoint];
    held.push_back(endpoint);
    if (held.size() <= 9) continue;
    const auto& done = held.front();
    const bool lies = done->key.endpoint == "e0";
    const double load = lies ? 0 : 0.3 + static_cast<double>(done->outstanding) / done->slots;
    Balancer::onLoadReport(*done, load, fixture.now);
    fixture.balancer.finish(*done, AttemptVerdict::Success, fixture.now);
    held.erase(held.begin());
    fixture.now += milliseconds(1);
  }
  CHECK(chosen["e0"] < 600 / 3 * 1.25);
}

TEST_CASE("reports below what the proxy itself has in work lose their weight", "[balancer]") {
  LoadEstimate load;
  const TimePoint now{seconds(1000)};
  load.onReport(0, 0.1, now);
  CHECK(load.trust() == 1);
  for (int i = 0; i < 3; ++i) load.onReport(0, 0.8, now);
  CHECK(load.trust() < 0.2);
  CHECK(load.othersLoad(now, seconds(1)) > 0.2);
  load.onShed(now);
  CHECK(load.othersLoad(now, seconds(1)) == Approx(1));
  LoadEstimate idle;
  idle.onReport(0, 0, now);
  idle.onShed(now);
  CHECK(idle.trust() < 1);
}

TEST_CASE("a retry goes to another endpoint and another zone while there is one", "[balancer]") {
  Fixture fixture(2);
  const auto first = fixture.balancer.pick(service(), {}, fixture.now);
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.balancer.pick(service(), {{first}, ""}, fixture.now)->key != first->key);
  }
}

}  // namespace
}  // namespace cometstand::proxy
