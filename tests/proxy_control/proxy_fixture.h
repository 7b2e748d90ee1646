#pragma once

#include <memory>
#include <string>
#include <vector>

#include "proxy/control_core.h"
#include "runtime/core_driver.h"
#include "view/changes.h"
#include "view/view_builder.h"

namespace cometstand::proxy::test {

using runtime::ConnectOrder;
using runtime::LinkId;
using runtime::test::CoreDriver;
using runtime::test::MemoryFiles;

/// Remembers what the data path heard.
class RecordingListener : public ControlListener {
 public:
  struct ClaimAnswer {
    std::uint64_t callback;
    wire::ClaimReplyT reply;
  };
  void onView(const view::ViewPointer& view) override { views.push_back(view->version()); }
  void onEndpointRecords(const std::vector<EndpointRecordPointer>& records) override {
    endpoint_records += records.size();
  }
  void onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) override {
    answers.push_back({callback, reply});
  }
  void onStopOrder() override { ++stop_orders; }

  std::vector<std::uint64_t> views;
  std::vector<ClaimAnswer> answers;
  std::size_t endpoint_records = 0;
  int stop_orders = 0;
};

inline ControlOptions controlOptions() {
  ControlOptions options;
  options.node = "proxy-1";
  options.zone = "krk-a";
  options.relays = {{{"10.0.0.1", 7001}, "krk-a"}, {{"10.0.0.2", 7002}, "krk-b"}};
  return options;
}

/// One proxy's control core, whose relay, disk and clock the test plays. The node holds tenant "napisy".
struct ProxyFixture {
  explicit ProxyFixture(MemoryFiles& disk, ControlOptions options = controlOptions())
      : files(disk), core(std::move(options), &listener), driver(core) {
    driver.start(files);
  }

  /// @return a link to a relay that the proxy opened and said hello on.
  LinkId connect() {
    const ConnectOrder order = driver.takeConnect();
    address = order.address;
    driver.open(order.link);
    return order.link;
  }

  /// Sends a snapshot of the version, whose secret's value is the version.
  void sendSnapshot(LinkId link, std::uint64_t version) { driver.receive(link, snapshotAt(version)); }

  void sendBeat(LinkId link, std::uint64_t view_version, std::uint64_t as_of, std::uint64_t round) {
    wire::ViewBeatT beat;
    beat.view_version = view_version;
    beat.as_of = as_of;
    beat.term = 1;
    beat.round = round;
    driver.receive(link, beat);
  }

  static std::vector<view::ChangePointer> changesAt(std::uint64_t version) {
    auto changes = view::test::tenantChanges("napisy");
    changes[2] = view::test::changeAt(
        version, config::test::putSecret("napisy", "token", "value " + std::to_string(version)));
    changes.push_back(view::test::nodeChange("proxy-1", {"napisy"}));
    return changes;
  }

  static view::ViewPointer viewAt(std::uint64_t version) {
    return view::selectView(changesAt(version), "proxy-1", version);
  }

  static wire::ViewSnapshotT snapshotAt(std::uint64_t version) { return viewAt(version)->toSnapshot(); }

  static wire::ViewDeltaT deltaTo(std::uint64_t from, std::uint64_t version) {
    wire::ViewDeltaT delta;
    delta.from_version = from;
    delta.to_version = version;
    delta.as_of = version;
    delta.changes = {changesAt(version)[2]};
    delta.digest = viewAt(version)->digest().toWire();
    return delta;
  }

  /// @return the version in force.
  std::uint64_t version() const { return core.currentView()->version(); }

  MemoryFiles& files;
  RecordingListener listener;
  ControlCore core;
  CoreDriver driver;
  /// Where the last connect() went.
  runtime::Address address;
};

}  // namespace cometstand::proxy::test
