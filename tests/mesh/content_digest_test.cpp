#include "mesh/content_digest.h"

#include <catch2/catch.hpp>

namespace cometstand::mesh::test {
namespace {

wire::ForwardRequestT makeRequest() {
  wire::ForwardRequestT request;
  request.caller_service = "desk";
  request.service = "vault";
  request.method = "GET";
  request.target = "/read/7";
  request.request_id = "r1";
  auto host = std::make_shared<wire::HttpFieldT>();
  host->name = "Host";
  host->value = "vault.example";
  request.fields.push_back(host);
  return request;
}

}  // namespace

TEST_CASE("a repeat has the digest of its first, whatever its id, fields and time left are") {
  const auto first = makeRequest();
  auto repeat = makeRequest();
  repeat.request_id = "r2";
  repeat.deadline_ms = 70;
  repeat.is_retry = true;
  auto field = std::make_shared<wire::HttpFieldT>();
  field->name = "X-Attempt";
  field->value = "2";
  repeat.fields.push_back(field);
  CHECK(digestsOf(first).exact == digestsOf(repeat).exact);
  CHECK_FALSE(digestsOf(first).path);
}

TEST_CASE("caller, service, method, host, path and body are each part of the digest") {
  const auto original = digestsOf(makeRequest()).exact;
  auto changed = makeRequest();
  SECTION("caller") { changed.caller_service = "vault"; }
  SECTION("service") { changed.service = "desk"; }
  SECTION("method") { changed.method = "HEAD"; }
  SECTION("host") { changed.fields.at(0)->value = "desk.example"; }
  SECTION("path") { changed.target = "/read/8"; }
  SECTION("body") { changed.body = {1}; }
  SECTION("where one part ends and the next begins") {
    changed.caller_service = "des";
    changed.service = "kvault";
  }
  CHECK(digestsOf(changed).exact != original);
}

TEST_CASE("a request with a query has a second digest, which every other query shares") {
  auto one = makeRequest();
  one.target = "/read/7?page=1";
  auto other = makeRequest();
  other.target = "/read/7?page=2";
  CHECK(digestsOf(one).exact != digestsOf(other).exact);
  REQUIRE(digestsOf(one).path);
  CHECK(digestsOf(one).path == digestsOf(other).path);
  CHECK(*digestsOf(one).path == digestsOf(makeRequest()).exact);
}

}  // namespace cometstand::mesh::test
