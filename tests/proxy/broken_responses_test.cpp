// Broken responses of back ends, sent by a scripted server over loopback to the proxy's own connections.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <optional>
#include <string>

#include "proxy/backend_pool.h"
#include "rehearsal/standin/scripted_server.h"

namespace cometstand::proxy {
namespace {

namespace asio = boost::asio;
using rehearsal::Pause;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptedServer;
using rehearsal::ScriptEnd;
using rehearsal::SendBytes;
using rehearsal::SendRepeatedly;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr std::size_t kMebibyte = 1024 * 1024;
constexpr std::size_t kUploadBytes = 8 * kMebibyte;
constexpr std::size_t kEndlessBytes = 512 * kMebibyte;
/// Far more than the limits of a head and a buffered body.
constexpr std::size_t kMostGrowth = 32 * kMebibyte;
constexpr auto kPatience = std::chrono::seconds(20);
const std::string kOkLine = "HTTP/1.1 200 OK\r\n";
const std::string kWholeRest = "Content-Length: 6\r\n\r\nserved";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

/// The most memory that this process has used since resetPeak().
std::size_t peakBytes() {
  constexpr std::size_t kKibibyte = 1024;
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    std::size_t kibibytes = 0;
    if (word == "VmHWM:" && status >> kibibytes) return kibibytes * kKibibyte;
  }
  return 0;
}

/// See proc(5), clear_refs.
void resetPeak() { std::ofstream("/proc/self/clear_refs") << "5"; }

/// Sends one request to a back end that answers by a script, and notes what the proxy takes it for.
class Exchange : public ExchangeObserver {
 public:
  explicit Exchange(ResponseScript script)
      : server_({asio::ip::address_v4::loopback(), 0},
                [script = std::move(script)](const ScriptedServer::RequestHead&) { return script; }) {}

  /// @param body_bytes 0 for a GET.
  void run(std::size_t body_bytes = 0) {
    auto message = std::make_shared<CallerRequest>();
    message->method = body_bytes > 0 ? "POST" : "GET";
    message->target = "/";
    message->body.assign(body_bytes, 'b');
    const auto endpoint = server_.endpoint();
    pool_.send({RequestId{1},
                1,
                {{"t", "s"}, "e"},
                {endpoint.address().to_string(), endpoint.port()},
                1,
                message,
                std::make_shared<const ResolvedRoute>(),
                1,
                SteadyClock::now() + kPatience});
    io_.run_for(kPatience);
  }

  bool beginSending(RequestId, unsigned) override { return true; }
  void onAttemptFailed(RequestId, unsigned, AttemptFailure attempt_failure) override {
    failure = attempt_failure;
    io_.stop();
  }
  void onResponse(RequestId, unsigned, const BackendResponsePointer& whole_response) override {
    response = whole_response;
    io_.stop();
  }
  BodyStreamPointer onStreamStarted(RequestId, unsigned, const BackendResponsePointer&) override {
    stream = std::make_shared<BodyStream>(io_.get_executor());
    readPart();
    return stream;
  }
  void onStreamEnded(RequestId, unsigned, bool whole) override {
    is_stream_whole = whole;
    io_.stop();
  }

  std::optional<AttemptFailure> failure;
  BackendResponsePointer response;
  BodyStreamPointer stream;
  std::optional<bool> is_stream_whole;

 private:
  void readPart() {
    stream->parts().async_receive([this](boost::system::error_code error, const std::string&) {
      if (!error) readPart();
    });
  }

  asio::io_context io_{1};
  HttpOptions options_;
  BackendPool pool_{io_.get_executor(), options_, *this};
  ScriptedServer server_;
};

ResponseScript respond(const std::string& bytes, ScriptEnd end = ScriptEnd::HalfClose) {
  return {{ReadBody{}, SendBytes{bytes}}, end};
}

void checkFails(const std::string& name, ResponseScript script, std::size_t body_bytes = 0) {
  Exchange exchange(std::move(script));
  exchange.run(body_bytes);
  INFO(name);
  CHECK(exchange.response == nullptr);
  CHECK(exchange.failure == AttemptFailure::Aborted);
}

void checkWhole(const std::string& name, ResponseScript script, std::size_t body_bytes = 0) {
  Exchange exchange(std::move(script));
  exchange.run(body_bytes);
  INFO(name);
  REQUIRE(exchange.response != nullptr);
  CHECK(exchange.response->status == kOk);
  CHECK(exchange.response->body == "served");
}

}  // namespace

