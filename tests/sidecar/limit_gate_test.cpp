#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

using std::chrono::seconds;
using wire::ForwardOutcome;
using wire::NotRunReason;

namespace {

constexpr std::uint64_t kSenders = 12;

/// A gate before a target with 6 slots that states limits; each request runs for 100 ms.
class LimitGateFixture {
 public:
  LimitGateFixture()
      : gate(options, target, quarantine, [this](const GateRequester& requester, wire::ForwardReplyT reply) {
          replies[requester.request_id] = std::move(reply);
        }) {
    beat("a");
  }

  void beat(const std::string& instance) {
    auto beat = SidecarFixture::makeHeartbeat(instance, ++sequence);
    beat.slots = 6;
    gate.target().onHeartbeat(beat, now);
    gate.onHeartbeat(beat, now);
    gate.onTargetChanged(now);
  }

  /// @param known limit that the sender knows of the target.
  std::uint64_t admit(std::optional<double> known = std::nullopt, unsigned priority = 1) {
    auto request = std::make_shared<wire::ForwardRequestT>();
    request->service = "shop";
    request->request_id = "r" + std::to_string(++last_number);
    request->priority = priority;
    request->deadline_ms = 1'000;
    request->objective_ms = 600;
    request->patience_ms = 90;
    if (known) {
      request->statement = std::make_shared<wire::TargetStatementT>();
      request->statement->instance = "a";
      request->statement->rate_limit = *known;
    }
    gate.admit({runtime::LinkId{1 + last_number % kSenders}, last_number}, request, now);
    for (; started.size() < target.orders.size();) started.push_back(now);
    return last_number;
  }

  void pass(Duration time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(5)) {
      gate.onTimer(now);
      for (; started.size() < target.orders.size();) started.push_back(now);
      for (; answered < started.size() && started[answered] + milliseconds(100) <= now; ++answered) {
        RunResult result;
        result.reply.outcome = ForwardOutcome::Answered;
        result.statement = TargetStatement{limit, false, false};
        gate.onResult(target.orders[answered].id, result, now);
      }
    }
  }

  /// Offers 100 requests a second. @return the number of runs that began.
  std::size_t offer(Duration time) {
    const std::size_t before = target.orders.size();
    for (const TimePoint end = now + time; now < end; pass(milliseconds(10))) admit();
    return target.orders.size() - before;
  }

  SidecarOptions options;
  RecordingTarget target;
  std::map<std::uint64_t, wire::ForwardReplyT> replies;
  TimePoint now{seconds(100)};
  Quarantine quarantine{[](const runtime::MessagePointer&) {}};
  TargetGate gate;
  /// What the target states in its responses from now on.
  std::optional<double> limit;
  std::uint64_t last_number = 0;
  std::uint64_t sequence = 0;
  std::vector<TimePoint> started;
  std::size_t answered = 0;
};

}  // namespace

TEST_CASE_METHOD(LimitGateFixture,
                 "a target that names a limit gets that rate, and all it can run once it names none") {
  CHECK(offer(seconds(1)) >= 50);
  limit = 5;
  pass(milliseconds(200));
  const auto limited = offer(seconds(10));
  CHECK(limited >= 45);
  CHECK(limited <= 55);
  limit.reset();
  offer(seconds(1));
  CHECK(offer(seconds(1)) >= 50);
}

TEST_CASE_METHOD(LimitGateFixture,
                 "requests beyond a limit are refused at once with the time that follows from the limit") {
  limit = 2;
  offer(seconds(1));
  pass(milliseconds(200));
  // More than the saved tokens.
  for (int i = 0; i < 3; ++i) admit();
  const auto number = admit();
  REQUIRE(replies.contains(number));
  const auto& reply = replies.at(number);
  CHECK(reply.reason == NotRunReason::Limited);
  // Two a second, 200 ms after the last response.
  CHECK(reply.retry_after_ms >= 300);
  REQUIRE(reply.statement);
  CHECK(reply.statement->rate_limit == 2.0);
  CHECK(reply.limit_pause_ms > 0);
}

TEST_CASE_METHOD(LimitGateFixture, "refusals for a limit do not make the target count as failing or slow") {
  limit = 2;
  offer(seconds(2));
  pass(milliseconds(200));
  const auto before = replies.at(last_number).run_time_permille;
  for (int i = 0; i < 20; ++i) admit();
  const auto& reply = replies.at(last_number);
  CHECK(reply.reason == NotRunReason::Limited);
  CHECK(reply.failure_permille == 0);
  CHECK(reply.run_time_permille == before);
  CHECK(target.probes == 0);
}

TEST_CASE_METHOD(LimitGateFixture, "senders that are told their turns share the limit") {
  limit = 6;
  offer(seconds(1));
  std::set<std::uint32_t> pauses;
  for (std::uint64_t sender = 0; sender < kSenders; ++sender) {
    const auto number = admit();
    if (replies.contains(number)) pauses.insert(replies.at(number).limit_pause_ms / 100);
  }
  // Six requests a second for twelve senders: the turns spread over about two seconds.
  CHECK(pauses.size() >= 6);
  CHECK(*pauses.rbegin() <= 25);
}

TEST_CASE_METHOD(LimitGateFixture, "a gate without a response learns the limit from a sender that knows it") {
  std::size_t admitted = 0;
  for (int i = 0; i < 6; ++i) {
    const auto number = admit(0.5);
    if (!replies.contains(number)) ++admitted;
  }
  CHECK(admitted <= 2);
  CHECK(gate.targetLimit().stated().rate() == 0.5);
}

TEST_CASE_METHOD(LimitGateFixture, "a gate that has the target's own response ignores what senders report") {
  offer(seconds(1));
  admit(0.5);
  CHECK_FALSE(gate.targetLimit().stated().rate());
  SECTION("and tells them that there is no limit") {
    pass(milliseconds(300));
    const auto number = admit(0.5);
    pass(milliseconds(300));
    REQUIRE(replies.at(number).statement);
    CHECK_FALSE(replies.at(number).statement->rate_limit);
  }
}

TEST_CASE_METHOD(LimitGateFixture, "a limit does not pass on to another target") {
  limit = 1;
  offer(seconds(1));
  limit.reset();
  beat("b");
  admit(1.0);
  CHECK_FALSE(gate.targetLimit().stated().rate());
}

}  // namespace cometstand::sidecar::test
