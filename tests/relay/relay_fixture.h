#pragma once

#include <memory>
#include <string>
#include <vector>

#include "relay/relay_core.h"
#include "runtime/core_driver.h"
#include "view/changes.h"

namespace cometstand::relay::test {

using runtime::ConnectOrder;
using runtime::LinkId;
using runtime::test::CoreDriver;
using runtime::test::MemoryFiles;
using std::chrono::milliseconds;
using std::chrono::seconds;
using view::ChangePointer;
using view::test::changeAt;
using view::test::nodeChange;

inline runtime::Address storeAddress() { return {"10.0.1.1", 6001}; }
inline runtime::Address peerAddress() { return {"10.0.0.2", 7002}; }

inline RelayOptions relayOptions() {
  RelayOptions options;
  options.name = "relay-a1";
  options.zone = "krk-a";
  options.region = "krk";
  options.advertise = {"10.0.0.1", 7001};
  options.stores = {storeAddress()};
  options.peers = {peerAddress()};
  return options;
}

/// One relay, whose store, peers, proxies and clock the test plays.
struct RelayFixture {
  explicit RelayFixture(const RelayOptions& options = relayOptions()) : core(options), driver(core) {
    driver.start(files);
    while (!store || !peer_out) takeConnects();
  }

  /// Sorts the connects asked for so far: to the store, or to the peer.
  void takeConnects() {
    const ConnectOrder order = driver.takeConnect();
    (order.address == peerAddress() ? peer_out : store) = order.link;
    address = order.address;
  }

  /// Opens the link to the store and gives it the configuration: two tenants with a service each, and nodes
  /// proxy-1 to proxy-3 of "napisy" and proxy-4 of "protokoly", at version 10.
  void follow() {
    driver.open(*store);
    driver.receive(*store, snapshot(10, configuration()));
    beat(10);
  }

  static std::vector<ChangePointer> configuration() {
    auto changes = view::test::tenantChanges("napisy");
    for (const auto& change : view::test::tenantChanges("protokoly")) changes.push_back(change);
    for (const char* node : {"proxy-1", "proxy-2", "proxy-3"})
      changes.push_back(nodeChange(node, {"napisy"}));
    changes.push_back(nodeChange("proxy-4", {"protokoly"}));
    return changes;
  }

  static wire::ConfigurationSnapshotT snapshot(std::uint64_t version, std::vector<ChangePointer> changes) {
    wire::ConfigurationSnapshotT result;
    result.version = version;
    result.changes = std::move(changes);
    return result;
  }

  /// Sends one change of a tenant's secret as the next version.
  void changeSecret(const std::string& tenant, std::uint64_t version, const std::string& name = "token") {
    receiveDelta({changeAt(version, config::test::putSecret(tenant, name, std::to_string(version)))},
                 version);
  }

  void receiveDelta(std::vector<ChangePointer> changes, std::uint64_t version) {
    wire::ConfigurationDeltaT delta;
    delta.from_version = core.version();
    delta.to_version = version;
    delta.changes = std::move(changes);
    driver.receive(*store, delta);
  }

  void beat(std::uint64_t version) {
    wire::QuorumBeatT message;
    message.term = 1;
    message.round = ++round;
    message.version = version;
    driver.receive(*store, message);
  }

  /// Lets time pass with a beat from the store each second.
  void advanceWithBeats(int seconds_count) {
    for (int i = 0; i < seconds_count; ++i) {
      driver.advance(seconds(1));
      beat(core.version());
    }
  }

  /// Lets a proxy say hello with the view that the relay has for it at the given version, or without one.
  LinkId join(const std::string& node, std::uint64_t version = 0, const view::DigestSum& digest = {}) {
    const LinkId link = driver.accept();
    wire::ProxyHelloT hello;
    hello.node = node;
    hello.zone = "krk-a";
    hello.view_version = version;
    hello.view_digest = digest.toWire();
    driver.receive(link, std::move(hello));
    return link;
  }

  /// Joins without a view, answers the relay's question to the store, and acknowledges the view.
  LinkId serve(const std::string& node) {
    const LinkId link = join(node);
    answerFreshness(core.version());
    const auto sent = driver.takeOne<wire::ViewSnapshotT>(link);
    acknowledge(link, sent.version);
    driver.take<wire::ViewBeatT>(link);
    return link;
  }

  void answerFreshness(std::uint64_t version) {
    if (driver.take<wire::FreshnessRequestT>(*store).empty()) return;
    wire::QuorumBeatT answer;
    answer.term = 1;
    answer.round = ++round;
    answer.version = version;
    driver.receive(*store, answer, driver.lastRequestId());
  }

  void acknowledge(LinkId link, std::uint64_t version) {
    wire::ViewReportT report;
    report.view_version = version;
    report.as_of = version;
    driver.receive(link, report);
  }

  /// @return a link on which another relay has said hello.
  LinkId joinPeer(const std::string& name, const std::string& zone) {
    const LinkId link = driver.accept();
    wire::RelayHelloT hello;
    hello.relay = name;
    hello.zone = zone;
    driver.receive(link, std::move(hello));
    return link;
  }

  MemoryFiles files;
  RelayCore core;
  CoreDriver driver;
  /// Links that the relay opens.
  std::optional<LinkId> store;
  std::optional<LinkId> peer_out;
  /// Where the last connect went.
  runtime::Address address;
  std::uint64_t round = 0;
};

}  // namespace cometstand::relay::test
