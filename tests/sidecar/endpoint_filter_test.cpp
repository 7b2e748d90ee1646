#include "sidecar/endpoint_filter.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace cometstand;
using sidecar::Endpoint;
using sidecar::EndpointCriteria;
using sidecar::EndpointFilter;
using sidecar::KnownStatements;

namespace {

struct FilterFixture {
  FilterFixture() {
    endpoint.zone = "west-a";
    endpoint.live = true;
    endpoint.linked = true;
  }

  bool admits() const {
    return EndpointFilter(zones, evacuations, statements).admits(endpoint, criteria, now);
  }

  const mesh::ZoneMap zones{{"east-a=east", "west-a=west"}};
  sidecar::ZoneEvacuations evacuations;
  KnownStatements statements;
  Endpoint endpoint;
  EndpointCriteria criteria;
  TimePoint now{std::chrono::seconds(100)};
};

}  // namespace

TEST_CASE_METHOD(FilterFixture, "an endpoint that is not live or not linked gets no requests") {
  CHECK(admits());
  endpoint.linked = false;
  CHECK_FALSE(admits());
  endpoint.linked = true;
  endpoint.live = false;
  CHECK_FALSE(admits());
}

TEST_CASE_METHOD(FilterFixture, "a request restricted to regions is sent to no other region") {
  criteria.regions = {"east"};
  CHECK_FALSE(admits());
  criteria.regions = {"east", "west"};
  CHECK(admits());
}

TEST_CASE_METHOD(FilterFixture,
                 "an endpoint in an unknown zone gets no request that is restricted to regions") {
  endpoint.zone = "nowhere";
  CHECK(admits());
  criteria.regions = {"west"};
  CHECK_FALSE(admits());
}

TEST_CASE_METHOD(FilterFixture, "an endpoint whose target stated that it leaves gets no requests") {
  endpoint.instance = "a@7";
  wire::TargetStatementT statement;
  statement.instance = "a";
  statement.born_ms = 7;
  statement.leaving = true;
  statements.record(endpoint.address, statement, now);
  CHECK_FALSE(admits());
  endpoint.instance = "a@8";
  CHECK(admits());
}

TEST_CASE_METHOD(FilterFixture, "the endpoints of an evacuated zone get no requests") {
  wire::EvacuationUpdateT update;
  update.number = 1;
  auto record = std::make_shared<wire::EvacuationRecordT>();
  record->zone = "west-a";
  record->is_evacuated = true;
  update.records.push_back(std::move(record));
  evacuations.apply(update);
  CHECK_FALSE(admits());
}
