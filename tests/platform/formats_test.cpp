// What platform/ reads and writes, and that nothing else knows its names.
#include <boost/beast/core/string.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/error.h"
#include "base/random.h"
#include "mesh/configuration.h"
#include "mesh/tenant_table.h"
#include "platform/configuration_format.h"
#include "platform/heartbeat_format.h"
#include "platform/message_format.h"
#include "platform/names.h"
#include "platform/rollout_format.h"

namespace cometstand::platform {
namespace {

template <typename Bytes>
std::string textOf(const Bytes& bytes) {
  return {bytes.data(), bytes.data() + bytes.size()};
}

const std::string kOrder =
    R"({"version":"r7","routes":{"a":{"host":"h.example","path_prefix":"/p/","kind":"unsafe","timeout_s":1.2,)"
    R"("aim_s":0.8,"priority":1,"service":"shop","max_attempts":2,"new_field":1},)"
    R"("b":{"host":"h.example","path_prefix":"/q/","kind":"safe","timeout_s":1.5,"traffic_split":)"
    R"([{"service":"shop","weight":90},{"service":"other","weight":10}]}},)"
    R"("services":{"shop":{"health_path":"/health","max_connections":130},"other":{}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

}  // namespace

TEST_CASE("an order is read as a change, and comes back as it was sent", "[platform]") {
  const auto change = readChange("r5", kOrder);
  CHECK(change.revision == 7);
  CHECK(change.base_revision == 5);
  CHECK(documentText(change.document) == kOrder);
  const auto configuration = mesh::decodeConfiguration(change.configuration);
  REQUIRE(configuration.routes.size() == 2);
  const auto& a = *configuration.routes[0];
  CHECK_FALSE(a.repeatable);
  CHECK(a.timeout_ms == 1'200);
  CHECK(a.objective_ms == 800);
  CHECK(a.max_attempts == 2);
  const auto& b = *configuration.routes[1];
  CHECK(b.repeatable);
  REQUIRE(b.shares.size() == 2);
  CHECK(b.shares[0]->weight == 9 * b.shares[1]->weight);
  CHECK(configuration.limits->idle_timeout_ms == 15'000);
}

TEST_CASE("an order of a roll-out is read, and its state is told in the platform's words", "[platform]") {
  const auto order =
      readRolloutOrder(R"({"service":"shop","to_version":"v2","duration_s":12.5,"new_field":1})");
  CHECK(order.service == "shop");
  CHECK(order.version == "v2");
  CHECK(order.duration_ms == 12'500);
  wire::RolloutRecordT rollout;
  rollout.version = "v2";
  const auto state_of = [&rollout](wire::RolloutPhase phase) {
    rollout.phase = phase;
    return rolloutText(rollout);
  };
  CHECK(state_of(wire::RolloutPhase::Canary) == R"({"state":"running","to_version":"v2"})");
  CHECK(state_of(wire::RolloutPhase::Promoting) == R"({"state":"running","to_version":"v2"})");
  CHECK(state_of(wire::RolloutPhase::RollingBack) == R"({"state":"running","to_version":"v2"})");
  CHECK(state_of(wire::RolloutPhase::Succeeded) == R"({"state":"succeeded","to_version":"v2"})");
  CHECK(state_of(wire::RolloutPhase::RolledBack) == R"({"state":"rolled_back","to_version":"v2"})");
}

TEST_CASE("what is no order of a roll-out is refused with a kind and a remedy", "[platform]") {
  const std::string body =
      GENERATE(as<std::string>(), "", "[]", R"({"to_version":"v2","duration_s":12})",
               R"({"service":"shop","duration_s":12})", R"({"service":"shop","to_version":"v2"})",
               R"({"service":"","to_version":"v2","duration_s":12})",
               R"({"service":"shop","to_version":"","duration_s":12})",
               R"({"service":"shop","to_version":"v2","duration_s":0})",
               R"({"service":"shop","to_version":"v2","duration_s":-1})",
               R"({"service":"shop","to_version":"v2","duration_s":1e9})",
               R"({"service":"shop","to_version":2,"duration_s":12})");
  try {
    readRolloutOrder(body);
    FAIL("it was read: " << body);
  } catch (const Error& error) {
    CHECK_FALSE(error.remedy().empty());
  }
}

TEST_CASE("a heartbeat tells the version of the target's software, if it says one", "[platform]") {
  const std::string text =
      R"({"info":{"service":"shop","version":"v1","slots":6},"status":{"state":"ready","sequence":4}})";
  CHECK(readHeartbeat("i-1", text).version == "v1");
  CHECK(readHeartbeat("i-1", replaced(text, R"("version":"v1",)", "")).version.empty());
}

TEST_CASE("an order of the same bytes on another base is another change", "[platform]") {
  CHECK(readChange("r5", kOrder).digest->low() == readChange("r5", kOrder).digest->low());
  CHECK(readChange("r5", kOrder).digest->low() != readChange("r6", kOrder).digest->low());
}

TEST_CASE("what is no order is refused with a kind and a remedy", "[platform]") {
  const std::string body = GENERATE_COPY(
      as<std::string>(), "", "[]", kOrder.substr(0, kOrder.size() / 2), kOrder.substr(0, kOrder.size() - 1),
      replaced(kOrder, "\"service\":\"shop\",\"max", "\"service\":\"none\",\"max"),
      replaced(kOrder, "\"host\":\"h.example\"", "\"host\":\"\""),
      replaced(kOrder, "\"timeout_s\":1.2", "\"timeout_s\":601"), replaced(kOrder, "\"timeout_s\":1.2,", ""),
      replaced(kOrder, "\"aim_s\":0.8", "\"aim_s\":61.2"), replaced(kOrder, "/q/", "/p/"),
      replaced(kOrder, "\"version\":\"r7\"", "\"version\":\"7\""), replaced(kOrder, ",\"weight\":90", ""),
      replaced(kOrder, "\"version\":\"r7\",", ""));
  try {
    readChange("r5", body);
    FAIL("it was taken: " << body);
  } catch (const Error& error) {
    CHECK_FALSE(error.remedy().empty());
  }
}

TEST_CASE("versions are a letter and a number, and zero", "[platform]") {
  CHECK(parseVersion("r12") == 12);
  CHECK(parseVersion("0") == 0);
  for (const char* text : {"", "12", "r", "rr1", "r-1", "r1x"}) CHECK_THROWS_AS(parseVersion(text), Error);
}

TEST_CASE("a heartbeat is read, with fields that it does not know", "[platform]") {
  const auto beat =
      readHeartbeat("i-1", R"({"address":"10.0.0.1:80","x":1,"info":{"service":"shop","version":"v1",)"
                           R"("zone":"z","slots":6},"status":{"state":"draining","sequence":4,)"
                           R"("cold_remaining_s":0.5}})");
  CHECK(beat.incarnation.id == "i-1");
  CHECK(beat.service == "shop");
  CHECK(beat.slots == 6);
  CHECK(beat.sequence == 4);
  CHECK_FALSE(beat.ready);
  CHECK(beat.cold_remaining == std::chrono::milliseconds(500));
  CHECK_THROWS_AS(readHeartbeat("i-1", "{"), Error);
  CHECK_THROWS_AS(readHeartbeat("i-1", R"({"info":{"service":"shop"}})"), Error);
}

TEST_CASE("a heartbeat and a deregistration tell the time of the target's start", "[platform]") {
  const std::string beat =
      R"({"born":1791000000123,"info":{"service":"shop"},"status":{"state":"ready","sequence":1}})";
  CHECK(readHeartbeat("i-1", beat).incarnation == mesh::Incarnation{"i-1", 1'791'000'000'123});
  CHECK(readDeregistration("i-1", R"({"born":1791000000123})") ==
        mesh::Incarnation{"i-1", 1'791'000'000'123});
  CHECK(readDeregistration("i-1", "") == mesh::Incarnation{"i-1", 0});
  CHECK_THROWS_AS(readDeregistration("i-1", "{"), Error);
  CHECK_THROWS_AS(readDeregistration("", ""), Error);
}

TEST_CASE("what another writer sent as a heartbeat is refused with a kind and a remedy", "[platform]") {
  const std::string good =
      R"({"born":5,"info":{"service":"shop","slots":6},"status":{"state":"ready","sequence":4,"cold_remaining_s":0}})";
  REQUIRE_NOTHROW(readHeartbeat("i-1", good));
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  const std::string body = GENERATE_COPY(
      as<std::string>(), "", "[]", "null", std::string(1'000'000, ' '), std::string("\xff\x00\x01", 3), deep,
      "{\"info\":" + deep + "}", replaced(good, "\"born\":5", "\"born\":5.5"),
      replaced(good, "\"born\":5", "\"born\":-1"), replaced(good, "\"born\":5", "\"born\":\"5\""),
      replaced(good, "\"born\":5", "\"born\":1e300"), replaced(good, "\"slots\":6", "\"slots\":1e19"),
      replaced(good, "\"slots\":6", "\"slots\":[6]"), replaced(good, "\"slots\":6", "\"slots\":NaN"),
      replaced(good, "\"sequence\":4", "\"sequence\":-4"),
      replaced(good, "\"sequence\":4", "\"sequence\":1e30"), replaced(good, "\"sequence\":4,", ""),
      replaced(good, "\"ready\"", "\"resting\""), replaced(good, "\"ready\"", "true"),
      replaced(good, "\"shop\"", "7"), replaced(good, "\"shop\"", "\"\""),
      replaced(good, "\"cold_remaining_s\":0", "\"cold_remaining_s\":1e12"));
  try {
    readHeartbeat("i-1", body);
    FAIL("it was taken: " << body.substr(0, 200));
  } catch (const Error& error) {
    CHECK_FALSE(error.remedy().empty());
  }
}

TEST_CASE("a request reaches the target with the system's own fields, whatever the caller sent",
          "[platform]") {
  web::Request request;
  request.method(boost::beast::http::verb::post);
  request.target("/p/x?y=1");
  request.set("Host", "h.example");
  request.set(kRequestId, "r1");
  request.set(kDeadline, "1500");
  request.set(kCallerService, "forged");
  request.set(kExpectInstance, "forged");
  request.set("Connection", "X-Hop");
  request.set("X-Hop", "1");
  request.set("X-Own", "kept");
  request.body() = {'b', 'o', 'd', 'y'};
  auto call = readCall(std::move(request), false);
  CHECK(call.host == "h.example");
  CHECK(call.deadline == std::chrono::milliseconds(1'500));
  call.request.caller_service = "desk";
  sidecar::RunRequest order;
  order.request = std::make_shared<wire::ForwardRequestT>(call.request);
  order.instance = "i-1";
  order.time_left = std::chrono::milliseconds(900);
  const auto outgoing = makeTargetRequest(order);
  const auto& sent = outgoing.message;
  CHECK(sent.target() == "/p/x?y=1");
  CHECK(sent[kRequestId] == "r1");
  CHECK(sent[kDeadline] == "900");
  CHECK(sent[kCallerService] == "desk");
  CHECK(sent[kExpectInstance] == "i-1");
  CHECK(sent["X-Own"] == "kept");
  CHECK(sent.count("X-Hop") == 0);
  CHECK(textOf(sent.body()) == "body");
}

// Guards against the end of the target's sidecar by the exception that the library throws for such a request.
TEST_CASE("a TRACE request with content can be made, as an earlier release may forward one", "[platform]") {
  sidecar::RunRequest order;
  const auto request = std::make_shared<wire::ForwardRequestT>();
  request->method = "TRACE";
  request->target = "/p/x";
  request->body = {'a', 'b', 'c'};
  order.request = request;
  const auto outgoing = makeTargetRequest(order);
  const auto& sent = outgoing.message;
  CHECK(sent[boost::beast::http::field::content_length] == "3");
  CHECK(textOf(sent.body()) == "abc");
}

TEST_CASE("a key is known by its digest, and neither it nor a forged tenant goes on", "[platform]") {
  const std::string scheme = GENERATE("Token", "token", "TOKEN", " Token", "Token \t");
  web::Request request;
  request.target("/p/x");
  request.set("Authorization", scheme + " secret-key ");
  request.set("Tenant", "forged");
  request.insert("tenant", "forged-too");
  auto call = readCall(std::move(request), true);
  CHECK(call.key == mesh::digestOfKey("secret-key"));
  call.request.tenant = "true-one";
  sidecar::RunRequest order;
  order.request = std::make_shared<wire::ForwardRequestT>(call.request);
  const auto outgoing = makeTargetRequest(order);
  const auto& sent = outgoing.message;
  CHECK(sent.count("Authorization") == 0);
  CHECK(sent.count(kTenant) == 1);
  CHECK(sent[kTenant] == "true-one");
}

TEST_CASE("a request has no key if it has none, two, or one of another scheme", "[platform]") {
  web::Request request;
  SECTION("none") {}
  SECTION("two") {
    request.insert("Authorization", "Token one");
    request.insert("authorization", "Token two");
  }
  SECTION("another scheme") { request.set("Authorization", "Basic Token"); }
  SECTION("a scheme that begins alike") { request.set("Authorization", "Tokens one"); }
  SECTION("nothing") { request.set("Authorization", ""); }
  SECTION("blanks") { request.set("Authorization", " \t "); }
  const auto call = readCall(std::move(request), true);
  CHECK_FALSE(call.key.has_value());
  for (const auto& field : call.request.fields) CHECK(field->value.find("Token one") == std::string::npos);
}

TEST_CASE("whatever stands in the field of a key, the key does not go on", "[platform]") {
  RandomSource random(7);
  constexpr std::string_view kAlphabet = "Token tOKEN\t ,=:\"secret";
  for (int round = 0; round < 20'000; ++round) {
    std::string value = random.uniform(0, 1) == 0 ? "Token" : "";
    const auto length = random.uniform(0, 24);
    for (std::uint64_t i = 0; i < length; ++i) value += kAlphabet[random.uniform(0, kAlphabet.size() - 1)];
    web::Request request;
    request.insert("Authorization", value);
    const auto call = readCall(std::move(request), true);
    for (const auto& field : call.request.fields) {
      const std::string_view text = field->value;
      const auto begin = text.find_first_not_of(" \t");
      const auto scheme = text.substr(std::min(begin, text.size()), 5);
      const bool is_key = boost::beast::iequals(scheme, "token") &&
                          (text.size() == begin + 5 || text[begin + 5] == ' ' || text[begin + 5] == '\t');
      CHECK_FALSE(is_key);
    }
  }
}

TEST_CASE("without tenants the fields of a key and a tenant are as all others", "[platform]") {
  web::Request request;
  request.set("Authorization", "Token mine");
  request.set("Tenant", "mine");
  const auto call = readCall(std::move(request), false);
  CHECK_FALSE(call.key.has_value());
  CHECK(call.request.fields.size() == 2);
}

TEST_CASE("an order's tenants and public routes are read, and its keys go no further", "[platform]") {
  const auto body = replaced(
      replaced(kOrder, "\"max_attempts\":2,\"new_field\":1", "\"public\":true"), "\"limits\":",
      R"("tenants":{"t1":{"api_keys":["key-one","key-two",""],"priority":1,"rate_per_s":6.5,"burst":7},)"
      R"("t2":{"api_keys":["key-three"]}},"limits":)");
  const auto change = readChange("r5", body);
  const auto configuration = mesh::decodeConfiguration(change.configuration);
  CHECK(configuration.requires_key);
  CHECK(configuration.routes[0]->is_public);
  CHECK_FALSE(configuration.routes[1]->is_public);
  REQUIRE(configuration.tenants.size() == 2);
  const auto& first = *configuration.tenants[0];
  CHECK(first.name == "t1");
  CHECK(first.requests_per_second == 6.5);
  CHECK(first.burst == 7);
  CHECK(first.key_digests.size() == 2);
  const std::string bytes(change.configuration.begin(), change.configuration.end());
  CHECK(bytes.find("key-") == std::string::npos);
  CHECK_FALSE(mesh::decodeConfiguration(readChange("r5", kOrder).configuration).requires_key);
  // An empty table still means that a key is needed.
  const auto none = readChange("r5", replaced(kOrder, "\"limits\":", R"("tenants":{},"limits":)"));
  CHECK(mesh::decodeConfiguration(none.configuration).requires_key);
}

TEST_CASE("a shared key is refused, and the refusal does not tell it", "[platform]") {
  const auto body = replaced(
      kOrder, "\"limits\":",
      R"("tenants":{"t1":{"api_keys":["secret-key"]},"t2":{"api_keys":["other","secret-key"]}},"limits":)");
  try {
    readChange("r5", body);
    FAIL("it was taken");
  } catch (const Error& error) {
    CHECK(std::string(error.what()).find("secret-key") == std::string::npos);
    CHECK(error.remedy().find("secret-key") == std::string::npos);
  }
}

TEST_CASE("the target's word on whether it ran the request is kept", "[platform]") {
  web::SendResult result;
  result.outcome = web::SendOutcome::Answered;
  result.response.result(503);
  CHECK(readRunResult(result).reply.outcome == wire::ForwardOutcome::Answered);
  result.response.set(kNotExecuted, "1");
  CHECK(readRunResult(result).reply.outcome == wire::ForwardOutcome::NotRun);
  CHECK(readRunResult(result).reply.reached_target);
  result.response.result(421);
  CHECK(readRunResult(result).instance_mismatch);
  result.outcome = web::SendOutcome::Broken;
  CHECK(readRunResult(result).reply.outcome == wire::ForwardOutcome::Unknown);
  result.outcome = web::SendOutcome::NotSent;
  CHECK(readRunResult(result).reply.outcome == wire::ForwardOutcome::NotRun);
  CHECK_FALSE(readRunResult(result).reply.reached_target);
}

// Guards against bytes after a whole answer that are taken for the answer to the next request: if they say
// that it has not run, a request that may not be repeated runs twice.
TEST_CASE("an answer without the request's id is never taken for its answer", "[platform]") {
  const unsigned status = GENERATE(200U, 400U, 421U, 429U, 500U, 503U);
  web::Response response;
  response.result(status);
  CHECK_FALSE(belongsTo(response, "r1"));
  response.set(kNotExecuted, "1");
  CHECK_FALSE(belongsTo(response, "r1"));
  response.set(kRequestId, "r2");
  CHECK_FALSE(belongsTo(response, "r1"));
  response.set(kRequestId, "r1");
  CHECK(belongsTo(response, "r1"));
}

TEST_CASE("nothing outside platform/ and deploy/ knows the platform's names", "[platform]") {
  const std::vector<std::string> names{kRequestId,     kDeadline,          kCallerService, kExpectInstance,
                                       kNotExecuted,   kBaseVersion,       "Server-Seal",  "Instance-Id",
                                       "Server-Load",  "Instances.",       "Config.Put",   "Config.Get",
                                       kReadinessPath, "COMETSTAND_CONFIG"};
  for (const auto* folder : {"/src", "/rehearsal"}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(std::string(SOURCE_FOLDER) + folder)) {
      if (!entry.is_regular_file()) continue;
      std::ifstream stream(entry.path());
      const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
      for (const auto& name : names) {
        INFO(entry.path() << " names " << name);
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
          // A longer name that ends in the same words, such as X-Request-..., is another one.
          const bool is_part_of_other = at > 0 && (text[at - 1] == '-' || std::isalnum(text[at - 1]) != 0);
          CHECK(is_part_of_other);
        }
      }
    }
  }
}

}  // namespace cometstand::platform
