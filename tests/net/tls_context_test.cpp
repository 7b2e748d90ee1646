#include "net/tls_context.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>

#include "base/error.h"
#include "net/link.h"
#include "rehearsal/certificates/certificate_maker.h"
#include "runtime/process_core.h"

using namespace cometstand;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kWaitLimit = std::chrono::seconds(30);

/// A folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "cometstand-tls-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

constexpr int kValidDays = 2;

net::TlsFiles filesOf(const certificates::CertificateMaker& maker, const std::string& name) {
  return {maker.certificateFile(name), maker.keyFile(name), maker.authorityFile()};
}

/// What both ends of one connection saw.
struct Meeting {
  std::optional<net::PeerIdentity> seen_by_server;
  std::optional<net::PeerIdentity> seen_by_client;
  bool server_got_message = false;
  bool server_closed = false;
  bool client_closed = false;
};

/// Connects a client to a server over loopback, and lets the client send one message.
Meeting meet(asio::ssl::context* server_tls, asio::ssl::context* client_tls) {
  Meeting meeting;
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::shared_ptr<net::Link> server;
  acceptor.async_accept([&](const boost::system::error_code& error, tcp::socket socket) {
    REQUIRE_FALSE(error);
    server = std::make_shared<net::Link>(
        std::move(socket), server_tls,
        net::LinkHandlers{[&](const wire::EnvelopeT&) { meeting.server_got_message = true; },
                          [&](const std::string&) { meeting.server_closed = true; }});
    server->accept([&](const net::PeerIdentity& peer) { meeting.seen_by_server = peer; });
  });
  auto client = std::make_shared<net::Link>(
      tcp::socket(io), client_tls,
      net::LinkHandlers{[](const wire::EnvelopeT&) {},
                        [&](const std::string&) { meeting.client_closed = true; }});
  client->connect({"127.0.0.1", acceptor.local_endpoint().port()}, kWaitLimit,
                  [&](const net::PeerIdentity& peer) {
                    meeting.seen_by_client = peer;
                    client->send(runtime::makeEnvelope(wire::StatusRequestT{}));
                  });
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!meeting.server_got_message && !meeting.server_closed &&
         std::chrono::steady_clock::now() < deadline) {
    io.run_one_for(std::chrono::milliseconds(100));
    if (io.stopped()) io.restart();
  }
  client->close("end of test");
  if (server) server->close("end of test");
  acceptor.close();
  io.restart();
  io.run();
  return meeting;
}

}  // namespace

TEST_CASE("mutual TLS gives each end the other's role, name and tenant") {
  const TemporaryFolder folder;
  certificates::CertificateMaker maker(folder.path(), kValidDays);
  maker.make({"store", "store-1", ""});
  maker.make({"operator", "anna", "wspolnota"});
  const auto server_tls = net::makeTlsContext(filesOf(maker, "store-1"));
  const auto client_tls = net::makeTlsContext(filesOf(maker, "anna"));
  const auto meeting = meet(server_tls.get(), client_tls.get());
  CHECK(meeting.server_got_message);
  REQUIRE(meeting.seen_by_server);
  CHECK(meeting.seen_by_server->role == "operator");
  CHECK(meeting.seen_by_server->name == "anna");
  CHECK(meeting.seen_by_server->tenant == "wspolnota");
  REQUIRE(meeting.seen_by_client);
  CHECK(meeting.seen_by_client->role == "store");
  CHECK(meeting.seen_by_client->name == "store-1");
  CHECK(meeting.seen_by_client->tenant.empty());
}

TEST_CASE("a peer of another authority, or without a certificate, is refused") {
  const TemporaryFolder folder;
  certificates::CertificateMaker maker(folder.path() / "own", kValidDays);
  certificates::CertificateMaker other(folder.path() / "other", kValidDays);
  maker.make({"store", "store-1", ""});
  other.make({"operator", "anna", "wspolnota"});
  const auto server_tls = net::makeTlsContext(filesOf(maker, "store-1"));

  // The stranger trusts the server, so that only the server's check can refuse it.
  auto files = filesOf(other, "anna");
  files.authority = maker.authorityFile();
  const auto stranger_tls = net::makeTlsContext(files);
  asio::ssl::context nameless_tls(asio::ssl::context::tls);
  for (auto* client_tls : {stranger_tls.get(), &nameless_tls}) {
    const auto meeting = meet(server_tls.get(), client_tls);
    CHECK_FALSE(meeting.seen_by_server);
    CHECK_FALSE(meeting.server_got_message);
    CHECK(meeting.server_closed);
  }

  // The other way round: the client refuses a server of another authority.
  maker.make({"operator", "piotr", "wspolnota"});
  files = filesOf(maker, "piotr");
  files.authority = other.authorityFile();
  const auto wary_tls = net::makeTlsContext(files);
  const auto meeting = meet(server_tls.get(), wary_tls.get());
  CHECK_FALSE(meeting.seen_by_client);
  CHECK_FALSE(meeting.server_got_message);
}

TEST_CASE("plain TCP does not reach a TLS listener, and names nobody") {
  const TemporaryFolder folder;
  certificates::CertificateMaker maker(folder.path(), kValidDays);
  maker.make({"store", "store-1", ""});
  const auto server_tls = net::makeTlsContext(filesOf(maker, "store-1"));
  const auto refused = meet(server_tls.get(), nullptr);
  CHECK_FALSE(refused.server_got_message);
  CHECK(refused.server_closed);
  const auto plain = meet(nullptr, nullptr);
  REQUIRE(plain.seen_by_server);
  CHECK(plain.seen_by_server->role.empty());
}

TEST_CASE("wrong certificate files are named") {
  const TemporaryFolder folder;
  certificates::CertificateMaker maker(folder.path(), kValidDays);
  maker.make({"store", "a", ""});
  maker.make({"store", "b", ""});
  auto files = filesOf(maker, "a");
  files.key = maker.keyFile("b");
  CHECK_THROWS_AS(net::makeTlsContext(files), Error);
  files = filesOf(maker, "a");
  files.authority = folder.path() / "none.pem";
  CHECK_THROWS_WITH(net::makeTlsContext(files), Catch::Contains("tls.authority"));
  for (const auto* text : {"", "store", "store/", "/a", "store/authority", "operator/a/b/c"}) {
    CHECK_THROWS_AS(certificates::parseSubject(text), Error);
  }
}
