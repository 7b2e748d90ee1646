// Responses that are streamed to their callers before they are complete.
#include <numeric>

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

constexpr std::size_t kResponseBytes = 500'000;
constexpr std::size_t kFirstPartBytes = 8'192;

std::vector<std::uint8_t> makeBody() {
  std::vector<std::uint8_t> body(kResponseBytes);
  std::iota(body.begin(), body.end(), std::uint8_t{0});
  return body;
}

/// Records the responses that are streamed to callers.
class StreamingCallers : public RecordingCallers {
 public:
  void beginAnswer(CallId /*id*/, const wire::ForwardReplyT& head) override {
    REQUIRE_FALSE(has_begun);
    has_begun = true;
    body = head.body;
  }
  void continueAnswer(CallId /*id*/, const std::vector<std::uint8_t>& bytes,
                      wire::BodyEnd with_end) override {
    REQUIRE(has_begun);
    REQUIRE(end == wire::BodyEnd::Open);
    body.insert(body.end(), bytes.begin(), bytes.end());
    end = with_end;
  }

  bool has_begun = false;
  std::vector<std::uint8_t> body;
  wire::BodyEnd end = wire::BodyEnd::Open;
};

struct PassedOnFixture {
  static inline const runtime::Address kStore = SidecarFixture::kStore;
  static inline const runtime::Address kPeer = SidecarFixture::kPeer;

  PassedOnFixture() : sidecar(makeOptions(), streaming_callers) {
    sidecar.configure();
    sidecar.addPeer(kPeer);
    sidecar.addPeer(SidecarFixture::kOtherPeer);
  }

  static SidecarOptions makeOptions() {
    auto options = SidecarFixture::makeOptions();
    options.answer_credit = kFirstPartBytes;
    return options;
  }

  /// Makes a call and receives the first bytes of its response.
  CallId beginCall(bool accepts_streaming = true) {
    Call request;
    request.host = "shop.example";
    request.request.target = "/read/1";
    request.request.method = "GET";
    request.request.request_id = "r1";
    request.accepts_streaming = accepts_streaming;
    const CallId id{1};
    sidecar.core.onCall(id, std::move(request), sidecar.now);
    sidecar.step();
    for (const auto& address : {kPeer, SidecarFixture::kOtherPeer}) {
      const auto numbers = sidecar.forwardsTo(address);
      if (!numbers.empty()) {
        peer = address;
        number = numbers.front();
      }
    }
    wire::ForwardReplyT head;
    head.outcome = wire::ForwardOutcome::Answered;
    head.body_follows = true;
    sent_bytes = kFirstPartBytes;
    const auto body = makeBody();
    head.body.assign(body.begin(), body.begin() + static_cast<std::ptrdiff_t>(kFirstPartBytes));
    sidecar.deliver(peer, head, number);
    return id;
  }

  /// Sends the granted bytes from the endpoint. @return the number of bytes sent.
  std::size_t sendGranted() {
    std::size_t bytes = 0;
    std::erase_if(sidecar.sent, [&bytes](const auto& item) {
      const auto* grant = item.message->body.AsBodyGrant();
      if (grant != nullptr) bytes += grant->bytes;
      return grant != nullptr;
    });
    bytes = std::min(bytes, kResponseBytes - sent_bytes);
    if (bytes == 0) return 0;
    const auto body = makeBody();
    const auto begin = body.begin() + static_cast<std::ptrdiff_t>(sent_bytes);
    wire::BodyPartT part;
    part.bytes.assign(begin, begin + static_cast<std::ptrdiff_t>(bytes));
    sent_bytes += bytes;
    if (sent_bytes == kResponseBytes) part.end = wire::BodyEnd::Whole;
    sidecar.now += milliseconds(1);
    sidecar.deliver(peer, std::move(part), number);
    return bytes;
  }

  /// Sends from the endpoint as long as it is granted bytes; the caller consumes nothing.
  void sendAll() {
    while (sendGranted() > 0) {
    }
  }

  void read(CallId id, std::size_t bytes) {
    sidecar.core.onCallerRead(id, bytes, sidecar.now);
    sidecar.step();
  }

  bool hasCancelled() const {
    return std::any_of(sidecar.sent.begin(), sidecar.sent.end(),
                       [](const auto& item) { return item.message->body.AsForwardCancel() != nullptr; });
  }

  StreamingCallers streaming_callers;
  SidecarFixture sidecar;
  runtime::Address peer;
  std::uint64_t number = 0;
  std::size_t sent_bytes = 0;
};

}  // namespace

TEST_CASE_METHOD(PassedOnFixture, "a very large response is streamed as fast as its caller consumes it",
                 "[sidecar]") {
  const auto id = beginCall();
  sendAll();
  CHECK(streaming_callers.has_begun);
  // The caller has consumed nothing, so no more credit is granted.
  constexpr std::size_t kMaxHeldBytes = ResponseIntake::kStreamingThresholdBytes + 64 * 1024;
  CHECK(sent_bytes < kMaxHeldBytes);
  std::size_t taken = 0;
  while (streaming_callers.end == wire::BodyEnd::Open) {
    const std::size_t bytes = streaming_callers.body.size() - taken;
    REQUIRE(bytes > 0);
    CHECK(bytes < kMaxHeldBytes);
    read(id, bytes);
    taken += bytes;
    sendAll();
  }
  CHECK(streaming_callers.end == wire::BodyEnd::Whole);
  CHECK(streaming_callers.body == makeBody());
  CHECK(streaming_callers.answers.empty());
  CHECK(sidecar.core.callsInFlight() == 0);
}

TEST_CASE_METHOD(PassedOnFixture,
                 "a caller without support for streaming gets a very large response in one piece",
                 "[sidecar]") {
  const auto id = beginCall(false);
  sendAll();
  CHECK_FALSE(streaming_callers.has_begun);
  CHECK(streaming_callers.answers.at(id).reply.body == makeBody());
}

TEST_CASE_METHOD(PassedOnFixture,
                 "a request is not retried after its caller has received a part of the response",
                 "[sidecar]") {
  beginCall();
  sendAll();
  REQUIRE(streaming_callers.has_begun);
  const int failure = GENERATE(0, 1, 2, 3);
  if (failure == 0) {
    sidecar.core.onLinkClosed(sidecar.links.at(peer), sidecar.now);
  } else if (failure == 1) {
    wire::BodyPartT part;
    part.end = wire::BodyEnd::Broken;
    sidecar.deliver(peer, std::move(part), number);
  } else if (failure == 2) {
    sidecar.reply(peer, number, wire::ForwardOutcome::NotRun);
  } else {
    sidecar.advance(std::chrono::seconds(2));
    CHECK(hasCancelled());
  }
  sidecar.step();
  CHECK(streaming_callers.end == wire::BodyEnd::Broken);
  CHECK(streaming_callers.answers.empty());
  CHECK(sidecar.forwardsTo(kPeer).empty());
  CHECK(sidecar.forwardsTo(SidecarFixture::kOtherPeer).empty());
  CHECK(sidecar.core.callsInFlight() == 0);
}

TEST_CASE_METHOD(PassedOnFixture, "a streamed response is cancelled when its caller disconnects",
                 "[sidecar]") {
  const auto id = beginCall();
  sendAll();
  sidecar.core.onCallerGone(id, sidecar.now);
  sidecar.step();
  CHECK(hasCancelled());
  CHECK(sidecar.core.largeAnswersInFlight() == 0);
  CHECK(streaming_callers.end == wire::BodyEnd::Open);
}

}  // namespace cometstand::sidecar::test
