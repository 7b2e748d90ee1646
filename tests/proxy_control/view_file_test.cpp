#include "proxy/view_file.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "proxy_control/proxy_fixture.h"

namespace cometstand::proxy::test {
namespace {

using Bytes = std::vector<std::uint8_t>;

/// A view and the deltas that follow it, one version each; every delta changes the secret.
struct History {
  explicit History(std::size_t deltas) {
    views.push_back(view::selectView(ProxyFixture::changesAt(10), "proxy-1", 10));
    file = encodeViewFile(*views.back());
    for (std::size_t i = 0; i < deltas; ++i) append();
  }

  void append() {
    const auto& base = *views.back();
    const auto version = base.version() + 1;
    const auto change = view::test::changeAt(
        version, config::test::putSecret("napisy", "token", "value " + std::to_string(version)));
    view::ViewBuilder builder(base);
    builder.apply(change);
    views.push_back(builder.finish(version));
    wire::ViewDeltaT delta;
    delta.from_version = base.version();
    delta.to_version = version;
    delta.digest = views.back()->digest().toWire();
    delta.changes = {change};
    ends.push_back(file.size());
    records.push_back(encodeViewDelta(delta));
    file.insert(file.end(), records.back().begin(), records.back().end());
  }

  std::vector<view::ViewPointer> views;
  std::vector<Bytes> records;
  /// Where each record begins, and so what a crash before it left.
  std::vector<std::size_t> ends;
  Bytes file;
};

TEST_CASE("a view file gives the view that its last delta led to") {
  const History history(5);
  const auto view = decodeViewFile(history.file);
  CHECK(view->version() == history.views.back()->version());
  CHECK(view->digest() == history.views.back()->digest());
  CHECK(view->nodeName() == "proxy-1");
}

TEST_CASE("a record cut short by a crash leaves the view before it") {
  const History history(3);
  const auto last = history.ends.back();
  for (std::size_t size = last; size < history.file.size(); ++size) {
    const auto view = decodeViewFile(std::span(history.file).first(size));
    CHECK(view->version() == history.views[2]->version());
  }
  CHECK_THROWS_AS(decodeViewFile(std::span(history.file).first(history.ends.front() - 1)), Error);
}

TEST_CASE("no damaged byte makes an older view out of the file") {
  const History history(2);
  for (std::size_t i = 0; i < history.file.size(); ++i) {
    auto damaged = history.file;
    damaged[i] ^= 0x10U;
    CHECK_THROWS_AS(decodeViewFile(damaged), Error);
  }
}

TEST_CASE("a delta that does not follow the one before is damage") {
  const History history(2);
  auto file = Bytes(history.file.begin(), history.file.begin() + static_cast<long>(history.ends[0]));
  file.insert(file.end(), history.records[1].begin(), history.records[1].end());
  CHECK_THROWS_AS(decodeViewFile(file), Error);
}

TEST_CASE("deltas are appended until they outweigh the view") {
  const History history(1);
  ViewFileLayout layout;
  CHECK(layout.next(*history.views[0], history.records[0]).mode == runtime::FileWriteMode::Replace);
  std::size_t appended = 0;
  for (;;) {
    const auto order = layout.next(*history.views[1], history.records[0]);
    if (order.mode == runtime::FileWriteMode::Replace) break;
    appended += order.bytes.size();
    REQUIRE(appended <= ViewFileLayout::kMinimumLogBytes);
  }
  CHECK(appended > ViewFileLayout::kMinimumLogBytes - history.records[0].size());
  CHECK(layout.next(*history.views[1], history.records[0]).mode == runtime::FileWriteMode::Append);
  CHECK(layout.next(*history.views[1], {}).mode == runtime::FileWriteMode::Replace);
}

TEST_CASE("a proxy restarts with every delta that it had in force, and writes whole after that") {
  MemoryFiles disk;
  const History history(4);
  auto torn = history.file;
  torn.push_back(0);
  disk.apply({runtime::WriteId{1}, kViewFile, runtime::FileWriteMode::Replace, torn});
  ProxyFixture proxy(disk);
  CHECK(proxy.core.currentView()->version() == history.views.back()->version());
  const auto link = proxy.connect();
  proxy.sendSnapshot(link, 30);
  REQUIRE(proxy.driver.writes().size() == 1);
  CHECK(proxy.driver.writes().front().mode == runtime::FileWriteMode::Replace);
}

}  // namespace
}  // namespace cometstand::proxy::test
