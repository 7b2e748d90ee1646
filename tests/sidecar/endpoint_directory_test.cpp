#include "sidecar/endpoint_directory.h"

#include <catch2/catch.hpp>

#include "sidecar/answer_forecast.h"

namespace cometstand::sidecar::test {

namespace {

using std::chrono::milliseconds;

const runtime::Address kFast{"10.0.0.2", 7000};
const runtime::Address kSlow{"10.0.0.3", 7000};
constexpr unsigned kSlots = 6;
constexpr int kDraws = 100;

/// Two live endpoints of one service in the zone of the sidecar.
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
    for (const auto& address : {kFast, kSlow}) directory.noteOwn(address);
  }

  void report(const runtime::Address& address, std::uint32_t run_time_permille, unsigned running = 0) {
    wire::ForwardReplyT reply;
    reply.run_time_permille = run_time_permille;
    reply.running = running;
    directory.onReply(*directory.find(address), reply, now);
  }

  /// @return how many of kDraws requests go to the address.
  int drawsOf(const runtime::Address& address, std::size_t bytes = 0) {
    int count = 0;
    for (int i = 0; i < kDraws; ++i) {
      const auto* chosen = directory.choose({"shop", bytes}, {}, random, now);
      REQUIRE(chosen != nullptr);
      if (chosen->address == address) ++count;
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

// steppe-record, quiet-1: half of the requests of a zone went to a target that takes more than twice as long
// as the other one.
TEST_CASE("of two idle endpoints the faster one is chosen, a slower idle one before a faster full one") {
  DirectoryFixture fixture;
  fixture.report(kFast, 250);
  fixture.report(kSlow, 600);
  CHECK(fixture.drawsOf(kFast) == kDraws);
  fixture.report(kFast, 250, kSlots * 2);
  CHECK(fixture.drawsOf(kSlow) == kDraws);
}

// wn-mesh-grown: with run time as a factor of the load, the faster targets stayed first until they had
// queues, and requests were refused there while slots of slower ones were free.
TEST_CASE("slower endpoints get their share once all are busy") {
  DirectoryFixture fixture;
  fixture.report(kFast, 250, kSlots);
  fixture.report(kSlow, 600, kSlots);
  CHECK(fixture.drawsOf(kSlow) > kDraws / 5);
}

TEST_CASE("an endpoint that was slow is tried again after a while") {
  DirectoryFixture fixture;
  fixture.report(kSlow, 2'000);
  fixture.now += std::chrono::minutes(2);
  fixture.report(kFast, 250);
  fixture.report(kFast, 250);
  CHECK(fixture.drawsOf(kSlow) > 0);
}

// steppe-record: uploads of 60 KB went to other zones as readily as answers of 400 bytes.
TEST_CASE("the more bytes a request moves, the longer it stays in its own zone") {
  DirectoryFixture fixture;
  fixture.directory.find(kSlow)->zone = "zone-b";
  // The near one has two slots' more work than the far one.
  fixture.report(kFast, 250, 3);
  fixture.report(kSlow, 250, 0);
  CHECK(fixture.drawsOf(kFast, 0) < kDraws);
  CHECK(fixture.drawsOf(kFast, 60'000) == kDraws);
  CHECK(fixture.drawsOf(kFast, 0) < fixture.drawsOf(kFast, 3'000));
}

TEST_CASE("what is known of an endpoint's target ends with the target", "[incarnation]") {
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

// Large reads went to endpoints whose machines' links were full, as their slots were free, and took seconds
// there, while the links of others of the same region were half idle.
TEST_CASE("a request for a large answer goes where the answers that are held will be sent sooner") {
  DirectoryFixture fixture;
  const auto chosen_for = [&fixture](bool has_large_answer) {
    EndpointWant want;
    want.service = "shop";
    want.has_large_answer = has_large_answer;
    want.patience = milliseconds(200);
    return fixture.directory.choose(want, {}, fixture.random, fixture.now)->address;
  };
  // The one with the full link has two slots' work less.
  fixture.report(kSlow, 250, 2);
  wire::ForwardReplyT reply;
  reply.run_time_permille = 250;
  reply.answer_wait_ms = 600;
  fixture.directory.onReply(*fixture.directory.find(kFast), reply, fixture.now);
  for (int i = 0; i < kDraws; ++i) {
    CHECK(chosen_for(true) == kSlow);
    CHECK(chosen_for(false) == kFast);
  }
  // What was said long ago counts little.
  fixture.now += std::chrono::minutes(2);
  int draws = 0;
  for (int i = 0; i < kDraws; ++i) {
    if (chosen_for(true) == kFast) ++draws;
  }
  CHECK(draws > kDraws / 5);
}

TEST_CASE("the size of answers is learned for each route") {
  AnswerForecast sizes;
  CHECK(sizes.answerBytes("read") == 0);
  sizes.noteSize("read", 5'000);
  sizes.noteSize("write", 100);
  CHECK(sizes.answerBytes("read") == 5'000);
  for (int i = 0; i < 100; ++i) sizes.noteSize("read", 1'000);
  CHECK(sizes.answerBytes("read") < 1'100);
  CHECK(sizes.answerBytes("write") == 100);
}

TEST_CASE("endpoints of which no run time is known share the requests") {
  DirectoryFixture fixture;
  const int draws = fixture.drawsOf(kFast);
  CHECK(draws > kDraws / 4);
  CHECK(draws < kDraws * 3 / 4);
}

TEST_CASE("an endpoint that joins gets requests though nothing is known of it yet") {
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
  fixture.directory.noteOwn(joined);
  CHECK(fixture.drawsOf(joined) > 0);
}

// The shifted deployment, scale-1: in a burst a third of all requests that got no answer lay at three
// endpoints whose links were choked. They refused nothing, so every sender took them for free.
TEST_CASE("an endpoint that says nothing for long is not taken for free beside one that is full") {
  DirectoryFixture fixture;
  fixture.directory.noteAnswered("shop", milliseconds(200));
  EndpointDirectory::noteSent(*fixture.directory.find(kSlow), fixture.now);
  fixture.now += milliseconds(900);
  fixture.report(kFast, 0, kSlots + 2);
  CHECK(fixture.drawsOf(kSlow) == 0);
  fixture.report(kSlow, 0);
  CHECK(fixture.drawsOf(kSlow) == kDraws);
}

TEST_CASE("an endpoint without requests from here may be silent") {
  DirectoryFixture fixture;
  fixture.directory.noteAnswered("shop", milliseconds(200));
  fixture.now += std::chrono::seconds(60);
  CHECK(fixture.drawsOf(kSlow) > kDraws / 4);
}

}  // namespace cometstand::sidecar::test
