// Tests that requests restricted to regions leave a sidecar only to endpoints there, and that a receiving
// sidecar with a newer configuration refuses requests from outside.
#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

using std::chrono::seconds;
using wire::ForwardOutcome;

namespace {

constexpr std::size_t kLargeBody = 60'000;

SidecarOptions makeRegionOptions() {
  auto options = SidecarFixture::makeOptions();
  options.zone = "east-a";
  options.zones = mesh::ZoneMap({"east-a=east", "east-b=east", "west-a=west"});
  return options;
}

wire::MeshConfigurationT makeRestrictedConfiguration(const std::vector<std::string>& regions) {
  auto configuration = SidecarFixture::makeConfiguration();
  for (auto& route : configuration.routes) route->regions = regions;
  return configuration;
}

/// A sidecar in region "east", with a peer in "east" and one in "west".
class ResidencyFixture : public SidecarFixture {
 public:
  static inline const runtime::Address kEast = kPeer;
  static inline const runtime::Address kWest = kOtherPeer;

  ResidencyFixture() : SidecarFixture(makeRegionOptions()) {}

  void begin(const std::vector<std::string>& regions) {
    configure(1, makeRestrictedConfiguration(regions));
    addPeer(kEast, wire::EndpointState::Live, "shop", "east-a");
    addPeer(kWest, wire::EndpointState::Live, "shop", "west-a");
  }

  CallId upload() {
    Call request;
    request.host = "shop.example";
    request.request.target = "/write/1";
    request.request.method = "POST";
    request.request.request_id = "u" + std::to_string(++last_call);
    request.request.body.resize(kLargeBody);
    const CallId id{last_call};
    core.onCall(id, std::move(request), now);
    step();
    return id;
  }

  std::size_t bodyBytesTo(const runtime::Address& address) {
    std::size_t bytes = 0;
    for (const auto& message : sent) {
      const auto* part = message.message->body.AsBodyPart();
      if (part != nullptr && message.link == links.at(address)) bytes += part->bytes.size();
    }
    return bytes;
  }

  bool isNotRun(CallId id) const {
    const auto answer = callers.answers.find(id);
    return answer != callers.answers.end() && answer->second.outcome == CallOutcome::NotRun &&
           answer->second.retry_after > Duration::zero();
  }

  void grant(const runtime::Address& from, std::uint64_t number) {
    wire::BodyGrantT grant;
    grant.bytes = 10'000;
    deliver(from, grant, number);
  }

  /// Opens an incoming link from another sidecar. @return the link.
  runtime::LinkId openPeerLink() {
    const runtime::LinkId link{runtime::kFirstIncomingLink};
    core.onLinkOpened(link, {}, now);
    step();
    return link;
  }

  /// @return the sidecar's reply to another sidecar's request; nullptr if there is none yet.
  const wire::ForwardReplyT* replyTo(std::uint64_t number) const {
    for (const auto& message : sent) {
      const auto* reply = message.message->body.AsForwardReply();
      if (reply != nullptr && message.message->request_id == number) return reply;
    }
    return nullptr;
  }

  static wire::ForwardRequestT makeForward(const std::string& route) {
    wire::ForwardRequestT request;
    request.service = "shop";
    request.target = "/read/1";
    request.method = "GET";
    request.deadline_ms = 1'000;
    request.patience_ms = 60;
    request.objective_ms = 400;
    request.route = route;
    return request;
  }
};

}  // namespace

TEST_CASE_METHOD(ResidencyFixture, "a refused or failed request is not retried outside its regions") {
  begin({"east"});
  for (const auto outcome : {ForwardOutcome::NotRun, ForwardOutcome::Unknown}) {
    const auto id = call("/read/1");
    const auto numbers = forwardsTo(kEast);
    REQUIRE(numbers.size() == 1);
    reply(kEast, numbers[0], outcome);
    CHECK(forwardsTo(kWest).empty());
    CHECK(callers.answers.contains(id));
  }
}

TEST_CASE_METHOD(ResidencyFixture,
                 "a request whose only region has no endpoint is refused at once as not run") {
  begin({"north"});
  CHECK(isNotRun(call("/read/1")));
  CHECK(isNotRun(call("/write/1")));
  CHECK(isNotRun(upload()));
  CHECK(forwardsTo(kEast).empty());
  CHECK(forwardsTo(kWest).empty());
}

TEST_CASE_METHOD(ResidencyFixture,
                 "an allowed region without endpoints is ignored if another one has endpoints") {
  begin({"north", "west"});
  call("/read/1");
  CHECK(forwardsTo(kWest).size() == 1);
  CHECK(forwardsTo(kEast).empty());
}

TEST_CASE_METHOD(ResidencyFixture, "a request in flight keeps to the regions of the latest configuration") {
  begin({});
  const auto id = call("/read/1");
  const auto numbers = forwardsTo(kEast);
  REQUIRE(numbers.size() == 1);
  configure(2, makeRestrictedConfiguration({"east"}));
  reply(kEast, numbers[0], ForwardOutcome::NotRun);
  CHECK(forwardsTo(kWest).empty());
  CHECK(isNotRun(id));
}

TEST_CASE_METHOD(ResidencyFixture,
                 "a request in flight also keeps to the regions that were allowed when it arrived") {
  begin({"east"});
  const auto id = call("/read/1");
  const auto numbers = forwardsTo(kEast);
  REQUIRE(numbers.size() == 1);
  configure(2, makeRestrictedConfiguration({}));
  reply(kEast, numbers[0], ForwardOutcome::NotRun);
  CHECK(forwardsTo(kWest).empty());
  CHECK(isNotRun(id));
}

