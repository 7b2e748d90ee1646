#include <catch2/catch.hpp>
#include <map>

#include "base/random.h"
#include "tests/proxy/data_path_driver.h"

namespace cometstand::proxy {
namespace {

using std::chrono::milliseconds;

std::vector<ObjectPointer> oneRoute(bool repeatable, unsigned max_retries = 0) {
  return {makeService("s", 3), makeRoute("s", [=](wire::RouteSpecT& route) {
            route.repeatable = repeatable;
            route.max_retries = max_retries;
            route.timeout_ms = 1000;
          })};
}

FinalAnswer onlyAnswer(DataPathDriver& driver) {
  const auto answers = driver.take<AnswerOrder>();
  REQUIRE(answers.size() == 1);
  return answers.front().answer;
}

TEST_CASE("not_run is said only of what no back end can have run", "[outcome]") {
  DataPathDriver driver(oneRoute(false));
  driver.call("/s");
  const auto order = driver.take<SendOrder>().at(0);
  SECTION("no connection") {
    driver.fail(order, AttemptFailure::NoConnection);
    const auto answer = onlyAnswer(driver);
    CHECK(answer.outcome == wire::Outcome::NotRun);
    CHECK(answer.retry_after > Duration::zero());
  }
  SECTION("the connection breaks before the first byte") {
    driver.fail(order, AttemptFailure::Aborted);
    CHECK(onlyAnswer(driver).outcome == wire::Outcome::NotRun);
  }
  SECTION("the connection breaks after the first byte") {
    REQUIRE(driver.send(order));
    driver.fail(order, AttemptFailure::Aborted);
    CHECK(onlyAnswer(driver).outcome == wire::Outcome::Unknown);
  }
  SECTION("the back end shed it") {
    REQUIRE(driver.send(order));
    driver.respond(order, notRunResponse("shed"));
    CHECK(onlyAnswer(driver).outcome == wire::Outcome::NotRun);
  }
  SECTION("the back end failed without saying that it did not run it") {
    REQUIRE(driver.send(order));
    driver.respond(order, makeResponse(503));
    CHECK(onlyAnswer(driver).outcome == wire::Outcome::Completed);
  }
  SECTION("time is up before the first byte") {
    driver.runTimer();
    CHECK(onlyAnswer(driver).outcome == wire::Outcome::NotRun);
    CHECK_FALSE(driver.send(order));
  }
  SECTION("time is up after the first byte") {
    REQUIRE(driver.send(order));
    driver.runTimer();
    CHECK(onlyAnswer(driver).outcome == wire::Outcome::Unknown);
    CHECK(driver.take<CancelOrder>().size() == 1);
  }
}

TEST_CASE("a request that may have run is sent again only if it may be repeated", "[outcome]") {
  for (const bool repeatable : {false, true}) {
    DataPathDriver driver(oneRoute(repeatable, 2));
    driver.call("/s");
    const auto first = driver.take<SendOrder>().at(0);
    REQUIRE(driver.send(first));
    driver.fail(first, AttemptFailure::Aborted);
    CHECK(driver.take<SendOrder>().size() == (repeatable ? 1 : 0));
  }
}

TEST_CASE("a back end that leaves costs a request nothing but another attempt", "[outcome]") {
  DataPathDriver driver(oneRoute(false, 2));
  driver.call("/s");
  const auto first = driver.take<SendOrder>().at(0);
  REQUIRE(driver.send(first));
  driver.respond(first, notRunResponse("leaving"));
  const auto second = driver.take<SendOrder>().at(0);
  CHECK(second.endpoint != first.endpoint);
  const auto sightings = driver.take<SightingOrder>();
  REQUIRE(sightings.size() == 1);
  CHECK(sightings[0].record.endpoint == first.endpoint.endpoint);
  CHECK(sightings[0].record.state == wire::EndpointState::Leaving);
  REQUIRE(driver.send(second));
  driver.respond(second, makeResponse(200));
  CHECK(onlyAnswer(driver).outcome == wire::Outcome::Completed);
}

TEST_CASE("the caller's time limit shrinks the route's, and its end is answered at once", "[deadline]") {
  DataPathDriver driver(oneRoute(true));
  driver.call("/s", "", milliseconds(40));
  const auto order = driver.take<SendOrder>().at(0);
  CHECK(order.deadline == driver.now + milliseconds(40));
  CHECK(driver.path.nextTimer() == order.deadline);
  REQUIRE(driver.send(order));
  driver.runTimer();
  CHECK(onlyAnswer(driver).kind == ErrorKind::Timeout);
  driver.call("/s", "", milliseconds(0));
  const auto late = onlyAnswer(driver);
  CHECK(late.outcome == wire::Outcome::NotRun);
  CHECK(late.retry_after > Duration::zero());
}

TEST_CASE("a body cut short is never passed on as complete", "[outcome]") {
  DataPathDriver driver(oneRoute(true, 2));
  driver.call("/s");
  const auto order = driver.take<SendOrder>().at(0);
  REQUIRE(driver.send(order));
  driver.path.onStreamStarted(order.request, order.attempt, makeResponse(200), driver.now);
  REQUIRE(driver.take<StreamOrder>().size() == 1);
  driver.path.onStreamEnded(order.request, order.attempt, false, driver.now);
  CHECK(driver.take<AbortOrder>().size() == 1);
  CHECK(driver.take<EndStreamOrder>().empty());
  CHECK(driver.take<SendOrder>().empty());
}

TEST_CASE("without a view a request is refused with a time to come back", "[outcome]") {
  DataPath path({}, 1);
  path.onRequest(std::make_shared<CallerRequest>(), TimePoint());
  const auto orders = path.takeOrders();
  REQUIRE(orders.size() == 1);
  const auto& answer = std::get<AnswerOrder>(orders[0]).answer;
  CHECK(answer.outcome == wire::Outcome::NotRun);
  CHECK(answer.kind == ErrorKind::Unavailable);
  CHECK(answer.retry_after > Duration::zero());
}

TEST_CASE("a planned stop serves during the grace, and refuses once the limit has passed", "[drain]") {
  DataPathDriver driver(oneRoute(true));
  const DataPathOptions options;
  driver.path.beginDrain(driver.now);
  driver.call("/s");
  CHECK(driver.take<SendOrder>().size() == 1);
  CHECK(driver.path.drain().accepting(driver.now));
  CHECK_FALSE(driver.path.drain().finished(0, 0, driver.now));
  driver.now += options.drain_grace;
  CHECK_FALSE(driver.path.drain().accepting(driver.now));
  CHECK_FALSE(driver.path.drain().finished(1, 1, driver.now));
  CHECK(driver.path.drain().finished(0, 0, driver.now));
  driver.now += options.drain_limit;
  driver.call("/s");
  CHECK(driver.take<SendOrder>().empty());
  CHECK(driver.path.drain().finished(1, 1, driver.now));
}

/// Back ends that fail in every way, and what they truly ran.
class FaultyBackEnds {
 public:
  FaultyBackEnds(DataPathDriver& driver, std::uint64_t seed) : driver_(driver), random_(seed) {}

