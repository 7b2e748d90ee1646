// Requests that a sidecar cannot pass on, by the platform's programs as real processes.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "platform/names.h"
#include "platform_processes/platform_mesh.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

constexpr unsigned kOk = 200;
/// More than the parser's index holds, within the limit of the configuration below.
constexpr std::size_t kLongFieldBytes = 70'000;

std::string largeLimitsConfiguration() {
  return R"({"version":"r2",
  "routes":{"all":{"host":"shop.example","path_prefix":"/","kind":"safe","timeout_s":8,"aim_s":1,
                   "priority":1,"service":"shop","max_attempts":2}},
  "services":{"shop":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}},
  "limits":{"max_header_bytes":200000,"max_body_bytes":1e15,"header_timeout_s":3,"idle_timeout_s":15}})";
}

/// @return the first bytes of what the sidecar answers to the bytes, up to the end of the status.
std::string statusLineFor(const PlatformMesh& mesh, const std::string& bytes) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect(mesh.callerEndpoint(0));
  boost::asio::write(socket, boost::asio::buffer(bytes));
  std::array<char, 12> line{};
  boost::system::error_code error;
  const auto length = boost::asio::read(socket, boost::asio::buffer(line), error);
  return {line.data(), length};
}

}  // namespace

// Guards against requests that end a sidecar's process and with it every request that runs there.
TEST_CASE("requests that cannot be passed on are refused, and the sidecars go on, as real processes",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  PlatformMesh mesh;
  serveOneRoute(mesh);
  REQUIRE(mesh.order({"POST", "", kConfigPutPath, largeLimitsConfiguration(), {{kBaseVersion, "r1"}}}) ==
          kOk);
  // A configuration is in force on all machines in touch within two seconds.
  rehearsal::pauseFor(std::chrono::seconds(2));
  const std::string fields =
      std::string("Host: shop.example\r\n") + kRequestId + ": a\r\n" + kDeadline + ": 1000\r\n";
  CHECK(statusLineFor(mesh, "TRACE / HTTP/1.1\r\n" + fields + "Content-Length: 3\r\n\r\nabc") ==
        "HTTP/1.1 400");
  CHECK(statusLineFor(mesh, "GET / HTTP/1.1\r\n" + fields + "X: " + std::string(kLongFieldBytes, 'x') +
                                "\r\n\r\n") == "HTTP/1.1 431");
  CHECK(statusLineFor(mesh, "POST / HTTP/1.1\r\n" + fields + "Content-Length: 900000000000000\r\n\r\nabc") ==
        "HTTP/1.1 413");
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    CHECK(mesh.runsSidecar(zone));
    CHECK(mesh.call(zone) == kOk);
  }
}

}  // namespace cometstand::platform
