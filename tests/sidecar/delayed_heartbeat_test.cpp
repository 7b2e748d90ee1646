// Tests of heartbeats and refusals that arrive after their target has ended and another one runs in its
// place.
#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

/// A sidecar beside the target "running", which has registered after the target "ended" has crashed.
class DelayedFixture : public SidecarFixture {
 public:
  DelayedFixture() { configure(); }

  void beat(const std::string& id, std::uint64_t sequence) {
    core.onHeartbeat(makeHeartbeat(id, sequence), now);
    step();
  }

  void finishRun(const RunRequest& order, bool is_mismatch) {
    RunResult result;
    result.reply.outcome = is_mismatch ? wire::ForwardOutcome::NotRun : wire::ForwardOutcome::Answered;
    result.reply.status = 200;
    result.instance_mismatch = is_mismatch;
    core.onRunResult(order.id, result, now);
    step();
  }

  const std::string& currentId() const { return core.gate().target().incarnation().id; }
  bool isReady() const { return core.gate().target().condition() == TargetCondition::Ready; }
};

}  // namespace

// Guards against a running target that gets no requests for good because a refusal of the target before it is
// taken for its own.
TEST_CASE_METHOD(DelayedFixture,
                 "a late refusal of a request for an ended target does not exclude the running one",
                 "[incarnation]") {
  beat("ended", 9);
  call("/read/1");
  REQUIRE(target.orders.size() == 1);
  beat("running", 1);
  finishRun(target.orders[0], true);
  CHECK(currentId() == "running");
  CHECK(isReady());
  beat("running", 2);
  CHECK(isReady());
  call("/read/2");
  REQUIRE(target.orders.size() == 2);
  CHECK(target.orders[1].instance == "running");
  // The refusal shows that the first target is gone, so its delayed heartbeats do not count.
  beat("ended", 10);
  CHECK(currentId() == "running");
}

}  // namespace cometstand::sidecar::test
