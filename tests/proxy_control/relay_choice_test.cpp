// Which relay a proxy uses: silence, refusals, stale relays, goodbyes and a planned stop.
#include <catch2/catch.hpp>

#include "proxy_control/proxy_fixture.h"

namespace cometstand::proxy::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A proxy at version 10 that a relay serves.
struct ServedProxy {
  explicit ServedProxy(MemoryFiles& disk) : proxy(disk) {
    link = proxy.connect();
    first = proxy.address;
    proxy.sendSnapshot(link, 10);
    proxy.driver.store(disk);
    proxy.sendBeat(link, 10, 10, 1);
  }
  ProxyFixture proxy;
  LinkId link{};
  runtime::Address first;
};

wire::RefusalT refusal(std::uint32_t retry_after_ms, const std::vector<runtime::Address>& alternatives = {}) {
  wire::RefusalT result;
  result.error = std::make_shared<wire::ErrorInfoT>();
  result.error->retry_after_ms = retry_after_ms;
  for (const auto& address : alternatives) {
    result.alternatives.push_back(std::make_shared<wire::NetworkAddressT>());
    result.alternatives.back()->address = address.host;
    result.alternatives.back()->port = address.port;
  }
  return result;
}

TEST_CASE("a proxy prefers its zone's relay and changes relay when beats stop") {
  MemoryFiles disk;
  ServedProxy served(disk);
  auto& driver = served.proxy.driver;
  CHECK(served.first.host == "10.0.0.1");
  for (int beat = 2; beat < 10; ++beat) {
    driver.advance(seconds(1));
    served.proxy.sendBeat(served.link, 10, 10, static_cast<std::uint64_t>(beat));
  }
  CHECK(driver.connects().empty());
  CHECK(served.proxy.core.connected());

  const LinkId next = served.proxy.connect();
  CHECK(driver.closed(served.link));
  CHECK(driver.takeOne<wire::ProxyHelloT>(next).view_version == 10);
  CHECK_FALSE(served.proxy.core.connected());
  CHECK(served.proxy.version() == 10);
}

TEST_CASE("a refused proxy comes back when it was told to, where it was told to") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  const runtime::Address elsewhere{"10.0.0.9", 7009};
  const auto refused_at = proxy.driver.now();
  proxy.driver.receive(link, refusal(2000, {elsewhere}));
  CHECK(proxy.driver.closed(link));
  const auto order = proxy.driver.takeConnect();
  CHECK(order.address == elsewhere);
  CHECK(proxy.driver.now() - refused_at >= seconds(2));
  CHECK(proxy.driver.now() - refused_at <= seconds(3));
}

TEST_CASE("a silent candidate is given up") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  proxy.driver.advance(seconds(11));
  CHECK(proxy.driver.closed(link));
  CHECK_NOTHROW(proxy.driver.takeConnect());
}

TEST_CASE("a proxy moves from a stale relay to one that knows a later round, not to another stale one") {
  MemoryFiles disk;
  ServedProxy served(disk);
  auto& driver = served.proxy.driver;
  const auto beat_until_connect = [&] {
    while (driver.connects().empty()) {
      driver.advance(milliseconds(500));
      served.proxy.sendBeat(served.link, 10, 10, 1);
    }
    return served.proxy.connect();
  };
  const LinkId stale = beat_until_connect();
  CHECK(served.proxy.address.host == "10.0.0.2");
  served.proxy.sendBeat(stale, 10, 10, 1);
  CHECK(driver.closed(stale));
  CHECK_FALSE(driver.closed(served.link));

  const LinkId fresh = beat_until_connect();
  served.proxy.sendBeat(fresh, 10, 11, 2);
  CHECK(driver.closed(served.link));
  CHECK(served.proxy.core.asOf() == 11);
}

TEST_CASE("a goodbye leaves no gap: the old relay serves until the next one does") {
  MemoryFiles disk;
  ServedProxy served(disk);
  auto& driver = served.proxy.driver;
  driver.receive(served.link, wire::GoodbyeT());
  const LinkId next = served.proxy.connect();
  CHECK(served.proxy.address.host == "10.0.0.2");
  driver.receive(served.link, ProxyFixture::deltaTo(10, 11));
  driver.store(disk);
  CHECK(served.proxy.version() == 11);
  CHECK_FALSE(driver.closed(served.link));
  served.proxy.sendBeat(next, 11, 11, 1);
  CHECK(driver.closed(served.link));
  CHECK(served.proxy.core.connected());
}

TEST_CASE("a hello names only what is synced") {
  MemoryFiles disk;
  ServedProxy served(disk);
  auto& driver = served.proxy.driver;
  driver.receive(served.link, wire::GoodbyeT());
  driver.receive(served.link, ProxyFixture::deltaTo(10, 11));
  const LinkId next = served.proxy.connect();
  CHECK(driver.take<wire::ProxyHelloT>(next).empty());
  driver.store(disk);
  CHECK(driver.takeOne<wire::ProxyHelloT>(next).view_version == 11);
}

TEST_CASE("a planned stop says goodbye and ends once no claim is under way") {
  MemoryFiles disk;
  ServedProxy served(disk);
  auto& driver = served.proxy.driver;
  wire::ClaimFinishT finish;
  finish.tenant = "napisy";
  served.proxy.core.finishClaim(finish, driver.now());
  served.proxy.core.beginStop(driver.now());
  driver.collect();
  CHECK(driver.take<wire::GoodbyeT>(served.link).size() == 1);
  CHECK_FALSE(served.proxy.core.stopped());
  driver.take<wire::ClaimFinishT>(served.link);
  driver.receive(served.link, wire::ClaimReplyT(), driver.lastRequestId());
  CHECK(served.proxy.core.stopped());
}

TEST_CASE("an operator's stop order reaches the data path") {
  MemoryFiles disk;
  ServedProxy served(disk);
  served.proxy.driver.receive(served.link, wire::StopOrderT());
  CHECK(served.proxy.listener.stop_orders == 1);
}

}  // namespace
}  // namespace cometstand::proxy::test
