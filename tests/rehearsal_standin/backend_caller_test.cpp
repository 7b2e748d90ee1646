#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "rehearsal/standin/backend.h"
#include "rehearsal/standin/caller.h"

namespace cometstand::rehearsal {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

/// One back end and one caller that talk over loopback in one thread.
class BackendWithCaller {
 public:
  BackendWithCaller() {
    backend_options.listen = {asio::ip::address_v4::loopback(), 0};
    backend_options.service_time = {ServiceTimeShape::Constant, milliseconds(2), 0};
    backend_options.linger_time = milliseconds(0);
    caller_options.rate = 200;
    caller_options.duration = milliseconds(250);
  }

  /// Runs all requests to their outcome.
  void run(const BackendBehavior& behavior = {}) {
    asio::io_context io(1);
    Backend backend(io, backend_options);
    backend.setBehavior(behavior);
    caller_options.servers = {backend.address()};
    Caller caller(io, caller_options, Workload{{kind}});
    backend.start();
    caller.whenDone([&io] { io.stop(); });
    caller.start();
    io.run();
    report = caller.report();
    executed = ExecutionRecord();
    executed.addJson(backend.executedJson().at("requests"));
    counters = backend.counters();
  }

  std::uint64_t count(CallOutcome outcome) const { return report.all().count(outcome); }

  BackendOptions backend_options;
  CallerOptions caller_options;
  RequestKind kind;
  CallerReport report;
  ExecutionRecord executed;
  BackendCounters counters;
};

TEST_CASE("a healthy back end runs every request once", "[backend]") {
  BackendWithCaller pair;
  pair.run();
  REQUIRE(pair.report.all().total() > 0);
  CHECK(pair.count(CallOutcome::Completed) == pair.report.all().total());
  CHECK(pair.executed.executions().size() == pair.report.all().total());
  for (const auto& [id, execution] : pair.executed.executions()) CHECK(execution.begun == 1);
}

TEST_CASE("a truncated or reset answer counts as lost, never as completed", "[backend]") {
  BackendWithCaller pair;
  pair.kind.repeatable = false;
  BackendBehavior behavior;
  SECTION("truncated") { behavior.truncate_after = 5; }
  SECTION("reset") { behavior.reset_after = 0; }
  pair.run(behavior);
  REQUIRE(pair.report.all().total() > 0);
  CHECK(pair.count(CallOutcome::Lost) == pair.report.all().total());
  CHECK(pair.counters.begun == pair.report.all().total());
}

TEST_CASE("a request that may be repeated is sent again after a lost answer", "[caller]") {
  BackendWithCaller pair;
  BackendBehavior behavior;
  behavior.truncate_after = 5;
  behavior.fault_share = 0.3;
  pair.run(behavior);
  CHECK(pair.report.all().resends > 0);
  CHECK(pair.count(CallOutcome::Completed) > 0);
  CHECK(pair.counters.begun == pair.report.all().total() + pair.report.all().resends);
}

TEST_CASE("an overloaded back end sheds, and what it shed did not run", "[backend]") {
  BackendWithCaller pair;
  pair.backend_options.slots = 1;
  pair.backend_options.queue_limit = 1;
  pair.backend_options.service_time.mean = milliseconds(50);
  pair.run();
  REQUIRE(pair.count(CallOutcome::NotRun) > 0);
  CHECK(pair.counters.shed == pair.count(CallOutcome::NotRun));
  for (const auto& record : pair.report.records()) {
    if (record.outcome == CallOutcome::NotRun)
      CHECK(pair.executed.executions().count(record.request_id) == 0);
  }
}

TEST_CASE("a back end stops work at the deadline that the caller gave", "[backend]") {
  BackendWithCaller pair;
  pair.backend_options.service_time.mean = std::chrono::seconds(100);
  pair.backend_options.slots = 1000;
  pair.kind.deadline = milliseconds(1);
  pair.run();
  REQUIRE(pair.report.all().total() > 0);
  CHECK(pair.counters.deadline_passed == pair.report.all().total());
  CHECK(pair.count(CallOutcome::Unknown) == pair.report.all().total());
}

TEST_CASE("a leaving back end refuses new requests and counts them", "[backend]") {
  BackendWithCaller pair;
  pair.backend_options.linger_time = std::chrono::seconds(60);
  BackendBehavior behavior;
  behavior.leaving = true;
  SECTION("refused") {
    pair.run(behavior);
    CHECK(pair.count(CallOutcome::NotRun) == pair.report.all().total());
    CHECK(pair.counters.begun == 0);
  }
  SECTION("run all the same when told so") {
    behavior.refuse_while_leaving = false;
    pair.run(behavior);
    CHECK(pair.counters.begun_leaving == pair.report.all().total());
  }
  REQUIRE(pair.report.all().total() > 0);
  CHECK(pair.counters.arrived_leaving == pair.report.all().total());
}

TEST_CASE("a closed connection cancels the work", "[backend]") {
  asio::io_context io(1);
  BackendOptions options;
  options.listen = {asio::ip::address_v4::loopback(), 0};
  options.service_time = {ServiceTimeShape::Constant, std::chrono::seconds(1000), 0};
  options.linger_time = milliseconds(0);
  Backend backend(io, options);
  backend.start();
  asio::ip::tcp::socket client(io);
  client.connect(backend.address());
  asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n")));
  while (backend.counters().begun == 0) io.run_one();
  client.close();
  while (backend.counters().cancelled == 0) io.run_one();
  CHECK(backend.counters().finished == 0);
}

TEST_CASE("arrivals keep their rate however slow the answers are", "[caller]") {
  BackendWithCaller fast;
  fast.run();
  BackendWithCaller slow;
  slow.backend_options.service_time.mean = milliseconds(100);
  slow.backend_options.queue_limit = 1000;
  slow.run();
  CHECK(fast.report.all().total() == slow.report.all().total());
}

}  // namespace
}  // namespace cometstand::rehearsal
