#include "store/leave_notice_register.h"

#include <catch2/catch.hpp>
#include <string>

#include "store/state_machine.h"

namespace cometstand::store {
namespace {

std::vector<std::uint8_t> makeEntry(const wire::LeaveNoticeT& notice) {
  wire::StoreCommandBatchT batch;
  auto command = std::make_shared<wire::StoreCommandT>();
  command->body.Set(wire::LeaveNoticeT(notice));
  batch.commands.push_back(std::move(command));
  return encodeBatch(batch);
}

}  // namespace

TEST_CASE("a leave notice is recorded once for its node and incarnation") {
  LeaveNoticeRegister notices;
  CHECK(notices.apply(makeLeaveNotice("node-1", {"a", 5})) == LeaveNoticeResult::Recorded);
  CHECK(notices.apply(makeLeaveNotice("node-1", {"a", 5})) == LeaveNoticeResult::Known);
  CHECK(notices.contains("node-1", {"a", 5}));
  CHECK_FALSE(notices.contains("node-1", {"a", 6}));
  CHECK_FALSE(notices.contains("node-2", {"a", 5}));
  CHECK(notices.noticesOf("node-1") == std::vector<mesh::Incarnation>{{"a", 5}});
  CHECK(notices.noticesOf("node-2").empty());
}

TEST_CASE("one node cannot displace the leave notices of others") {
  LeaveNoticeRegister notices;
  notices.apply(makeLeaveNotice("node-1", {"a", 1}));
  for (std::uint64_t born = 1; born <= 1'000; ++born) notices.apply(makeLeaveNotice("node-2", {"b", born}));
  CHECK(notices.contains("node-1", {"a", 1}));
  CHECK(notices.noticesOf("node-2").size() == LeaveNoticeRegister::kMaxNoticesPerNode);
  CHECK(notices.contains("node-2", {"b", 1'000}));
}

TEST_CASE("beyond the limit the oldest leave notice is dropped") {
  LeaveNoticeRegister notices;
  const auto name = [](std::size_t node) { return "node-" + std::to_string(node); };
  for (std::size_t node = 0; node <= LeaveNoticeRegister::kMaxNotices; ++node)
    notices.apply(makeLeaveNotice(name(node), {"a", 1}));
  CHECK(notices.size() == LeaveNoticeRegister::kMaxNotices);
  CHECK_FALSE(notices.contains(name(0), {"a", 1}));
  CHECK(notices.contains(name(1), {"a", 1}));
}

TEST_CASE("leave notices are part of the state of a snapshot, with their order") {
  StateMachine state;
  for (std::uint64_t born = 1; born <= LeaveNoticeRegister::kMaxNoticesPerNode; ++born)
    state.apply(makeEntry(makeLeaveNotice("node-1", {"a", born})));
  StateMachine restored;
  restored.restore(state.save());
  CHECK(restored.save() == state.save());
  for (auto* machine : {&state, &restored}) machine->apply(makeEntry(makeLeaveNotice("node-1", {"b", 1})));
  CHECK(restored.leaveNotices().noticesOf("node-1") == state.leaveNotices().noticesOf("node-1"));
  CHECK_FALSE(restored.leaveNotices().contains("node-1", {"a", 1}));
}

TEST_CASE("a state without leave notices is restored from the bytes that were saved before there were any") {
  StateMachine state;
  state.apply(makeEntry(makeLeaveNotice("node-1", {"a", 1})));
  state.restore(StateMachine().save());
  CHECK(state.leaveNotices().size() == 0);
}

}  // namespace cometstand::store
