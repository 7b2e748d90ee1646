#include "sidecar/endpoint_directory.h"

#include <catch2/catch.hpp>

#include "sidecar/response_estimator.h"

namespace cometstand::sidecar::test {

namespace {

using std::chrono::milliseconds;

const runtime::Address kFast{"10.0.0.2", 7000};
const runtime::Address kSlow{"10.0.0.3", 7000};
constexpr unsigned kSlots = 6;
constexpr int kSelections = 100;

/// Endpoint directory with two live endpoints of one service in the sidecar's zone.
class DirectoryFixture {
 public:
  DirectoryFixture() {
    wire::EndpointUpdateT update;
    for (const auto& address : {kFast, kSlow}) {
      auto record = std::make_shared<wire::EndpointRecordT>();
      record->service = "shop";
      record->endpoint = "instance-" + address.host;
      record->address = address.host;
      record->port = address.port;
      record->zone = "zone-a";
      record->state = wire::EndpointState::Live;
      record->slots = kSlots;
      update.records.push_back(std::move(record));
    }
    directory.apply(update, true, now);
    for (const auto& address : {kFast, kSlow}) directory.noteLocalEndpoint(address);
  }

  void report(const runtime::Address& address, std::uint32_t run_time_permille, unsigned running = 0) {
    wire::ForwardReplyT reply;
    reply.run_time_permille = run_time_permille;
    reply.running = running;
    directory.onReply(*directory.find(address), reply, now);
  }

  /// @return how many of kSelections requests are sent to the address.
  int selectionsOf(const runtime::Address& address, std::size_t bytes = 0) {
    int count = 0;
    for (int i = 0; i < kSelections; ++i) {
      const auto* selected = directory.choose({"shop", bytes}, {}, random, now);
      REQUIRE(selected != nullptr);
      if (selected->address == address) ++count;
    }
    return count;
  }

  static SidecarOptions makeOptions() {
    SidecarOptions options;
    options.zone = "zone-a";
    return options;
  }

