// Tenants' keys and limits, by the platform's programs as real processes.
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "platform/names.h"
#include "platform_processes/platform_mesh.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

namespace http = boost::beast::http;
using rehearsal::HttpQuestion;
using rehearsal::waitUntil;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kTooMany = 429;
/// A configuration is in force on all machines in touch this long after its acknowledgement.
constexpr Duration kApplyBound = std::chrono::seconds(2);
/// Of the bounded tenant in 5 s: (5 x 5 + 5) x 1.1 + 20, by the defaults of store.quota_*.
constexpr std::size_t kQuotaBound = 53;

/// @param key of the tenant without a limit.
std::string configurationOf(int version, const std::string& key) {
  return R"({"version":"r)" + std::to_string(version) + R"(",
  "routes":{"all":{"host":"shop.example","path_prefix":"/","kind":"safe","timeout_s":8,"aim_s":1,
                   "priority":1,"service":"shop","max_attempts":2,"public":false},
            "open":{"host":"shop.example","path_prefix":"/open/","kind":"safe","timeout_s":8,"aim_s":1,
                   "priority":1,"service":"shop","max_attempts":2,"public":true}},
  "services":{"shop":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}},
  "tenants":{"free":{"api_keys":[")" +
         key + R"("],"priority":1,"rate_per_s":0,"burst":0},
             "bound":{"api_keys":["bound-secret"],"priority":1,"rate_per_s":5,"burst":5}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";
}

void put(PlatformMesh& mesh, int version, const std::string& configuration, unsigned expected = kOk) {
  const std::string base = version == 1 ? "0" : "r" + std::to_string(version - 1);
  REQUIRE(mesh.order({"POST", "", kConfigPutPath, configuration, {{kBaseVersion, base}}}) == expected);
}

std::map<std::string, std::string> keyField(const std::string& key) {
  return {{kAuthorization, std::string(kKeyScheme) + " " + key}};
}

/// One connection that is kept open for many requests.
class KeptConnection {
 public:
  explicit KeptConnection(const boost::asio::ip::tcp::endpoint& server) { socket_.connect(server); }

  unsigned ask(const std::string& key) {
    http::request<http::empty_body> request(http::verb::get, "/", 11);
    request.set(http::field::host, "shop.example");
    request.set(kRequestId, "kept-" + std::to_string(++requests_));
    request.set(kDeadline, "8000");
    request.set(kAuthorization, std::string(kKeyScheme) + " " + key);
    http::write(socket_, request);
    http::response<http::string_body> response;
    http::read(socket_, buffer_, response);
    return response.result_int();
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_{io_};
  boost::beast::flat_buffer buffer_;
  int requests_ = 0;
};

void waitUntilServed(PlatformMesh& mesh, const std::string& key) {
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    mesh.target(zone).waitForHeartbeat();
    mesh.waitForReadiness(zone);
    waitUntil("the zone's callers are served", [&] { return mesh.call(zone, keyField(key)) == kOk; });
  }
}

/// @return requests of the bounded tenant that were served, of as many as callers can send in that time.
std::size_t pressFor(PlatformMesh& mesh, Duration time) {
  std::size_t served = 0;
  std::size_t zone = 0;
  for (const auto end = SteadyClock::now() + time; SteadyClock::now() < end;) {
    const auto status = mesh.call(zone++ % PlatformMesh::kZones, keyField("bound-secret"));
    CHECK((status == kOk || status == kTooMany));
    if (status == kOk) ++served;
  }
  return served;
}

}  // namespace

TEST_CASE("keys open what their tenants may have, and are seen nowhere, as real processes",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  PlatformMesh mesh;
  put(mesh, 1, configurationOf(1, "free-secret"));
  waitUntilServed(mesh, "free-secret");

  CHECK(mesh.call(0) == kUnauthorized);
  CHECK(mesh.call(0, keyField("other-secret")) == kUnauthorized);
  CHECK(mesh.call(0, {{kTenant, "free"}}) == kUnauthorized);
  put(mesh, 2, configurationOf(2, "bound-secret"), kBadRequest);

  KeptConnection connection(mesh.callerEndpoint(0));
  CHECK(connection.ask("free-secret") == kOk);
  CHECK(connection.ask("other-secret") == kUnauthorized);
  CHECK(connection.ask("free-secret") == kOk);
  put(mesh, 2, configurationOf(2, "newer-secret"));
  const auto in_force = SteadyClock::now() + kApplyBound;
  waitUntil("the key that was taken away opens nothing",
            [&] { return connection.ask("free-secret") == kUnauthorized; });
  CHECK(SteadyClock::now() <= in_force);
  CHECK(connection.ask("newer-secret") == kOk);

  std::string seen;
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) seen += mesh.target(zone).seenFields();
  CHECK(seen.find("Tenant: free") != std::string::npos);
  for (const auto* text : {"secret", "Authorization"}) CHECK(seen.find(text) == std::string::npos);
  CHECK(mesh.logs().find("secret") == std::string::npos);
}

TEST_CASE("a tenant that sends many times its limit gets that, whatever stops, as real processes",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  PlatformMesh mesh;
  put(mesh, 1, configurationOf(1, "free-secret"));
  waitUntilServed(mesh, "free-secret");
  const bool leader_dies = GENERATE(false, true);
  if (leader_dies) mesh.killStore(mesh.waitForLeader());
  const std::size_t served = pressFor(mesh, std::chrono::seconds(5));
  CHECK(served <= kQuotaBound);
  // Who is bound takes nothing from others.
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone)
    CHECK(mesh.call(zone, keyField("free-secret")) == kOk);
  if (leader_dies) mesh.waitForLeader();
  CHECK(pressFor(mesh, std::chrono::seconds(3)) > 0);
}

}  // namespace cometstand::platform
