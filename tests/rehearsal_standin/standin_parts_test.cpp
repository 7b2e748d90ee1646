#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "base/error.h"
#include "rehearsal/standin/answer_body.h"
#include "rehearsal/standin/answer_check.h"
#include "rehearsal/standin/backend_behavior.h"
#include "rehearsal/standin/latency_histogram.h"
#include "rehearsal/standin/load_report.h"
#include "rehearsal/standin/machine_list.h"
#include "rehearsal/standin/service_time.h"
#include "rehearsal/standin/work_queue.h"
#include "rehearsal/standin/workload.h"

namespace cometstand::rehearsal {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr TimePoint kStart{};

TEST_CASE("a work queue fills its slots, then its queue, then sheds", "[work_queue]") {
  WorkQueue queue(2, 1);
  CHECK(queue.submit(WorkId{1}) == Admission::Started);
  CHECK(queue.submit(WorkId{2}) == Admission::Started);
  CHECK(queue.submit(WorkId{3}) == Admission::Queued);
  CHECK(queue.submit(WorkId{4}) == Admission::Shed);
  CHECK(queue.load() == Approx(1.5));
  CHECK(queue.remove(WorkId{1}) == WorkId{3});
  CHECK(queue.remove(WorkId{2}) == std::nullopt);
  CHECK(queue.working() == 1);
}

TEST_CASE("a probe waits at the head of the queue and is never shed", "[work_queue]") {
  WorkQueue queue(1, 1);
  queue.submit(WorkId{1});
  queue.submit(WorkId{2});
  CHECK(queue.submitFirst(WorkId{3}) == Admission::Queued);
  CHECK(queue.remove(WorkId{1}) == WorkId{3});
}

TEST_CASE("removing a waiting request frees its place", "[work_queue]") {
  WorkQueue queue(1, 1);
  queue.submit(WorkId{1});
  queue.submit(WorkId{2});
  CHECK(queue.remove(WorkId{2}) == std::nullopt);
  CHECK(queue.submit(WorkId{3}) == Admission::Queued);
}

TEST_CASE("a load report lags and lies", "[load_report]") {
  LoadReport report;
  report.setLag(milliseconds(100));
  report.record(kStart, 0.5);
  report.record(kStart + milliseconds(50), 2);
  CHECK(report.reported(kStart + milliseconds(99)) == 0);
  CHECK(report.reported(kStart + milliseconds(120)) == 0.5);
  CHECK(report.reported(kStart + milliseconds(150)) == 2);
  report.setLie(0.1);
  CHECK(report.reported(kStart + milliseconds(200)) == 0.1);
}

TEST_CASE("a machine list shows a change only after its lag", "[machine_list]") {
  MachineList machines(milliseconds(100));
  machines.updateFromJson(kStart,
                          json::parse(R"([{"address": "127.0.0.1", "port": 9001, "state": "live"}])"));
  machines.update(kStart + milliseconds(10), {"127.0.0.1", 9001, "leaving"});
  CHECK(machines.listed(kStart + milliseconds(99)).as_array().empty());
  CHECK(machines.listed(kStart + milliseconds(105)).at(0).at("state") == "live");
  CHECK(machines.listed(kStart + milliseconds(110)).at(0).at("state") == "leaving");
  CHECK_THROWS_AS(machines.updateFromJson(kStart, json::parse(R"({"port": 1})")), Error);
}

TEST_CASE("equal seeds give equal service times around the mean", "[service_time]") {
  for (const auto shape : {ServiceTimeShape::Exponential, ServiceTimeShape::LogNormal}) {
    ServiceTimeOptions options;
    options.shape = shape;
    ServiceTimeSource one(options, 7);
    ServiceTimeSource two(options, 7);
    constexpr int kDraws = 20'000;
    double sum = 0;
    for (int i = 0; i < kDraws; ++i) {
      const Duration drawn = one.next();
      REQUIRE(drawn == two.next());
      sum += static_cast<double>(drawn.count());
    }
    CHECK(sum / kDraws == Approx(static_cast<double>(options.mean.count())).epsilon(0.05));
  }
}

TEST_CASE("quantiles are at most one bin too high", "[latency_histogram]") {
  LatencyHistogram latency;
  for (int i = 1; i <= 1000; ++i) latency.add(milliseconds(i));
  CHECK(latency.quantile(0.5) >= milliseconds(500));
  CHECK(latency.quantile(0.5) <= milliseconds(512));
  CHECK(latency.quantile(0.999) >= milliseconds(999));
  CHECK(latency.quantile(1) == milliseconds(1000));
  CHECK(LatencyHistogram().quantile(0.99) == Duration::zero());
}

TEST_CASE("bad control bodies change nothing", "[backend_behavior]") {
  const BackendBehavior before;
  CHECK_THROWS_AS(applyControl(before, json::parse(R"({"slow_factor": "much"})")), Error);
  CHECK_THROWS_AS(applyControl(before, json::parse(R"({"fault_share": 2})")), Error);
  CHECK_THROWS_AS(applyControl(before, json::parse(R"({"sloth": 2})")), Error);
  CHECK_THROWS_AS(applyControl(before, json::parse("[]")), Error);
  const auto after = applyControl(before, json::parse(R"({"truncate_after": 3, "load_lie": 0})"));
  CHECK(after.truncate_after == 3U);
  CHECK_FALSE(applyControl(after, json::parse(R"({"truncate_after": null})")).truncate_after.has_value());
}

TEST_CASE("a workload survives its JSON form, and unknown members are refused", "[workload]") {
  const auto text = R"({"kinds": [{"name": "commit", "method": "POST", "keyed": true, "deadline_ms": 900}]})";
  const Workload workload = parseWorkload(json::parse(text));
  const Workload again = parseWorkload(toJson(workload));
  REQUIRE(again.kinds.size() == 1);
  CHECK(again.kinds[0].keyed);
  CHECK(again.kinds[0].deadline == milliseconds(900));
  CHECK_THROWS_AS(parseWorkload(json::parse(R"({"kinds": [{"nom": "x"}]})")), Error);
  CHECK_THROWS_AS(parseWorkload(json::parse(R"({"kinds": []})")), Error);
}

TEST_CASE("only the request's own whole answer counts as completed", "[answer_check]") {
  RequestKind kind;
  kind.answer_bytes = 20;
  http::response<http::string_body> answer(http::status::ok, 11);
  answer.set("X-Outcome", "completed");
  answer.body() = answerBody("caller-1", 20);
  CHECK(checkAnswer(kind, "caller-1", answer).outcome == CallOutcome::Completed);
  CHECK(checkAnswer(kind, "caller-2", answer).outcome == CallOutcome::WrongAnswer);
  answer.body().pop_back();
  CHECK(checkAnswer(kind, "caller-1", answer).outcome == CallOutcome::WrongAnswer);
}

TEST_CASE("refusals name their kind and when to come back", "[answer_check]") {
  http::response<http::string_body> answer(http::status::service_unavailable, 11);
  answer.set("X-Outcome", "not_run");
  answer.set("X-Retry-After-Ms", "120");
  answer.body() = R"({"kind": "overloaded"})";
  const AnswerVerdict verdict = checkAnswer({}, "caller-1", answer);
  CHECK(verdict.outcome == CallOutcome::NotRun);
  CHECK(verdict.reason == "overloaded");
  CHECK(verdict.retry_after == Duration(milliseconds(120)));
  answer.set("X-Outcome", "unknown");
  CHECK(checkAnswer({}, "caller-1", answer).outcome == CallOutcome::Unknown);
}

}  // namespace
}  // namespace cometstand::rehearsal