// Guards against callers who get a status that is none (RFC 9110, section 15).
TEST_CASE("the proxy takes no response whose status is outside 100 to 599", "[http][broken]") {
  for (const char* status : {"000", "001", "099", "600", "999"})
    checkFails(status, respond(std::string("HTTP/1.1 ") + status + " Trouble\r\n" + kWholeRest));
}

// Guards against callers who get an interim response in place of the final one.
TEST_CASE("the proxy takes no interim response for the final one", "[http][broken]") {
  checkFails("100, closed", respond("HTTP/1.1 100 Continue\r\n\r\n"));
  checkFails("101", respond("HTTP/1.1 101 Switching Protocols\r\n\r\n" + kOkLine + kWholeRest));
  checkWhole("100 and then 200", respond("HTTP/1.1 100 Continue\r\n\r\n" + kOkLine + kWholeRest));
}

// Guards against callers who get a part of a body as the whole (RFC 9112, section 8).
TEST_CASE("the proxy takes no response for whole that a reset cuts while the request is written",
          "[http][broken]") {
  for (const Duration pause : {milliseconds(0), milliseconds(300)}) {
    for (const char* line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 500 Trouble\r\n"}) {
      checkFails(
          line,
          {{SendBytes{std::string(line) + "\r\n" + std::string(50, 'p')}, Pause{pause}}, ScriptEnd::Reset},
          kUploadBytes);
    }
  }
  checkFails("reset after the request", respond(kOkLine + "\r\nser", ScriptEnd::Reset));
}

// Guards against callers who get coded bytes as the body (RFC 9112, section 6.1).
TEST_CASE("the proxy takes no response in a transfer coding that is not known", "[http][broken]") {
  for (const char* coding : {"gzip", "chunked, gzip", "identity, x", "xchunked"})
    checkFails(coding, respond(kOkLine + "Transfer-Encoding: " + coding + "\r\n\r\nserved"));
}

// Guards against one response that ends the proxy by its memory.
TEST_CASE("the proxy gives up a chunk extension or a trailer section without an end", "[http][broken]") {
  for (const auto& [rest, part] : {std::pair<std::string, std::string>{"6;", "extension"},
                                   {"0\r\n", "Name: value\r\n"},
                                   {"0\r\nName: ", "value"}}) {
    resetPeak();
    const std::size_t before = peakBytes();
    checkFails(rest, {{ReadBody{}, SendBytes{fmt::format("{}{}{}", kOkLine, kChunked, rest)},
                       SendRepeatedly{part, kEndlessBytes}},
                      ScriptEnd::Close});
    CHECK(peakBytes() < before + kMostGrowth);
  }
}

// Guards against a streamed body that looks whole although its connection was reset.
TEST_CASE("the proxy passes no streamed body on as whole that a reset cuts", "[http][broken]") {
  const std::string large(2 * kMebibyte, 'x');
  Exchange exchange({{SendBytes{kOkLine + "\r\n" + large}, Pause{milliseconds(100)}}, ScriptEnd::Reset});
  exchange.run(kUploadBytes);
  CHECK(exchange.response == nullptr);
  CHECK_FALSE(exchange.is_stream_whole.value_or(false));
}

// Guards against checks that reject what back ends may send.
TEST_CASE("the proxy takes unusual responses that are whole", "[http][broken]") {
  checkWhole("no length, closed", respond(kOkLine + "\r\nserved"));
  checkWhole("chunks", respond(kOkLine + kChunked + "3;a=b\r\nser\r\n3\r\nved\r\n0\r\nSum: 1\r\n\r\n"));
  checkWhole("a length", respond(kOkLine + kWholeRest, ScriptEnd::Keep));
  checkWhole("early, without a length", {{SendBytes{kOkLine + "\r\nserved"}}, ScriptEnd::HalfClose},
             kUploadBytes);
}

}  // namespace cometstand::proxy