  const SidecarOptions options = makeOptions();
  ZoneEvacuations evacuations;
  EndpointDirectory directory{options, evacuations};
  RandomSource random{1};
  TimePoint now{std::chrono::seconds(100)};
};

}  // namespace

// Guards against a selection that ignores run times: half of the requests of a zone were sent to a target
// that took more than twice as long as the other one.
TEST_CASE("a faster idle endpoint is preferred to a slower one, and a slower idle one to a faster full one") {
  DirectoryFixture fixture;
  fixture.report(kFast, 250);
  fixture.report(kSlow, 600);
  CHECK(fixture.selectionsOf(kFast) == kSelections);
  fixture.report(kFast, 250, kSlots * 2);
  CHECK(fixture.selectionsOf(kSlow) == kSelections);
}

// Guards against scaling the load by the run time: faster targets were then preferred until they had queues,
// and refused requests while slower targets had free slots.
TEST_CASE("slower endpoints get their share of requests once all are busy") {
  DirectoryFixture fixture;
  fixture.report(kFast, 250, kSlots);
  fixture.report(kSlow, 600, kSlots);
  CHECK(fixture.selectionsOf(kSlow) > kSelections / 5);
}

TEST_CASE("an endpoint that was slow is tried again after a while") {
  DirectoryFixture fixture;
  fixture.report(kSlow, 2'000);
  fixture.now += std::chrono::minutes(2);
  fixture.report(kFast, 250);
  fixture.report(kFast, 250);
  CHECK(fixture.selectionsOf(kSlow) > 0);
}

// Guards against a zone cost that ignores size: uploads of 60 KB were sent to other zones as often as
// requests with responses of 400 bytes.
TEST_CASE("requests that transfer more bytes are more likely to stay in their own zone") {
  DirectoryFixture fixture;
  fixture.directory.find(kSlow)->zone = "zone-b";
  // The endpoint in the own zone has three more requests than the one in the other zone.
  fixture.report(kFast, 250, 3);
  fixture.report(kSlow, 250, 0);
  CHECK(fixture.selectionsOf(kFast, 0) < kSelections);
  CHECK(fixture.selectionsOf(kFast, 60'000) == kSelections);
  CHECK(fixture.selectionsOf(kFast, 0) < fixture.selectionsOf(kFast, 3'000));
}

TEST_CASE("the reported state of an endpoint is cleared when its target is replaced", "[incarnation]") {
  DirectoryFixture fixture;
  fixture.report(kFast, 250, 20);
  auto* endpoint = fixture.directory.find(kFast);
  endpoint->failure_rate = 1;
  endpoint->avoid_until = fixture.now + std::chrono::seconds(5);
  wire::EndpointUpdateT update;
  auto record = std::make_shared<wire::EndpointRecordT>();
  record->service = "shop";
  record->endpoint = endpoint->instance;
  record->address = kFast.host;
  record->port = kFast.port;
  record->zone = "zone-a";
  record->state = wire::EndpointState::Live;
  record->slots = kSlots;
  update.records.push_back(record);
  fixture.directory.apply(update, false, fixture.now);
  CHECK(endpoint->reported_load == 20);
  record->endpoint += "@2000";
  fixture.directory.apply(update, false, fixture.now);
  CHECK(endpoint->reported_load == 0);
  CHECK(endpoint->failure_rate == 0);
  CHECK(endpoint->avoid_until <= fixture.now);
}

// Guards against a selection by free slots alone: large reads were sent to endpoints with full links and took
// seconds, while the links of other endpoints of the region were half idle.
TEST_CASE("a request with a large response is sent to the endpoint that sends its held responses sooner") {
  DirectoryFixture fixture;
  const auto selected_for = [&fixture](bool has_large_answer) {
    EndpointCriteria criteria;
    criteria.service = "shop";
    criteria.has_large_answer = has_large_answer;
    criteria.max_wait = milliseconds(200);
    return fixture.directory.choose(criteria, {}, fixture.random, fixture.now)->address;
  };
  // The endpoint with the full link has two requests fewer.
  fixture.report(kSlow, 250, 2);
  wire::ForwardReplyT reply;
  reply.run_time_permille = 250;
  reply.answer_wait_ms = 600;
  fixture.directory.onReply(*fixture.directory.find(kFast), reply, fixture.now);
  for (int i = 0; i < kSelections; ++i) {
    CHECK(selected_for(true) == kSlow);
    CHECK(selected_for(false) == kFast);
  }
  // An old report has little weight.
  fixture.now += std::chrono::minutes(2);
  int selections = 0;
  for (int i = 0; i < kSelections; ++i) {
    if (selected_for(true) == kFast) ++selections;
  }
  CHECK(selections > kSelections / 5);
}

TEST_CASE("the response size is estimated for each route") {
  ResponseEstimator sizes;
  CHECK(sizes.answerBytes("read") == 0);
  sizes.recordSize("read", 5'000);
  sizes.recordSize("write", 100);
  CHECK(sizes.answerBytes("read") == 5'000);
  for (int i = 0; i < 100; ++i) sizes.recordSize("read", 1'000);
  CHECK(sizes.answerBytes("read") < 1'100);
  CHECK(sizes.answerBytes("write") == 100);
}

TEST_CASE("endpoints without a known run time share the requests") {
  DirectoryFixture fixture;
  const int selections = fixture.selectionsOf(kFast);
  CHECK(selections > kSelections / 4);
  CHECK(selections < kSelections * 3 / 4);
}

TEST_CASE("an endpoint that joins gets requests before its first report") {
  DirectoryFixture fixture;
  for (const auto& address : {kFast, kSlow}) fixture.report(address, 200, 2);
  const runtime::Address joined{"10.0.0.4", 7000};
  wire::EndpointUpdateT update;
  auto record = std::make_shared<wire::EndpointRecordT>();
  record->service = "shop";
  record->endpoint = "instance-new";
  record->address = joined.host;
  record->port = joined.port;
  record->zone = "zone-a";
  record->state = GENERATE(wire::EndpointState::Live, wire::EndpointState::Cold);
  record->slots = kSlots;
  update.records.push_back(std::move(record));
  fixture.directory.apply(update, false, fixture.now);
  fixture.directory.noteLocalEndpoint(joined);
  CHECK(fixture.selectionsOf(joined) > 0);
}

// Guards against taking an overloaded endpoint for idle: during a burst a third of the requests without a
// response were at three endpoints with congested links. They refused nothing, so every sender took them for
// idle.
TEST_CASE("an endpoint with overdue replies is not preferred to a full one") {
  DirectoryFixture fixture;
  fixture.directory.noteAnswered("shop", milliseconds(200));
  EndpointDirectory::noteSent(*fixture.directory.find(kSlow), fixture.now);
  fixture.now += milliseconds(900);
  fixture.report(kFast, 0, kSlots + 2);
  CHECK(fixture.selectionsOf(kSlow) == 0);
  fixture.report(kSlow, 0);
  CHECK(fixture.selectionsOf(kSlow) == kSelections);
}

TEST_CASE("an endpoint without requests in flight is not penalised for missing replies") {
  DirectoryFixture fixture;
  fixture.directory.noteAnswered("shop", milliseconds(200));
  fixture.now += std::chrono::seconds(60);
  CHECK(fixture.selectionsOf(kSlow) > kSelections / 4);
}

}  // namespace cometstand::sidecar::test
