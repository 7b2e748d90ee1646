// A proxy's view: never older, whole, and synced to disk before it is in force.
#include <catch2/catch.hpp>

#include "proxy/view_file.h"
#include "proxy_control/proxy_fixture.h"

namespace cometstand::proxy::test {
namespace {

TEST_CASE("a view is in force only once it is synced") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  CHECK(proxy.driver.takeOne<wire::ProxyHelloT>(link).view_version == 0);
  proxy.sendSnapshot(link, 10);
  CHECK(proxy.version() == 0);
  CHECK(proxy.listener.views.empty());
  CHECK(proxy.driver.take<wire::ViewReportT>(link).empty());

  proxy.driver.store(disk);
  CHECK(proxy.version() == 10);
  CHECK(proxy.core.asOf() == 10);
  CHECK(proxy.driver.takeOne<wire::ViewReportT>(link).view_version == 10);
}

TEST_CASE("an older or equal view is refused, also after a restart") {
  MemoryFiles disk;
  {
    ProxyFixture proxy(disk);
    const LinkId link = proxy.connect();
    proxy.sendSnapshot(link, 10);
    proxy.driver.store(disk);
    proxy.sendSnapshot(link, 9);
    proxy.sendSnapshot(link, 10);
    proxy.driver.receive(link, ProxyFixture::deltaTo(8, 9));
    CHECK(proxy.driver.writes().empty());
    CHECK(proxy.version() == 10);
  }
  ProxyFixture again(disk);
  CHECK(again.version() == 10);
  CHECK(again.listener.views == std::vector<std::uint64_t>{10});
  const LinkId link = again.connect();
  const auto hello = again.driver.takeOne<wire::ProxyHelloT>(link);
  CHECK(hello.view_version == 10);
  CHECK(view::DigestSum::fromWire(hello.view_digest.get()) == again.core.currentView()->digest());
  again.sendSnapshot(link, 9);
  CHECK(again.driver.writes().empty());
  CHECK(again.version() == 10);
}

TEST_CASE("a crash between write and swap leaves the old view or the new one, whole") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  proxy.sendSnapshot(link, 10);
  proxy.driver.store(disk);
  proxy.sendSnapshot(link, 11);
  REQUIRE(proxy.driver.writes().size() == 1);
  CHECK(proxy.driver.writes().front().mode == runtime::FileWriteMode::Replace);

  MemoryFiles before = disk;
  CHECK(ProxyFixture(before).version() == 10);
  MemoryFiles after = disk;
  after.apply(proxy.driver.writes().front());
  ProxyFixture restarted(after);
  CHECK(restarted.version() == 11);
  CHECK(restarted.core.currentView()->digest() == ProxyFixture::viewAt(11)->digest());
}

TEST_CASE("a damaged view file is never used") {
  MemoryFiles disk;
  {
    ProxyFixture proxy(disk);
    const LinkId link = proxy.connect();
    proxy.sendSnapshot(link, 10);
    proxy.driver.store(disk);
  }
  auto& bytes = disk.bytes(disk.list().at(0));
  SECTION("cut short") { bytes.resize(bytes.size() / 2); }
  SECTION("one bit turned") { bytes[bytes.size() / 2] ^= 1; }
  SECTION("empty") { bytes.clear(); }
  ProxyFixture again(disk);
  CHECK(again.version() == 0);
  const LinkId link = again.connect();
  CHECK(again.driver.takeOne<wire::ProxyHelloT>(link).view_version == 0);
}

TEST_CASE("a view of another node is refused") {
  MemoryFiles disk;
  auto options = controlOptions();
  options.node = "proxy-2";
  ProxyFixture proxy(disk, options);
  const LinkId link = proxy.connect();
  proxy.sendSnapshot(link, 10);
  CHECK(proxy.driver.writes().empty());
  CHECK(proxy.driver.takeOne<wire::ViewReportT>(link).result == wire::ViewResult::SnapshotNeeded);
}

TEST_CASE("a delta that does not fit brings a request for a snapshot") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  proxy.sendSnapshot(link, 10);
  proxy.driver.store(disk);
  proxy.driver.take<wire::ViewReportT>(link);

  auto delta = ProxyFixture::deltaTo(10, 12);
  SECTION("its digest differs") { delta.digest = ProxyFixture::viewAt(11)->digest().toWire(); }
  SECTION("it starts elsewhere") { delta.from_version = 11; }
  proxy.driver.receive(link, delta);
  CHECK(proxy.driver.writes().empty());
  const auto report = proxy.driver.takeOne<wire::ViewReportT>(link);
  CHECK(report.result == wire::ViewResult::SnapshotNeeded);
  CHECK(report.view_version == 10);
  proxy.sendSnapshot(link, 12);
  proxy.driver.store(disk);
  CHECK(proxy.version() == 12);
}

TEST_CASE("views that come while one is being written build on it; the one in between is skipped") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  proxy.sendSnapshot(link, 10);
  proxy.driver.receive(link, ProxyFixture::deltaTo(10, 11));
  proxy.driver.receive(link, ProxyFixture::deltaTo(11, 12));
  CHECK(proxy.driver.writes().size() == 1);
  proxy.driver.store(disk);
  CHECK(proxy.version() == 10);
  proxy.driver.store(disk);
  CHECK(proxy.version() == 12);
  CHECK(proxy.listener.views == std::vector<std::uint64_t>{10, 12});
}

TEST_CASE("a beat counts only for the view that is in force") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  proxy.sendBeat(link, 0, 50, 1);
  CHECK(proxy.core.asOf() == 0);
  proxy.sendSnapshot(link, 10);
  proxy.driver.store(disk);
  proxy.driver.receive(link, ProxyFixture::deltaTo(10, 12));
  proxy.sendBeat(link, 12, 20, 2);
  CHECK(proxy.core.asOf() == 10);
  proxy.driver.store(disk);
  CHECK(proxy.core.asOf() == 20);
  proxy.sendBeat(link, 12, 15, 3);
  CHECK(proxy.core.asOf() == 20);
}

TEST_CASE("a proxy whose disk fails keeps the view in force and takes no other") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  const LinkId link = proxy.connect();
  proxy.sendSnapshot(link, 10);
  proxy.driver.store(disk);
  proxy.sendSnapshot(link, 11);
  proxy.core.onFileFailed(proxy.driver.writes().at(0).id, "disk full", proxy.driver.now());
  proxy.driver.writes().clear();
  proxy.sendSnapshot(link, 12);
  CHECK(proxy.driver.writes().empty());
  CHECK(proxy.version() == 10);
}

}  // namespace
}  // namespace cometstand::proxy::test
