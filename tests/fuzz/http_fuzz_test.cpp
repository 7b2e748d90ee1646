#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include "base/error.h"
#include "proxy/http_convert.h"
#include "tests/fuzz/mutator.h"

namespace cometstand::fuzz {
namespace {

namespace http = boost::beast::http;

std::vector<std::string> requests() {
  return {
      "GET /cues/1?a=b HTTP/1.1\r\nHost: a.example\r\nX-Request-Deadline-Ms: 250\r\n\r\n",
      "POST /commit HTTP/1.1\r\nHost: a.example:80\r\nIdempotency-Key: k-1\r\nContent-Length: 5\r\n\r\nhello",
      "PUT /masters HTTP/1.1\r\nHost: [::1]:80\r\nTransfer-Encoding: chunked\r\nTE: trailers\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      "HEAD * HTTP/1.0\r\nConnection: keep-alive, X-Load\r\nX-Load: 0.5\r\n\r\n"};
}

std::vector<std::string> responses() {
  return {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: 0.75\r\nContent-Type: text/plain\r\n\r\nok",
      "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nRetry-After: 2\r\nX-Retry-After-Ms: 1500\r\nContent-Length: "
      "0\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nX-Not-Run: leaving\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"};
}

std::vector<std::string> fragments() {
  return {"\r\n",     ":", "-1", "99999999999999999999", "nan", "1e999",
          "X-Load: ", " ", "\t", "Idempotency-Key: ",    "%00", "Retry-After: "};
}

/// @return true if the bytes are a message that the HTTP library takes.
template <typename Parser>
bool parse(Parser& parser, const std::string& bytes) {
  boost::beast::error_code error;
  parser.eager(true);
  parser.put(boost::asio::buffer(bytes), error);
  return !error && parser.is_done();
}

TEST_CASE("damaged requests become a request or a typed error", "[fuzz]") {
  Mutator mutator(31, fragments());
  const auto valid = requests();
  int taken = 0;
  int refused = 0;
  for (int i = 0; i < kCases; ++i) {
    const auto bytes = mutator.mutate(mutator.pick(valid));
    http::request_parser<http::string_body> parser;
    if (!parse(parser, bytes)) continue;
    INFO(bytes);
    try {
      const auto request = proxy::toCallerRequest(parser.release());
      REQUIRE(request != nullptr);
      ++taken;
    } catch (const Error& error) {
      CHECK(error.kind() == ErrorKind::Malformed);
      CHECK_FALSE(error.remedy().empty());
      ++refused;
    }
  }
  CHECK(taken > kCases / 20);
  CHECK(refused > 0);
}

TEST_CASE("damaged answers of back ends are taken or left", "[fuzz]") {
  Mutator mutator(32, fragments());
  const auto valid = responses();
  int taken = 0;
  for (int i = 0; i < kCases; ++i) {
    const auto bytes = mutator.mutate(mutator.pick(valid));
    http::response_parser<http::string_body> parser;
    if (!parse(parser, bytes)) continue;
    INFO(bytes);
    REQUIRE(proxy::toBackendResponse(parser.get(), mutator.random().chance(0.5)) != nullptr);
    ++taken;
  }
  CHECK(taken > kCases / 20);
}

}  // namespace
}  // namespace cometstand::fuzz
