// Checks how the leader grants tenants' tokens.
#include "store/quota_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "store/quota_register.h"

namespace cometstand::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr QuotaLedger::Holder kNode{1};
constexpr QuotaLedger::Holder kOtherNode{2};

/// Ledger of a leader whose leadership is confirmed up to the current time.
class LeadingLedger {
 public:
  /// @param live number of leaderships whose tokens may be in use.
  explicit LeadingLedger(std::uint32_t live = 2) {
    ledger.beginLeadership(5, live, now);
    ledger.setLimits({{"a", {100, 50}}}, now);
  }
  void advance(Duration time) {
    now += time;
    ledger.confirmLeadership(now);
  }
  /// @return the number of tokens granted.
  std::uint64_t requestTokens(std::uint32_t need, std::uint32_t held = 0, std::uint32_t returned = 0,
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
    response = ledger.onRequest(holder, request, now);
    return response.shares.empty() ? 0 : response.shares.front()->granted;
  }

  TimePoint now{seconds(100)};
  QuotaLedger ledger{QuotaBounds{}};
  std::uint64_t sequence = 0;
  wire::QuotaGrantT response;
};

/// Excess of the limit above: ((100 * 5 + 50) * 0.1 + 20) * 0.9, the last factor being the used share.
constexpr std::uint64_t kExcess = 67;
constexpr std::uint64_t kCapacity = 50 + kExcess / 2;

}  // namespace

TEST_CASE("a leader grants tokens at the rate of the limit, and a burst", "[quota]") {
  LeadingLedger leader;
  CHECK(leader.requestTokens(10) == 0);
  leader.advance(milliseconds(100));
  CHECK(leader.requestTokens(100) == 10);
  leader.advance(seconds(20));
  CHECK(leader.requestTokens(1'000) >= kCapacity - 1);
  CHECK(leader.response.shares.front()->retry_after_ms > 0);
  leader.advance(milliseconds(500));
  // The node reports that it has used all of its tokens.
  CHECK(leader.requestTokens(1'000) == 50);
}

TEST_CASE("tokens that a node may still use count against the burst", "[quota]") {
  LeadingLedger leader;
  leader.advance(seconds(20));
  const auto granted = leader.requestTokens(60);
  REQUIRE(granted == 60);
  leader.advance(seconds(1));
  // Another node is granted only the remaining capacity.
  const auto other = leader.requestTokens(1'000, 0, 0, kOtherNode);
  CHECK(other <= kCapacity - 60 + 1);
}

TEST_CASE("returned tokens are granted again immediately, and only once", "[quota]") {
  LeadingLedger leader;
  leader.advance(seconds(20));
  const auto all = leader.requestTokens(1'000);
  CHECK(leader.requestTokens(1'000, 0, static_cast<std::uint32_t>(all), kOtherNode) == 0);
  CHECK(leader.requestTokens(40, static_cast<std::uint32_t>(all) - 40, 40) == 40);
  // The node returns more tokens than it can have held.
  CHECK(leader.requestTokens(40, static_cast<std::uint32_t>(all), 400) == 0);
}

TEST_CASE(
    "tokens of a silent node are released when they expire and are refilled only at the rate of the limit",
    "[quota]") {
  LeadingLedger leader;
  leader.advance(seconds(20));
  const auto all = leader.requestTokens(1'000);
  REQUIRE(all >= kCapacity - 1);
  leader.advance(QuotaLedger::kTokenLifetime - milliseconds(1));
  CHECK(leader.requestTokens(1'000, 0, 0, kOtherNode) <= 1);
  leader.advance(milliseconds(101));
  leader.requestTokens(0, 0, 0, kOtherNode);
  leader.advance(milliseconds(100));
  // 201 ms at 100 tokens per second, rounded up.
  CHECK(leader.requestTokens(1'000, 0, 0, kOtherNode) <= 21);
}

TEST_CASE("a leader that no quorum has confirmed recently grants nothing", "[quota]") {
  LeadingLedger leader;
  leader.advance(seconds(20));
  leader.now += QuotaLedger::kConfirmationTimeout;
  CHECK(leader.requestTokens(1) == 0);
}

TEST_CASE("a new leader grants less the more earlier leaderships may have tokens in use", "[quota]") {
  const auto live = GENERATE(range<std::uint32_t>(1, 9));
  LeadingLedger leader(live);
  leader.advance(QuotaLedger::kGenerationExpiry - milliseconds(1));
  // The first leadership may grant half of the excess, each later one half of the remainder.
  CHECK(leader.requestTokens(1'000) == kExcess >> std::max(live, 2U));
  leader.advance(seconds(5));
  CHECK(leader.requestTokens(1'000) > kExcess / 2);
}

TEST_CASE("tokens of any number of successive leaderships stay within the bounds", "[quota]") {
  constexpr std::uint32_t kLeaderships = 20;
  LeadingLedger first;
  first.advance(seconds(20));
  std::uint64_t granted = first.requestTokens(1'000);
  for (std::uint32_t live = 2; live <= kLeaderships; ++live) {
    LeadingLedger leader(live);
    leader.advance(QuotaLedger::kGenerationExpiry - milliseconds(1));
    granted += leader.requestTokens(1'000);
  }
  CHECK(granted <= 50 + kExcess);
}

TEST_CASE("reports on tokens of another leadership are ignored", "[quota]") {
  LeadingLedger leader;
  leader.advance(seconds(20));
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

TEST_CASE("a lowered limit takes effect immediately", "[quota]") {
  LeadingLedger leader;
  leader.advance(seconds(20));
  leader.ledger.setLimits({{"a", {10, 0}}}, leader.now);
  CHECK(leader.requestTokens(1'000) <= 12);
  leader.ledger.setLimits({}, leader.now);
  leader.requestTokens(1);
  CHECK(leader.response.shares.empty());
}

TEST_CASE("the replicated state counts the leaderships whose tokens may be in use", "[quota]") {
  const auto record = [](std::uint64_t generation, bool earlier_are_void = false) {
    wire::QuotaLeadershipT leadership;
    leadership.generation = generation;
    leadership.earlier_are_void = earlier_are_void;
    return leadership;
  };
  QuotaRegister leaderships;
  CHECK(leaderships.capture() == nullptr);
  CHECK(leaderships.apply(record(3)).live == 1);
  CHECK(leaderships.apply(record(4)).live == 2);
  // Terms without a leader, or whose leader granted nothing, are not counted.
  CHECK(leaderships.apply(record(7)).live == 3);
  // Applying the same record again changes nothing.
  CHECK(leaderships.apply(record(7)).live == 3);
  // A late record of an earlier leadership does not expire any tokens.
  CHECK(leaderships.apply(record(4, true)).live == 3);
  QuotaRegister other;
  other.restore(leaderships.capture());
  CHECK(other.apply(record(7, true)).live == 1);
  CHECK(other.apply(record(8)).live == 2);
}

}  // namespace cometstand::store
