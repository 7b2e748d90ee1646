// Claims: one answer to each request, resends over a new link, releases of what may be held.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "proxy_control/proxy_fixture.h"

namespace cometstand::proxy::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

wire::ClaimRequestT claim(const std::string& key) {
  wire::ClaimRequestT request;
  request.tenant = "napisy";
  request.key = key;
  request.attempt = "attempt of " + key;
  return request;
}

wire::ClaimReplyT granted() {
  wire::ClaimReplyT reply;
  reply.outcome = wire::Outcome::Completed;
  reply.state = wire::ClaimState::Granted;
  return reply;
}

wire::ClaimReplyT failed(wire::Outcome outcome, ErrorKind kind) {
  wire::ClaimReplyT reply;
  reply.outcome = outcome;
  reply.error = std::make_shared<wire::ErrorInfoT>();
  reply.error->kind = static_cast<std::uint16_t>(kind);
  return reply;
}

struct ClaimFixture {
  explicit ClaimFixture(MemoryFiles& disk) : proxy(disk) { link = serve(); }

  LinkId serve() {
    const LinkId opened = proxy.connect();
    proxy.sendBeat(opened, 0, 0, ++round);
    return opened;
  }

  /// @return the request id of the claim on its way.
  std::uint64_t ask(const std::string& key, std::uint64_t callback) {
    proxy.core.requestClaim(claim(key), callback, proxy.driver.now());
    proxy.driver.collect();
    CHECK(proxy.driver.takeOne<wire::ClaimRequestT>(link).key == key);
    return proxy.driver.lastRequestId();
  }

  ProxyFixture proxy;
  LinkId link{};
  std::uint64_t round = 0;
};

TEST_CASE("answers that cross each other reach the request they belong to, once") {
  MemoryFiles disk;
  ClaimFixture fixture(disk);
  auto& driver = fixture.proxy.driver;
  const auto first = fixture.ask("a", 101);
  const auto second = fixture.ask("b", 102);
  driver.receive(fixture.link, granted(), 77);
  driver.receive(fixture.link, failed(wire::Outcome::NotRun, ErrorKind::Forbidden), second);
  driver.receive(fixture.link, granted(), first);
  driver.receive(fixture.link, granted(), second);
  const auto& answers = fixture.proxy.listener.answers;
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].callback == 102);
  CHECK(answers[0].reply.outcome == wire::Outcome::NotRun);
  CHECK(answers[1].callback == 101);
  CHECK(answers[1].reply.state == wire::ClaimState::Granted);
}

TEST_CASE("a claim on a lost link is sent again with its attempt") {
  MemoryFiles disk;
  ClaimFixture fixture(disk);
  auto& driver = fixture.proxy.driver;
  const auto id = fixture.ask("a", 101);
  driver.lose(fixture.link);
  const LinkId next = fixture.serve();
  const auto resent = driver.takeOne<wire::ClaimRequestT>(next);
  CHECK(resent.attempt == "attempt of a");
  CHECK(driver.lastRequestId() == id);
  driver.receive(next, granted(), id);
  CHECK(fixture.proxy.listener.answers.size() == 1);
}

TEST_CASE("a resent claim that is refused may be held by its first sending and is released") {
  MemoryFiles disk;
  ClaimFixture fixture(disk);
  auto& driver = fixture.proxy.driver;
  const auto id = fixture.ask("a", 101);
  driver.lose(fixture.link);
  const LinkId next = fixture.serve();
  driver.receive(next, failed(wire::Outcome::NotRun, ErrorKind::Forbidden), id);
  const auto release = driver.takeOne<wire::ClaimFinishT>(next);
  CHECK(release.end == wire::ClaimEnd::Released);
  CHECK(release.attempt == "attempt of a");
}

