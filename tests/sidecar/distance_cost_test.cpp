#include "sidecar/distance_cost.h"

#include <catch2/catch.hpp>

namespace cometstand::sidecar::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct DistanceFixture {
  static SidecarOptions makeOptions() {
    SidecarOptions options;
    options.zone = "east-a";
    options.zones = mesh::ZoneMap({"east-a=east", "east-b=east", "west-a=west"});
    return options;
  }

  double costOf(const std::string& zone) const {
    Endpoint endpoint;
    endpoint.zone = zone;
    return DistanceCost(options, links).of(endpoint, criteria, now);
  }

  SidecarOptions options = makeOptions();
  RegionLinks links{options};
  EndpointCriteria criteria;
  TimePoint now{seconds(100)};
};

}  // namespace

TEST_CASE_METHOD(DistanceFixture, "the own zone costs nothing, and the own region less than another region") {
  criteria.max_wait = milliseconds(150);
  criteria.bytes = GENERATE(0, 400, 90'000);
  CHECK(costOf("east-a") == 0);
  CHECK(costOf("east-b") > 0);
  CHECK(costOf("west-a") > costOf("east-b"));
}

TEST_CASE_METHOD(DistanceFixture, "without configured regions another zone costs its zone cost only") {
  options.zones = mesh::ZoneMap();
  criteria.max_wait = milliseconds(150);
  criteria.bytes = 400;
  criteria.refusal_share = GENERATE(0, 1);
  CHECK(costOf("west-a") == options.zone_cost.of(400));
}

TEST_CASE_METHOD(DistanceFixture, "the cost of another region rises as the request's maximum wait falls") {
  criteria.max_wait = milliseconds(150);
  const double long_wait_cost = costOf("west-a");
  criteria.max_wait = milliseconds(30);
  CHECK(costOf("west-a") > long_wait_cost + 1);
}

TEST_CASE_METHOD(DistanceFixture, "refused requests lower the round-trip cost but not the bytes cost") {
  criteria.max_wait = milliseconds(150);
  const double served = costOf("west-a");
  criteria.refusal_share = 0.02;
  const double partly_refused = costOf("west-a");
  criteria.refusal_share = 1;
  CHECK(partly_refused < served);
  CHECK(costOf("west-a") < partly_refused);
  CHECK(costOf("west-a") > 0);
  criteria.bytes = 90'000;
  CHECK(costOf("west-a") > 90'000 / options.region_bytes_per_target);
}

TEST_CASE_METHOD(DistanceFixture, "a measured round trip replaces the configured round trip") {
  criteria.max_wait = milliseconds(150);
  const double by_setting = costOf("west-a");
  Endpoint west;
  west.zone = "west-a";
  Transfer transfer;
  transfer.round_trip = milliseconds(10);
  links.onEnded(west, transfer, now);
  CHECK(costOf("west-a") < by_setting - 0.3);
  now += seconds(10);
  CHECK(costOf("west-a") == by_setting);
}

TEST_CASE_METHOD(DistanceFixture, "the senders of a region share the link capacity evenly") {
  options.region_link_bandwidth = 1'000'000;
  links.setSenderCount(10);
  Endpoint west;
  west.zone = "west-a";
  criteria.bytes = 400;
  criteria.is_urgent = true;
  std::size_t admitted = 0;
  for (const TimePoint end = now + seconds(10); now < end; now += milliseconds(1)) {
    if (!links.admits(west, criteria, now)) continue;
    links.onSent(west, criteria.bytes, now);
    ++admitted;
  }
  // Each request is counted with its overhead besides the body. Half of the link capacity is reserved for the
  // senders of the other region.
  CHECK(admitted * 1'400 < 500'000);
  CHECK(admitted * 1'400 > 300'000);
  Endpoint near;
  near.zone = "east-b";
  criteria.bytes = 1'000'000;
  CHECK(links.admits(near, criteria, now));
}

TEST_CASE_METHOD(DistanceFixture,
                 "a slow link of the sender's machine is not taken for a queue between regions") {
  const std::string slow_zone = GENERATE("", "east-b");
  Endpoint west;
  west.zone = "west-a";
  Endpoint near;
  near.zone = "east-b";
  const auto exchange = [&](Duration west_time, Duration near_time) {
    Transfer transfer;
    transfer.round_trip = near_time;
    links.onEnded(near, transfer, now);
    transfer.round_trip = west_time;
    links.onSent(west, 400, now);
    links.onEnded(west, transfer, now);
    now += milliseconds(20);
  };
  for (int i = 0; i < 50; ++i) exchange(milliseconds(60), milliseconds(1));
  const bool is_own_link = !slow_zone.empty();
  for (int i = 0; i < 100; ++i) exchange(milliseconds(160), milliseconds(is_own_link ? 101 : 1));
  CHECK((links.rates().at("west") == LinkShare::kUnbounded) == is_own_link);
}

}  // namespace cometstand::sidecar::test
