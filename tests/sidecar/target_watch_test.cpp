#include "sidecar/target_watch.h"

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

class WatchFixture {
 public:
  static ForwardRequestPointer makeRequest(const std::string& id) {
    auto request = std::make_shared<wire::ForwardRequestT>();
    request->request_id = id;
    return request;
  }

  static std::vector<std::string> idsOf(const TargetEnd& end) {
    std::vector<std::string> ids;
    for (const auto& request : end.requests) ids.push_back(request->request_id);
    return ids;
  }

  RecordingTarget target;
  std::vector<TargetWatch::Run> running;
  TargetWatch watch{target, [this] { return running; }};
  TimePoint now{std::chrono::seconds(100)};
};

}  // namespace

TEST_CASE_METHOD(WatchFixture,
                 "a target whose address refuses connections after a broken run has terminated") {
  running.push_back({makeRequest("concurrent"), now - milliseconds(50)});
  watch.onBroken(makeRequest("broken"), {"a"}, now);
  CHECK(target.probes == 1);
  // This request started after the target had terminated, so it never reached the target.
  running.push_back({makeRequest("late"), now + milliseconds(1)});
  const auto end = watch.onProbed(ProbeOutcome::Refused, now + milliseconds(2));
  REQUIRE(end);
  CHECK(end->incarnation.id == "a");
  CHECK(idsOf(*end) == std::vector<std::string>{"broken", "concurrent"});
}

TEST_CASE_METHOD(WatchFixture, "the end of a target is reported once, however many runs break") {
  watch.onBroken(makeRequest("1"), {"a"}, now);
  watch.onBroken(makeRequest("2"), {"a"}, now);
  CHECK(target.probes == 1);
  CHECK(watch.onProbed(ProbeOutcome::Refused, now));
  watch.onBroken(makeRequest("3"), {"a"}, now);
  CHECK(target.probes == 1);
  CHECK_FALSE(watch.onProbed(ProbeOutcome::Refused, now));
  CHECK_FALSE(watch.onIncarnation({"b"}, now + std::chrono::seconds(4)));
}

TEST_CASE_METHOD(WatchFixture, "a target that accepts connections and answers has not terminated") {
  watch.onBroken(makeRequest("1"), {"a"}, now);
  CHECK_FALSE(watch.onProbed(ProbeOutcome::Accepted, now));
  watch.onAnswered({"a"}, now + milliseconds(10));
  CHECK_FALSE(watch.onIncarnation({"b"}, now + std::chrono::seconds(4)));
}

TEST_CASE_METHOD(
    WatchFixture,
    "the response to a run that started before the broken one does not prove that the target is alive") {
  watch.onBroken(makeRequest("1"), {"a"}, now);
  watch.onAnswered({"a"}, now - milliseconds(10));
  CHECK(watch.onProbed(ProbeOutcome::Refused, now));
}

TEST_CASE_METHOD(WatchFixture,
                 "another instance soon after a broken run proves that the one before has terminated") {
  watch.onBroken(makeRequest("1"), {"a"}, now);
  CHECK_FALSE(watch.onProbed(ProbeOutcome::Unknown, now));
  CHECK_FALSE(watch.onIncarnation({"a"}, now + std::chrono::seconds(1)));
  const auto end = watch.onIncarnation({"b"}, now + std::chrono::seconds(4));
  REQUIRE(end);
  CHECK(end->incarnation.id == "a");
}

TEST_CASE_METHOD(
    WatchFixture,
    "another instance long after a broken run does not prove that the one before has terminated") {
  watch.onBroken(makeRequest("1"), {"a"}, now);
  CHECK_FALSE(watch.onIncarnation({"b"}, now + std::chrono::seconds(11)));
}

TEST_CASE_METHOD(WatchFixture,
                 "a run that was cancelled shortly before a broken run may have crashed the target") {
  watch.onCancelled(makeRequest("old"), now - std::chrono::seconds(2));
  watch.onCancelled(makeRequest("cancelled"), now - milliseconds(100));
  watch.onBroken(makeRequest("broken"), {"a"}, now);
  const auto end = watch.onProbed(ProbeOutcome::Refused, now);
  REQUIRE(end);
  CHECK(idsOf(*end) == std::vector<std::string>{"broken", "cancelled"});
}

}  // namespace cometstand::sidecar::test
