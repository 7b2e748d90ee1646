#include "sidecar/quarantine.h"

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

class QuarantineFixture : public SidecarFixture {
 public:
  QuarantineFixture() {
    configure();
    addPeer(kPeer);
    addPeer(kOtherPeer);
  }

  static ForwardRequestPointer makeRequest(const std::string& target) {
    auto request = std::make_shared<wire::ForwardRequestT>();
    request->service = "shop";
    request->method = "GET";
    request->target = target;
    return request;
  }

  static wire::QuarantineUpdateT makeUpdate(const std::string& target, wire::ContentState state,
                                            std::uint64_t number) {
    wire::QuarantineUpdateT update;
    update.number = number;
    auto notice = std::make_shared<wire::ContentNoticeT>();
    notice->digest = mesh::writeDigest(mesh::digestsOf(*makeRequest(target)).exact);
    notice->state = state;
    notice->number = number;
    update.notices.push_back(notice);
    return update;
  }

  std::vector<wire::CrashReportT> reports() {
    std::vector<wire::CrashReportT> reports;
    std::erase_if(sent, [&](const auto& message) {
      const auto* report = message.message->body.AsCrashReport();
      if (report != nullptr) reports.push_back(*report);
      return report != nullptr;
    });
    return reports;
  }

  std::size_t clearances() {
    return static_cast<std::size_t>(std::erase_if(
        sent, [](const auto& message) { return message.message->body.AsContentClearance() != nullptr; }));
  }

  /// Sends a request to the sidecar's own target, which ends while it has the request.
  void crashTargetWith(const std::string& path, const std::string& instance) {
    core.onHeartbeat(makeHeartbeat(instance, 1), now);
    step();
    addPeer(kPeer, wire::EndpointState::Leaving);
    addPeer(kOtherPeer, wire::EndpointState::Leaving);
    call(path);
    const auto order = target.orders.back();
    RunResult broken;
    broken.reply.outcome = wire::ForwardOutcome::Unknown;
    core.onRunResult(order.id, broken, now);
    core.onProbed(ProbeOutcome::Refused, now);
    step();
  }
};

}  // namespace

TEST_CASE_METHOD(QuarantineFixture, "a quarantined request is refused at once and not forwarded") {
  deliver(kStore, makeUpdate("/read/x", wire::ContentState::Quarantined, 1));
  const auto refused = call("/read/x");
  CHECK(callers.answers.at(refused).outcome == CallOutcome::Quarantined);
  CHECK(callers.answers.at(refused).retry_after == Duration::zero());
  CHECK(forwardsTo(kPeer).empty());
  CHECK(forwardsTo(kOtherPeer).empty());
  call("/read/y");
  CHECK(forwardsTo(kPeer).size() + forwardsTo(kOtherPeer).size() == 1);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "a sender without the quarantine entry is refused by the gate and tries no other endpoint") {
  const auto id = call("/read/x");
  auto numbers = forwardsTo(kPeer);
  const bool at_peer = !numbers.empty();
  if (!at_peer) numbers = forwardsTo(kOtherPeer);
  wire::ForwardReplyT answer;
  answer.outcome = wire::ForwardOutcome::NotRun;
  answer.reason = wire::NotRunReason::Quarantined;
  deliver(at_peer ? kPeer : kOtherPeer, answer, numbers.at(0));
  CHECK(callers.answers.at(id).outcome == CallOutcome::Quarantined);
}

TEST_CASE_METHOD(QuarantineFixture, "a suspected request that may have run is not retried") {
  deliver(kStore, makeUpdate("/read/x", wire::ContentState::Suspected, 1));
  const auto id = call("/read/x");
  auto numbers = forwardsTo(kPeer);
  const bool at_peer = !numbers.empty();
  if (!at_peer) numbers = forwardsTo(kOtherPeer);
  reply(at_peer ? kPeer : kOtherPeer, numbers.at(0), wire::ForwardOutcome::Unknown);
  CHECK(callers.answers.at(id).outcome == CallOutcome::Failed);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "an update of a lagging store is ignored, and a release ends the quarantine") {
  deliver(kStore, makeUpdate("/read/x", wire::ContentState::Quarantined, 5));
  deliver(kStore, makeUpdate("/read/x", wire::ContentState::Released, 4));
  CHECK(callers.answers.at(call("/read/x")).outcome == CallOutcome::Quarantined);
  deliver(kStore, makeUpdate("/read/x", wire::ContentState::Released, 6));
  CHECK_FALSE(callers.answers.contains(call("/read/x")));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "the end of the target is reported until a store acknowledges the report") {
  crashTargetWith("/read/x", "a");
  const auto first = reports();
  REQUIRE(first.size() == 1);
  CHECK(first.at(0).instance == "a");
  REQUIRE(first.at(0).suspects.size() == 1);
  advance(milliseconds(600));
  CHECK(reports().size() == 1);
  wire::CrashReportT taken;
  taken.instance = "a";
  deliver(kStore, taken);
  advance(milliseconds(2'000));
  CHECK(reports().empty());
}

TEST_CASE_METHOD(QuarantineFixture,
                 "requests that the target completed recently are not suspected when it ends") {
  std::size_t reported = 0;
  Quarantine tested([&reported](const runtime::MessagePointer& message) {
    reported += message->body.AsCrashReport()->suspects.size();
  });
  tested.onCompleted(*makeRequest("/read/popular"), {"a"}, now);
  tested.onTargetEnded({{"a"}, {makeRequest("/read/popular"), makeRequest("/read/x")}}, "shop", now);
  CHECK(reported == 1);
  // The next target has not completed the request yet.
  tested.onTargetEnded({{"b"}, {makeRequest("/read/popular")}}, "shop", now + std::chrono::seconds(1));
  CHECK(reported == 2);
}

TEST_CASE_METHOD(QuarantineFixture, "a suspected request that completes is reported as cleared") {
  deliver(kStore, makeUpdate("/read/x", wire::ContentState::Suspected, 3));
  core.onHeartbeat(makeHeartbeat("a", 1), now);
  step();
  addPeer(kPeer, wire::EndpointState::Leaving);
  addPeer(kOtherPeer, wire::EndpointState::Leaving);
  call("/read/x");
  RunResult answered;
  answered.reply.outcome = wire::ForwardOutcome::Answered;
  answered.reply.status = 200;
  core.onRunResult(target.orders.back().id, answered, now);
  step();
  CHECK(clearances() == 1);
}

}  // namespace cometstand::sidecar::test
