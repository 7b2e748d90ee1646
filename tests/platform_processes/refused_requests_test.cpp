// Requests that a sidecar cannot pass on, by the platform's programs as real processes.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "platform/names.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {
namespace {

constexpr unsigned kOk = 200;
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
  const std::string fields =
      std::string("Host: shop.example\r\n") + kRequestId + ": a\r\n" + kDeadline + ": 1000\r\n";
  CHECK(statusLineFor(mesh, "TRACE / HTTP/1.1\r\n" + fields + "Content-Length: 3\r\n\r\nabc") ==
        "HTTP/1.1 400");
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    CHECK(mesh.runsSidecar(zone));
    CHECK(mesh.call(zone) == kOk);
  }
}

}  // namespace cometstand::platform
