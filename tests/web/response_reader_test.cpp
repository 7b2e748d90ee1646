// What a whole final response is: the reader by itself, and the client's view of resets.
#include "web/response_reader.h"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstring>
#include <optional>
#include <thread>

#include "web/client.h"

namespace cometstand::web {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Progress = ResponseReader::Progress;

constexpr std::size_t kUploadBytes = 8 * 1024 * 1024;
constexpr auto kPatience = std::chrono::seconds(10);
const std::string kOkLine = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

/// What became of the bytes of a connection that ended behind them.
struct Verdict {
  Progress progress = Progress::Open;
  ResponseFault fault = ResponseFault::None;
  std::string body;
  bool has_own_end = false;

  friend bool operator==(const Verdict&, const Verdict&) = default;
};

Progress receive(ResponseReader& reader, std::string_view bytes) {
  std::memcpy(reader.prepare(bytes.size()).data(), bytes.data(), bytes.size());
  return reader.onReceived(bytes.size());
}

/// @param step so many bytes are received at once.
Verdict judge(std::string_view bytes, std::size_t step) {
  ResponseReader reader;
  Verdict verdict;
  verdict.progress = reader.begin({}, false);
  while (verdict.progress == Progress::Open && !bytes.empty()) {
    verdict.progress = receive(reader, bytes.substr(0, step));
    bytes.remove_prefix(std::min(step, bytes.size()));
  }
  if (verdict.progress == Progress::Open) verdict.progress = reader.onEnd(asio::error::eof, {});
  verdict.fault = reader.fault();
  if (verdict.progress != Progress::Whole) return verdict;
  verdict.has_own_end = reader.hasOwnEnd();
  verdict.body = reader.takeBody();
  return verdict;
}

/// A server of one connection that does as the test says, while the client's io_context does not run.
struct UploadRig {
  UploadRig() {
    acceptor.non_blocking(true);
    Request request;
    request.version(11);
    request.method(boost::beast::http::verb::post);
    request.target("/");
    request.body().assign(kUploadBytes, 'b');
    request.prepare_payload();
    client.send(
        SendId{1}, std::move(request), [](const Response&) { return true; },
        [this](SendResult got) { result = std::move(got); });
    boost::system::error_code error = asio::error::would_block;
    while (error == asio::error::would_block) {
      io.run_one_for(std::chrono::milliseconds(10));
      acceptor.accept(peer, error);
    }
    // The upload fills the buffers, and a write is under way.
    io.run_for(std::chrono::milliseconds(100));
  }

  void send(const std::string& bytes) { asio::write(peer, asio::buffer(bytes)); }

  void reset() {
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    // The client's kernel takes it before the client looks.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }

  void awaitResult() {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!result && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
    REQUIRE(result.has_value());
  }

  asio::io_context io{1};
  tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket peer{io};
  std::optional<SendResult> result;
  Client client{io, {"127.0.0.1", acceptor.local_endpoint().port()}};
};

}  // namespace

// Guards against verdicts that depend on how the network cuts the bytes.
TEST_CASE("a response is judged the same however its bytes are cut", "[web][response]") {
  const std::vector<std::string> responses{
      kOkLine + "Content-Length: 6\r\n\r\nserved",
      kOkLine + "\r\nserved",
      kOkLine + kChunked + "3;a=b\r\nser\r\n3\r\nved\r\n0\r\nSum: 1\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + kOkLine + "Content-Length: 6\r\n\r\nserved",
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + kOkLine + "\r\nserved",
      "HTTP/1.1 204 No Content\r\n\r\n",
      kOkLine + "Content-Length: 9\r\n\r\nserved",
      kOkLine + "Content-Len",
      kOkLine + kChunked + "3\r\nserX",
      kOkLine + kChunked + "3\r\nser\r\n",
      kOkLine + "Transfer-Encoding: gzip\r\n\r\nserved",
      "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 101 X\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n",
      kOkLine + "Na me: x\r\n\r\n",
      kOkLine + "Name: " + std::string(70'000, 'x'),
      kOkLine + kChunked + "1;" + std::string(70'000, 'x'),
      kOkLine + kChunked + "0\r\nName: " + std::string(70'000, 'x'),
      "nonsense\r\n\r\n"};
  for (const auto& response : responses) {
    const Verdict whole = judge(response, response.size());
    INFO(response.substr(0, 60) << ": " << static_cast<int>(whole.fault));
    CHECK(judge(response, 1) == whole);
    CHECK(judge(response, 7) == whole);
    CHECK((whole.progress == Progress::Whole) == (whole.fault == ResponseFault::None));
  }
}

// Guards against a limit that counts the body of a stream, which whoever takes it bounds.
TEST_CASE("a body that is taken as it comes may have any length", "[web][response]") {
  ResponseReader reader;
  Progress progress = reader.begin({.body_bytes = std::nullopt}, false);
  progress = receive(reader, kOkLine + kChunked);
  const std::string chunk = "1;a=b\r\nx\r\n";
  std::size_t taken = 0;
  for (std::size_t chunks = 0; chunks < 100'000 && progress == Progress::Open; ++chunks) {
    progress = receive(reader, chunk);
    taken += reader.takeBody().size();
  }
  CHECK(progress == Progress::Open);
  CHECK(taken == 100'000);
  CHECK(receive(reader, "0\r\n\r\n") == Progress::Whole);
}

// Guards against a part of a body that passes for the whole (RFC 9112, section 8).
TEST_CASE("a response without a length that a reset ends is broken while the request is written",
          "[web][response]") {
  UploadRig rig;
  rig.send(kOkLine + "\r\npart");
  rig.reset();
  rig.awaitResult();
  CHECK(rig.result->outcome == SendOutcome::Broken);
  CHECK(rig.result->fault == ResponseFault::ResetWhileSending);
}

// Guards against whole responses that are dropped since their server has closed the connection behind them.
TEST_CASE("a response without a length is whole if the reset came behind its end", "[web][response]") {
  UploadRig rig;
  rig.send(kOkLine + "\r\nserved");
  rig.peer.shutdown(tcp::socket::shutdown_send);
  rig.reset();
  rig.awaitResult();
  CHECK(rig.result->outcome == SendOutcome::Answered);
  CHECK(rig.result->response.body() == "served");
}

}  // namespace cometstand::web
