// The leader's tokens of tenants.
#include "store/quota_ledger.h"

#include <catch2/catch.hpp>

#include "store/quota_service.h"

namespace cometstand::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr QuotaLedger::Holder kNode{1};
constexpr QuotaLedger::Holder kOtherNode{2};

/// A ledger that leads, whose leadership is confirmed up to now.
class LeadingLedger {
 public:
  explicit LeadingLedger(bool only_one_before = true) {
    ledger.begin(5, only_one_before, now);
    ledger.setLimits({{"a", {100, 50}}}, now);
  }
  void pass(Duration time) {
    now += time;
    ledger.confirm(now);
  }
  /// @return the tokens given.
  std::uint64_t ask(std::uint32_t need, std::uint32_t held = 0, std::uint32_t returned = 0,
                    QuotaLedger::Holder holder = kNode) {
    wire::QuotaRequestT request;
    request.sequence = ++sequence;
    request.acknowledged = sequence - 1;
    request.generation = 5;
    auto item = std::make_shared<wire::QuotaNeedT>();
    item->tenant = "a";
    item->need = need;
    item->held = held;
    item->returned = returned;
    request.needs.push_back(item);
    answer = ledger.onRequest(holder, request, now);
    return answer.shares.empty() ? 0 : answer.shares.front()->granted;
  }

  TimePoint now{seconds(100)};
  QuotaLedger ledger{QuotaBounds{}};
  std::uint64_t sequence = 0;
  wire::QuotaGrantT answer;
};

/// Of the limit above: (100 x 5 + 50) x 0.1 + 20, of which 0.9 are used.
constexpr std::uint64_t kExcess = 67;
constexpr std::uint64_t kCapacity = 50 + kExcess / 2;

}  // namespace

TEST_CASE("a leader gives tokens as the limit brings them, and a burst", "[quota]") {
  LeadingLedger leader;
  CHECK(leader.ask(10) == 0);
  leader.pass(milliseconds(100));
  CHECK(leader.ask(100) == 10);
  leader.pass(seconds(20));
  CHECK(leader.ask(1'000) >= kCapacity - 1);
  CHECK(leader.answer.shares.front()->retry_after_ms > 0);
  leader.pass(milliseconds(500));
  // The node says that it has used all.
  CHECK(leader.ask(1'000) == 50);
}

TEST_CASE("tokens that a node may still use count against the burst", "[quota]") {
  LeadingLedger leader;
  leader.pass(seconds(20));
  const auto given = leader.ask(60);
  REQUIRE(given == 60);
  leader.pass(seconds(1));
  // Another node finds what is left of the capacity only.
  const auto other = leader.ask(1'000, 0, 0, kOtherNode);
  CHECK(other <= kCapacity - 60 + 1);
}

TEST_CASE("tokens that come back are given again at once, and not twice", "[quota]") {
  LeadingLedger leader;
  leader.pass(seconds(20));
  const auto all = leader.ask(1'000);
  CHECK(leader.ask(1'000, 0, static_cast<std::uint32_t>(all), kOtherNode) == 0);
  CHECK(leader.ask(40, static_cast<std::uint32_t>(all) - 40, 40) == 40);
  // It says so again, which nobody can have held.
  CHECK(leader.ask(40, static_cast<std::uint32_t>(all), 400) == 0);
}

TEST_CASE("what a silent node held is free once it is void, and comes back only as time brings it",
          "[quota]") {
  LeadingLedger leader;
  leader.pass(seconds(20));
  const auto all = leader.ask(1'000);
  REQUIRE(all >= kCapacity - 1);
  leader.pass(QuotaLedger::kValidTime - milliseconds(1));
  CHECK(leader.ask(1'000, 0, 0, kOtherNode) <= 1);
  leader.pass(milliseconds(101));
  leader.ask(0, 0, 0, kOtherNode);
  leader.pass(milliseconds(100));
  // Of 201 ms at 100 a second.
  CHECK(leader.ask(1'000, 0, 0, kOtherNode) <= 21);
}

TEST_CASE("a leader without a quorum's word gives nothing", "[quota]") {
  LeadingLedger leader;
  leader.pass(seconds(20));
  leader.now += QuotaLedger::kConfirmTime;
  CHECK(leader.ask(1) == 0);
}

TEST_CASE(
    "a new leader gives little while tokens of the one before may be in use, and nothing if there may be "
    "more",
    "[quota]") {
  const bool only_one = GENERATE(true, false);
  LeadingLedger leader(only_one);
  leader.pass(QuotaLedger::kGenerationTime - milliseconds(1));
  const auto given = leader.ask(1'000);
  CHECK(given == (only_one ? kExcess / 2 : 0));
  leader.pass(seconds(5));
  CHECK(leader.ask(1'000) > kExcess / 2);
}

TEST_CASE("a node's words on another leadership's tokens change nothing", "[quota]") {
  LeadingLedger leader;
  leader.pass(seconds(20));
  wire::QuotaRequestT request;
  request.sequence = 1;
  request.generation = 4;
  auto need = std::make_shared<wire::QuotaNeedT>();
  need->tenant = "a";
  need->returned = 500;
  need->need = 1'000;
  request.needs.push_back(need);
  CHECK(leader.ledger.onRequest(kNode, request, leader.now).shares.front()->granted <= kCapacity);
}

TEST_CASE("a lowered limit takes effect at once", "[quota]") {
  LeadingLedger leader;
  leader.pass(seconds(20));
  leader.ledger.setLimits({{"a", {10, 0}}}, leader.now);
  CHECK(leader.ask(1'000) <= 12);
  leader.ledger.setLimits({}, leader.now);
  leader.ask(1);
  CHECK(leader.answer.shares.empty());
}

TEST_CASE("who leads next knows whether one leadership only may have tokens in use", "[quota]") {
  const TimePoint start{seconds(100)};
  const auto lead = [](consensus::Term term) {
    return consensus::Leadership{consensus::Role::Follower, term, 1};
  };
  LeadershipHistory history;
  CHECK_FALSE(history.knowsOnlyOneBefore(4, seconds(2), start));
  history.note(lead(3), start);
  CHECK_FALSE(history.knowsOnlyOneBefore(4, seconds(2), start + seconds(1)));
  CHECK(history.knowsOnlyOneBefore(4, seconds(2), start + seconds(2)));
  // Term 4 may have had a leader that was not heard of here.
  CHECK_FALSE(history.knowsOnlyOneBefore(5, seconds(2), start + seconds(9)));
  // The same leader again says nothing new; a new one begins anew.
  history.note(lead(3), start + seconds(9));
  CHECK(history.knowsOnlyOneBefore(4, seconds(2), start + seconds(9)));
  history.note(lead(4), start + seconds(9));
  CHECK_FALSE(history.knowsOnlyOneBefore(5, seconds(2), start + seconds(10)));
}

}  // namespace cometstand::store
