#include <catch2/catch.hpp>
#include <set>

#include "proxy/admission_queue.h"

namespace cometstand::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::RequestClass;

/// An admission queue with its clock, over services of one slot.
struct Fixture {
  explicit Fixture(AdmissionOptions options = {}) : queue(options, 1) {
    for (const auto* tenant : {"a", "b"}) queue.setCapacity({tenant, "s"}, 1);
  }
  void offer(std::uint64_t id, const std::string& tenant,
             RequestClass request_class = RequestClass::Interactive, Duration time_left = seconds(10)) {
    queue.offer({RequestId{id}, {tenant, "s"}, request_class, now + time_left}, now);
    note();
  }
  void release(const std::string& tenant, WorkResult result = WorkResult::Success) {
    queue.release({tenant, "s"}, result, milliseconds(100), now);
    note();
  }
  void note() {
    const auto changes = queue.takeChanges();
    for (const auto id : changes.admitted) admitted.push_back(static_cast<std::uint64_t>(id));
    refused.insert(refused.end(), changes.refused.begin(), changes.refused.end());
  }

  TimePoint now{seconds(1000)};
  AdmissionQueue queue;
  std::vector<std::uint64_t> admitted;
  std::vector<AdmissionRefusal> refused;
};

TEST_CASE("classes go in their order, each first come, first served", "[admission]") {
  Fixture fixture;
  fixture.offer(1, "a");
  fixture.offer(2, "a", RequestClass::Leisure);
  fixture.offer(3, "a", RequestClass::Bulk);
  fixture.offer(4, "a", RequestClass::Interactive);
  fixture.offer(5, "a", RequestClass::Interactive);
  for (int i = 0; i < 5; ++i) fixture.release("a");
  CHECK(fixture.admitted == std::vector<std::uint64_t>{1, 4, 5, 3, 2});
}

TEST_CASE("what will not make its deadline is shed at once, with spread times to come back", "[admission]") {
  Fixture fixture;
  fixture.offer(1, "a");
  fixture.release("a");
  fixture.offer(2, "a");
  // One request takes 100 ms; those behind it would wait longer than they have.
  for (std::uint64_t id = 10; id < 60; ++id)
    fixture.offer(id, "a", RequestClass::Interactive, milliseconds(150));
  REQUIRE(fixture.refused.size() == 50);
  std::set<Duration> waits;
  for (const auto& refusal : fixture.refused) {
    CHECK(refusal.reason == RefusalReason::WaitTooLong);
    CHECK(refusal.retry_after >= milliseconds(100));
    waits.insert(refusal.retry_after);
  }
  CHECK(waits.size() > 25);
  CHECK(*waits.rbegin() - *waits.begin() > milliseconds(50));
}

TEST_CASE("one tenant's queue neither delays nor displaces another's", "[admission]") {
  AdmissionOptions options;
  options.tenant_max_queued = 20;
  options.max_in_flight = 1;
  Fixture fixture(options);
  fixture.offer(1, "a");
  for (std::uint64_t id = 100; id < 200; ++id) fixture.offer(id, "a");
  CHECK(fixture.refused.size() == 80);
  fixture.offer(2, "b", RequestClass::Leisure);
  fixture.release("a");
  CHECK(fixture.admitted == std::vector<std::uint64_t>{1, 2});
  fixture.release("b");
  CHECK(fixture.admitted.back() == 100);
}

TEST_CASE("a tenant works on no more requests at once than its limit", "[admission]") {
  Fixture fixture;
  for (const auto* tenant : {"a", "b"}) fixture.queue.setCapacity({tenant, "s"}, 10);
  fixture.queue.setTenantLimit("a", 2);
  for (std::uint64_t id = 1; id <= 4; ++id) fixture.offer(id, "a");
  fixture.offer(5, "b");
  CHECK(fixture.admitted == std::vector<std::uint64_t>{1, 2, 5});
  fixture.release("a");
  CHECK(fixture.admitted.back() == 3);
}

TEST_CASE("a full queue gives up its lowest class first", "[admission]") {
  AdmissionOptions options;
  options.tenant_max_queued = 2;
  Fixture fixture(options);
  fixture.offer(1, "a");
  fixture.offer(2, "a", RequestClass::Bulk);
  fixture.offer(3, "a", RequestClass::Leisure);
  fixture.offer(4, "a", RequestClass::Interactive);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].id == RequestId{3});
  CHECK(fixture.refused[0].reason == RefusalReason::Displaced);
  fixture.offer(5, "a", RequestClass::Leisure);
  CHECK(fixture.refused.back().reason == RefusalReason::QueueFull);
}

TEST_CASE("a waiting request is refused at its deadline, not later", "[admission]") {
  Fixture fixture;
  fixture.offer(1, "a");
  fixture.offer(2, "a", RequestClass::Interactive, milliseconds(70));
  CHECK(fixture.queue.nextTimer() == fixture.now + milliseconds(70));
  fixture.now = fixture.queue.nextTimer();
  fixture.queue.onTimer(fixture.now);
  fixture.note();
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::DeadlinePassed);
}

TEST_CASE("requests that run out of time lower the limit, successes raise it again", "[admission]") {
  Fixture fixture;
  const ServiceKey service{"a", "s"};
  fixture.queue.setCapacity(service, 10);
  for (std::uint64_t id = 1; id <= 10; ++id) fixture.offer(id, "a");
  fixture.release("a", WorkResult::Overload);
  CHECK(fixture.queue.limit(service) == 8);
  fixture.release("a", WorkResult::Overload);
  CHECK(fixture.queue.limit(service) == 8);
  // These wait until the limit rises.
  fixture.offer(61, "a");
  fixture.offer(62, "a");
  for (std::uint64_t id = 11; id < 60; ++id) {
    fixture.release("a");
    fixture.offer(id, "a");
  }
  CHECK(fixture.queue.limit(service) == 10);
}

}  // namespace
}  // namespace cometstand::proxy
