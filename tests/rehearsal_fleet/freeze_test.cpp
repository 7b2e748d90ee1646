// A leader that is frozen for longer than the election timeout.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <future>

#include "rehearsal/fleet/wait_until.h"
#include "rehearsal_fleet/small_fleet.h"

namespace cometstand::rehearsal {
namespace {

constexpr Duration kPatience = std::chrono::seconds(60);

TEST_CASE("a leader that was frozen answers nothing from its old state", "[fleet][freeze]") {
  SmallFleet fleet("freeze");
  const auto old_version = fleet.addRoute("old");
  Member& frozen = fleet->waitForLeader();
  const auto replica = static_cast<std::size_t>(fleet->storeId(frozen) - 1);
  frozen.freeze();

  // Both reach the frozen leader's socket now and are read by it when it wakes.
  auto reader = fleet->tenantOperator();
  auto writer = fleet->otherOperator();
  const std::string stale_change = routeChange(fleet->deployment(), "stale")
                                       .replace(0, 6, fmt::format("change if version {}", old_version));
  auto query = std::async(std::launch::async, [&] {
    return reader.tryOnce(replica, reader.newRequestId(), "show version", kPatience);
  });
  auto change = std::async(std::launch::async, [&] {
    return writer.tryOnce(replica, writer.newRequestId(), stale_change, kPatience);
  });

  const auto version = fleet.addRoute("while-frozen");
  CHECK(version == old_version + 1);
  fleet.waitInForce(version);
  frozen.thaw();

  const CommandResult seen = query.get();
  INFO("query: " << seen.text());
  CHECK((!seen.completed() || seen.reply.version >= version));
  const CommandResult changed = change.get();
  INFO("change: " << changed.text());
  CHECK_FALSE(changed.completed());
  fleet->waitForReplica(frozen);
  CHECK(fleet->administrator().mustRun("show version") == version);
  CHECK(fleet.allServe("/while-frozen"));
  CHECK_FALSE(fleet.allServe("/stale"));
}

}  // namespace
}  // namespace cometstand::rehearsal
