// Requests with large bodies between two sidecars: announcement, credit, sending in parts, cancellation.
#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

constexpr std::size_t kLargeBodyBytes = 30'000;
/// A link that another sidecar opened.
constexpr runtime::LinkId kIncoming{runtime::kFirstIncomingLink};

struct LargeBodyFixture : SidecarFixture {
  CallId upload(std::size_t bytes = kLargeBodyBytes) {
    Call request;
    request.host = "shop.example";
    request.request.target = "/write/1";
    request.request.method = "POST";
    request.request.request_id = "r" + std::to_string(++last_call);
    request.request.body.assign(bytes, 'x');
    const CallId id{last_call};
    core.onCall(id, std::move(request), now);
    step();
    return id;
  }

  /// @return the latest sent message of the type, which must exist.
  const wire::EnvelopeT& last(wire::Body type) {
    const auto found = std::find_if(sent.rbegin(), sent.rend(),
                                    [type](const auto& item) { return item.message->body.type == type; });
    REQUIRE(found != sent.rend());
    return *found->message;
  }

  std::size_t count(wire::Body type) const {
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(), [type](const auto& item) { return item.message->body.type == type; }));
  }

  void grant(std::uint64_t number, std::uint32_t bytes) {
    wire::BodyGrantT message;
    message.bytes = bytes;
    deliver(kPeer, message, number);
  }

  template <typename Message>
  void receiveIncoming(Message message, std::uint64_t number) {
    core.onMessage(kIncoming, runtime::makeEnvelope(std::move(message), number), now);
    step();
  }

  void announceIncoming(std::uint64_t number) {
    wire::ForwardRequestT request;
    request.service = "shop";
    request.request_id = "in";
    request.deadline_ms = 2'000;
    request.patience_ms = 200;
    request.objective_ms = 500;
    request.announced_bytes = kLargeBodyBytes;
    receiveIncoming(std::move(request), number);
  }
};

}  // namespace

TEST_CASE_METHOD(LargeBodyFixture, "a large body is announced and sent as far as it is granted",
                 "[sidecar]") {
  configure();
  addPeer(kPeer);
  upload();
  const auto& announced = last(wire::Body::ForwardRequest);
  CHECK(announced.body.AsForwardRequest()->announced_bytes == kLargeBodyBytes);
  CHECK(announced.body.AsForwardRequest()->body.empty());
  const auto number = announced.request_id;
  CHECK(count(wire::Body::BodyPart) == 0);
  grant(number, 20'000);
  CHECK(last(wire::Body::BodyPart).body.AsBodyPart()->bytes.size() == 20'000);
  grant(number, 20'000);
  CHECK(last(wire::Body::BodyPart).body.AsBodyPart()->bytes.size() == 10'000);
  reply(kPeer, number, wire::ForwardOutcome::Answered);
  CHECK(callers.answers.at(CallId{1}).outcome == CallOutcome::Answered);
}

TEST_CASE_METHOD(LargeBodyFixture, "a small body is sent with its request", "[sidecar]") {
  configure();
  addPeer(kPeer);
  upload(1'000);
  CHECK(last(wire::Body::ForwardRequest).body.AsForwardRequest()->body.size() == 1'000);
}

TEST_CASE_METHOD(LargeBodyFixture,
                 "a request has not run if its endpoint disconnects before it received the whole body",
                 "[sidecar]") {
  configure();
  addPeer(kPeer);
  const auto id = upload();
  const auto number = last(wire::Body::ForwardRequest).request_id;
  const bool is_whole = GENERATE(false, true);
  grant(number, is_whole ? kLargeBodyBytes : kLargeBodyBytes - 1);
  core.onLinkClosed(links.at(kPeer), now);
  step();
  CHECK(callers.answers.at(id).outcome == (is_whole ? CallOutcome::Failed : CallOutcome::NotRun));
}

TEST_CASE_METHOD(LargeBodyFixture, "a request that times out before its body was sent has not run",
                 "[sidecar]") {
  configure();
  addPeer(kPeer);
  const auto id = upload();
  const auto number = last(wire::Body::ForwardRequest).request_id;
  const bool is_whole = GENERATE(false, true);
  grant(number, is_whole ? kLargeBodyBytes : kLargeBodyBytes - 1);
  advance(std::chrono::seconds(2));
  CHECK(callers.answers.at(id).outcome == (is_whole ? CallOutcome::TimedOut : CallOutcome::NotRun));
  CHECK(count(wire::Body::ForwardCancel) == 1);
}

TEST_CASE_METHOD(LargeBodyFixture, "an announced request runs after its whole body was received",
                 "[sidecar]") {
  configure();
  core.onHeartbeat(makeHeartbeat("a", 1), now);
  announceIncoming(7);
  CHECK(last(wire::Body::BodyGrant).request_id == 7);
  CHECK(target.orders.empty());
  while (target.orders.empty()) {
    std::uint32_t granted = 0;
    std::erase_if(sent, [&granted](const auto& item) {
      const auto* grant = item.message->body.AsBodyGrant();
      if (grant != nullptr) granted += grant->bytes;
      return grant != nullptr;
    });
    REQUIRE(granted > 0);
    wire::BodyPartT part;
    part.bytes.assign(granted, 'y');
    receiveIncoming(std::move(part), 7);
  }
  CHECK(target.orders[0].request->body.size() == kLargeBodyBytes);
}

TEST_CASE_METHOD(LargeBodyFixture, "an announced request is refused at once while the target is down",
                 "[sidecar]") {
  configure();
  announceIncoming(7);
  CHECK(last(wire::Body::ForwardReply).body.AsForwardReply()->reason == wire::NotRunReason::TargetDown);
  CHECK(count(wire::Body::BodyGrant) == 0);
}

}  // namespace cometstand::sidecar::test
