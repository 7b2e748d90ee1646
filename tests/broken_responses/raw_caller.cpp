#include "broken_responses/raw_caller.h"

#include <fmt/format.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <utility>

#include "platform/names.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr unsigned kOk = 200;
/// Much longer than any route's timeout.
constexpr Duration kPatience = std::chrono::seconds(20);

}  // namespace

RawCaller::RawCaller(const boost::asio::ip::tcp::endpoint& sidecar, std::string name)
    : name_(std::move(name)) {
  stream_.connect(sidecar);
}

std::optional<RawCaller::Response> RawCaller::ask(const RawRequest& request) {
  last_id_ = fmt::format("{}-{}", name_, ++requests_);
  http::request<http::string_body> message(http::string_to_verb(request.method), request.path, 11);
  message.set(http::field::host, kTestHost);
  message.set(kRequestId, last_id_);
  if (request.deadline > Duration::zero())
    message.set(kDeadline, std::to_string(ceilMilliseconds(request.deadline)));
  message.body().assign(request.body_bytes, 'b');
  message.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (request.method == "HEAD") parser.skip(true);
  bool is_whole = false;
  stream_.expires_after(kPatience);
  http::async_write(stream_, message, [](error_code, std::size_t) {});
  http::async_read(stream_, buffer_, parser, [&](error_code error, std::size_t) { is_whole = !error; });
  io_.restart();
  io_.run();
  if (!is_whole) return std::nullopt;
  return parser.release();
}

bool RawCaller::isStillServed() {
  const auto response = ask({});
  return response && response->result_int() == kOk;
}

}  // namespace cometstand::platform