TEST_CASE("a claim that no leader decided on is asked for again under its attempt") {
  MemoryFiles disk;
  ClaimFixture fixture(disk);
  auto& driver = fixture.proxy.driver;
  const auto outcome = GENERATE(wire::Outcome::NotRun, wire::Outcome::Unknown);
  const auto id = fixture.ask("a", 101);
  driver.receive(fixture.link, failed(outcome, ErrorKind::Unavailable), id);
  CHECK(fixture.proxy.listener.answers.empty());
  driver.advance(milliseconds(100));
  CHECK(driver.takeOne<wire::ClaimRequestT>(fixture.link).attempt == "attempt of a");
  driver.receive(fixture.link, granted(), id);
  REQUIRE(fixture.proxy.listener.answers.size() == 1);
  CHECK(fixture.proxy.listener.answers[0].reply.state == wire::ClaimState::Granted);
}

TEST_CASE("in a long outage the store's refusal of a claim is final at once") {
  MemoryFiles disk;
  ClaimFixture fixture(disk);
  auto& driver = fixture.proxy.driver;
  const auto refuse = [&](std::uint64_t id) {
    driver.receive(fixture.link, failed(wire::Outcome::NotRun, ErrorKind::Unavailable), id);
  };
  const auto first = fixture.ask("a", 101);
  refuse(first);
  while (fixture.proxy.listener.answers.empty()) {
    driver.advance(milliseconds(100));
    REQUIRE(driver.take<wire::ClaimRequestT>(fixture.link).size() == 1);
    refuse(first);
  }
  CHECK(fixture.proxy.listener.answers[0].reply.outcome == wire::Outcome::NotRun);
  refuse(fixture.ask("b", 102));
  CHECK(fixture.proxy.listener.answers.size() == 2);
}

TEST_CASE("a claim asked for while the proxy changes its relay waits for the next one") {
  MemoryFiles disk;
  ClaimFixture fixture(disk);
  auto& driver = fixture.proxy.driver;
  driver.lose(fixture.link);
  fixture.proxy.core.requestClaim(claim("a"), 101, driver.now());
  CHECK(fixture.proxy.listener.answers.empty());
  SECTION("the relay comes") {
    const LinkId next = fixture.serve();
    CHECK(driver.takeOne<wire::ClaimRequestT>(next).key == "a");
  }
  SECTION("none comes") {
    driver.advance(seconds(1));
    REQUIRE(fixture.proxy.listener.answers.size() == 1);
    CHECK(fixture.proxy.listener.answers[0].reply.outcome == wire::Outcome::NotRun);
  }
}

TEST_CASE("a claim without an answer in time is unknown and is released until the store says so") {
  MemoryFiles disk;
  ClaimFixture fixture(disk);
  auto& driver = fixture.proxy.driver;
  const auto id = fixture.ask("a", 101);
  driver.advance(seconds(2));
  REQUIRE(fixture.proxy.listener.answers.size() == 1);
  CHECK(fixture.proxy.listener.answers[0].reply.outcome == wire::Outcome::Unknown);
  CHECK(driver.takeOne<wire::ClaimFinishT>(fixture.link).end == wire::ClaimEnd::Released);
  const auto release = driver.lastRequestId();

  driver.receive(fixture.link, granted(), id);
  CHECK(fixture.proxy.listener.answers.size() == 1);
  driver.receive(fixture.link, failed(wire::Outcome::Unknown, ErrorKind::Unavailable), release);
  driver.advance(seconds(2));
  CHECK(driver.take<wire::ClaimFinishT>(fixture.link).size() == 1);
  driver.receive(fixture.link, granted(), release);
  driver.advance(seconds(2));
  CHECK(driver.take<wire::ClaimFinishT>(fixture.link).empty());
}

TEST_CASE("without a relay a claim is not run, and says when to come back") {
  MemoryFiles disk;
  ProxyFixture proxy(disk);
  proxy.core.requestClaim(claim("a"), 101, proxy.driver.now());
  REQUIRE(proxy.listener.answers.size() == 1);
  CHECK(proxy.listener.answers[0].reply.outcome == wire::Outcome::NotRun);
  CHECK(proxy.listener.answers[0].reply.error->retry_after_ms > 0);
}

}  // namespace
}  // namespace cometstand::proxy::test