TEST_CASE_METHOD(ResidencyFixture, "no further body bytes are sent to a region that is no longer allowed") {
  begin({"west"});
  const auto id = upload();
  const auto numbers = forwardsTo(kWest);
  REQUIRE(numbers.size() == 1);
  grant(kWest, numbers[0]);
  CHECK(bodyBytesTo(kWest) == 10'000);
  configure(2, makeRestrictedConfiguration({"east"}));
  grant(kWest, numbers[0]);
  CHECK(bodyBytesTo(kWest) == 10'000);
  CHECK(forwardsTo(kEast).empty());
  CHECK(isNotRun(id));
}

TEST_CASE_METHOD(ResidencyFixture,
                 "a body is sent to another region if the changed configuration allows that") {
  begin({});
  upload();
  const auto numbers = forwardsTo(kEast);
  REQUIRE(numbers.size() == 1);
  configure(2, makeRestrictedConfiguration({"west"}));
  grant(kEast, numbers[0]);
  CHECK(bodyBytesTo(kEast) == 0);
  CHECK(forwardsTo(kWest).size() == 1);
}

TEST_CASE_METHOD(ResidencyFixture,
                 "a gate refuses requests that its latest configuration restricts to other regions") {
  begin({});
  core.onHeartbeat(makeHeartbeat("own", 1), now);
  step();
  const auto link = openPeerLink();
  core.onMessage(link, runtime::makeEnvelope(makeForward("read"), 1), now);
  step();
  CHECK(target.orders.size() == 1);
  configure(2, makeRestrictedConfiguration({"west"}));
  auto announced = makeForward("write");
  announced.announced_bytes = kLargeBody;
  core.onMessage(link, runtime::makeEnvelope(makeForward("read"), 2), now);
  core.onMessage(link, runtime::makeEnvelope(announced, 3), now);
  step();
  CHECK(target.orders.size() == 1);
  for (const std::uint64_t number : {2, 3}) {
    const auto* reply = replyTo(number);
    REQUIRE(reply != nullptr);
    CHECK(reply->outcome == ForwardOutcome::NotRun);
    CHECK_FALSE(reply->reached_target);
  }
}

TEST_CASE_METHOD(ResidencyFixture,
                 "a request in a gate's queue is refused instead of run after its regions changed") {
  begin({});
  core.onHeartbeat(makeHeartbeat("own", 1), now);
  const auto link = openPeerLink();
  for (const std::uint64_t number : {1, 2, 3}) {
    core.onMessage(link, runtime::makeEnvelope(makeForward("read"), number), now);
  }
  step();
  REQUIRE(target.orders.size() == 2);
  configure(2, makeRestrictedConfiguration({"west"}));
  RunResult result;
  result.reply.outcome = ForwardOutcome::Answered;
  core.onRunResult(target.orders[0].id, result, now);
  step();
  CHECK(target.orders.size() == 2);
  REQUIRE(replyTo(3) != nullptr);
  CHECK(replyTo(3)->outcome == ForwardOutcome::NotRun);
}

TEST_CASE_METHOD(ResidencyFixture,
                 "a forwarded request names its route if regions restrict it or if it crosses regions") {
  const std::vector<std::string> regions = GENERATE(
      std::vector<std::string>{}, std::vector<std::string>{"east"}, std::vector<std::string>{"west"});
  begin(regions);
  if (!regions.empty()) {
    call("/read/1");
  } else {
    // Refused in the own region, the request is sent to the other one.
    call("/read/1");
    const auto numbers = forwardsTo(kEast);
    REQUIRE(numbers.size() == 1);
    reply(kEast, numbers[0], ForwardOutcome::NotRun);
  }
  std::size_t requests_with_route = 0;
  for (const auto& message : sent) {
    const auto* request = message.message->body.AsForwardRequest();
    if (request != nullptr && request->route == "read") ++requests_with_route;
  }
  CHECK(requests_with_route == 1);
}

TEST_CASE_METHOD(ResidencyFixture, "a reply has the time that its request spent at the endpoint's node") {
  begin({});
  core.onHeartbeat(makeHeartbeat("own", 1), now);
  const auto link = openPeerLink();
  core.onMessage(link, runtime::makeEnvelope(makeForward(""), 1), now);
  step();
  REQUIRE(target.orders.size() == 1);
  RunResult result;
  result.reply.outcome = ForwardOutcome::Answered;
  core.onRunResult(target.orders[0].id, result, now + milliseconds(70));
  step();
  REQUIRE(replyTo(1) != nullptr);
  CHECK(replyTo(1)->at_endpoint_ms == 70);
}

TEST_CASE_METHOD(ResidencyFixture,
                 "a sidecar subscribes to a store of the own region rather than to one elsewhere") {
  const runtime::Address west_store{"10.0.0.8", 7000};
  const runtime::Address east_store{"10.0.0.7", 7000};
  const auto beat = announceStores({{kStore, "west-a"}, {west_store, "west-a"}, {east_store, "east-b"}});
  deliver(west_store, beat);
  const auto subscriptions = [this](const runtime::Address& store) {
    return std::count_if(sent.begin(), sent.end(), [&](const auto& message) {
      const auto* subscribe = message.message->body.AsNodeSubscribe();
      return subscribe != nullptr && subscribe->wants_updates && message.link == links.at(store);
    });
  };
  CHECK(subscriptions(west_store) == 0);
  deliver(east_store, beat);
  CHECK(subscriptions(east_store) == 1);
}

}  // namespace cometstand::sidecar::test