  /// Takes each attempt to some end, or lets it hang.
  void serve() {
    for (const auto& order : driver_.take<SendOrder>()) serveOne(order);
  }

  std::map<RequestId, unsigned> runs;

 private:
  void serveOne(const SendOrder& order) {
    enum End : std::uint8_t { Refuse, BreakEarly, Shed, Leave, Break, Answer, ServerError, Hang, Count };
    const auto end = random_.uniform(std::uint64_t{0}, std::uint64_t{Count} - 1);
    if (end == Refuse) return driver_.fail(order, AttemptFailure::NoConnection);
    if (end == BreakEarly) return driver_.fail(order, AttemptFailure::Aborted);
    if (!driver_.send(order)) return;
    if (end == Shed) return driver_.respond(order, notRunResponse("shed"));
    if (end == Leave) return driver_.respond(order, notRunResponse("leaving"));
    if (random_.chance(0.5) || end == Answer) ++runs[order.request];
    if (end == Break) return driver_.fail(order, AttemptFailure::Aborted);
    if (end == Answer) return driver_.respond(order, makeResponse(200));
    if (end == ServerError) return driver_.respond(order, makeResponse(503));
  }

  DataPathDriver& driver_;
  RandomSource random_;
};

TEST_CASE("whatever back ends do, each request gets one true answer, and runs as often as it may",
          "[outcome]") {
  constexpr std::uint64_t kSeeds = 40;
  constexpr int kRequests = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const bool repeatable = seed % 2 == 0;
    DataPathDriver driver(oneRoute(repeatable, 3), {}, seed);
    FaultyBackEnds back_ends(driver, seed);
    std::map<RequestId, unsigned> answers;
    const auto check = [&] {
      for (const auto& order : driver.take<AnswerOrder>()) {
        ++answers[order.request];
        const auto ran = back_ends.runs[order.request];
        if (order.answer.outcome == wire::Outcome::NotRun) CHECK(ran == 0);
      }
    };
    for (int i = 0; i < kRequests; ++i) {
      driver.call("/s");
      back_ends.serve();
      check();
      driver.now += milliseconds(20);
      driver.path.onTimer(driver.now);
    }
    while (driver.path.unsettled() > 0) {
      REQUIRE(driver.runTimer());
      back_ends.serve();
      check();
    }
    CHECK(answers.size() == kRequests);
    for (const auto& [id, count] : answers) CHECK(count == 1);
    if (repeatable) continue;
    for (const auto& [id, count] : back_ends.runs) CHECK(count <= 1);
  }
}

}  // namespace
}  // namespace cometstand::proxy
