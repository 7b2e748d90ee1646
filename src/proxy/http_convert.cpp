#include "proxy/http_convert.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <set>
#include <vector>

#include "base/error.h"

namespace cometstand::proxy {

namespace http = boost::beast::http;

namespace {

/// RFC 9110, section 7.6.1; these concern one connection only.
constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",        "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Transfer-Encoding", "Trailer",    "Upgrade"};

/// Fields that the proxy sets itself on the way to a back end.
constexpr std::array<std::string_view, 5> kSetTowardsBackend = {"Host", "Content-Length", "Expect",
                                                                kDeadlineHeader, kAttemptHeader};

/// Fields that the proxy sets itself on the way to a caller.
constexpr std::array<std::string_view, 1> kSetTowardsCaller = {kOutcomeHeader};

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

template <std::size_t Size>
bool isOneOf(std::string_view name, const std::array<std::string_view, Size>& names) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view each) { return boost::algorithm::iequals(each, name); });
}

/// @return the fields that the Connection header names.
std::vector<std::string> connectionOptions(const http::fields& fields) {
  std::vector<std::string> options;
  const std::string text(view(fields[http::field::connection]));
  boost::algorithm::split(options, text, [](char c) { return c == ','; });
  for (auto& option : options) boost::algorithm::trim(option);
  return options;
}

bool isNamed(const std::vector<std::string>& options, std::string_view name) {
  return std::any_of(options.begin(), options.end(),
                     [&](const auto& option) { return boost::algorithm::iequals(option, name); });
}

template <std::size_t Size>
HeaderFields endToEndFields(const http::fields& fields, const std::array<std::string_view, Size>& dropped) {
  const auto options = connectionOptions(fields);
  HeaderFields kept;
  for (const auto& field : fields) {
    const auto name = view(field.name_string());
    if (isOneOf(name, kHopByHop) || isOneOf(name, dropped) || isNamed(options, name)) continue;
    kept.push_back({std::string(name), std::string(view(field.value()))});
  }
  return kept;
}

/// @return the header's number, or the fallback if there is no such header.
/// @throw Error(Malformed) if it is no whole number from `minimum` to `maximum`.
std::int64_t numberField(const http::fields& fields, std::string_view name, std::int64_t fallback,
                         std::int64_t minimum, std::int64_t maximum) {
  const auto found = fields.find(boost::beast::string_view(name.data(), name.size()));
  if (found == fields.end()) return fallback;
  std::int64_t number = 0;
  const bool read = boost::conversion::try_lexical_convert(view(found->value()), number);
  if (read && number >= minimum && number <= maximum) return number;
  throw Error(ErrorKind::Malformed, fmt::format("the header {} cannot be read", name),
              fmt::format("give a whole number from {} to {}", minimum, maximum));
}

std::string hostWithoutPort(std::string_view host) {
  // An IPv6 address in brackets keeps its colons.
  const auto bracket = host.find(']');
  const auto colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
  return std::string(host.substr(0, colon));
}

std::string_view outcomeName(wire::Outcome outcome) {
  switch (outcome) {
    case wire::Outcome::Completed:
      return "completed";
    case wire::Outcome::NotRun:
      return "not_run";
    case wire::Outcome::Unknown:
      break;
  }
  return "unknown";
}

std::string refusalBody(const FinalAnswer& answer) {
  boost::json::object body;
  body["outcome"] = outcomeName(answer.outcome);
  body["kind"] = errorKindName(answer.kind);
  body["message"] = answer.message;
  body["remedy"] = answer.remedy;
  body["retry_after_ms"] = ceilMilliseconds(answer.retry_after);
  return boost::json::serialize(body);
}

bool mayHaveBody(unsigned status) {
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return status >= kFirstFinal && status != kNoContent && status != kNotModified;
}

}  // namespace

CallerRequestPointer toCallerRequest(RequestFromCaller&& request) {
  constexpr std::int64_t kMaximumTimeLeftMs = 24LL * 3600 * 1000;
  constexpr std::int64_t kMaximumAttempt = 1000;
  auto result = std::make_shared<CallerRequest>();
  result->method = view(request.method_string());
  result->target = view(request.target());
  result->host = hostWithoutPort(view(request[http::field::host]));
  result->headers = endToEndFields(request, kSetTowardsBackend);
  result->idempotency_key = findHeader(result->headers, kIdempotencyKeyHeader).value_or("");
  constexpr std::int64_t kNone = -1;
  const auto time_left = numberField(request, kDeadlineHeader, kNone, 0, kMaximumTimeLeftMs);
  if (time_left != kNone) result->time_left = std::chrono::milliseconds(time_left);
  result->attempt = static_cast<unsigned>(numberField(request, kAttemptHeader, 1, 1, kMaximumAttempt));
  result->body = std::move(request.body());
  return result;
}

RequestToBackend toBackendRequest(const SendOrder& order, TimePoint now) {
  constexpr unsigned kHttp11 = 11;
  const auto& message = *order.message;
  RequestToBackend request;
  request.version(kHttp11);
  request.method_string(message.method);
  request.target(message.target);
  request.set(http::field::host, message.host.empty() ? order.address.host : message.host);
  copyFields(request, message.headers);
  const auto left = std::max<std::int64_t>(1, ceilMilliseconds(order.deadline - now));
  request.set(std::string(kDeadlineHeader), std::to_string(left));
  request.set(std::string(kAttemptHeader), std::to_string(order.attempt_header));
  if (!order.route->secret.empty()) request.set(http::field::authorization, "Bearer " + order.route->secret);
  request.body() = boost::beast::span<const char>(message.body.data(), message.body.size());
  const bool usually_without_body = message.method == "GET" || message.method == "HEAD";
  if (!message.body.empty() || !usually_without_body) request.content_length(message.body.size());
  return request;
}

std::shared_ptr<BackendResponse> toBackendResponse(const http::response_header<http::fields>& header,
                                                   bool keep_content_length) {
  auto response = std::make_shared<BackendResponse>();
  response->status = header.result_int();
  response->headers = endToEndFields(header, kSetTowardsCaller);
  if (!keep_content_length) {
    std::erase_if(response->headers, [](const HeaderField& field) {
      return boost::algorithm::iequals(field.name, "Content-Length");
    });
  }
  return response;
}

void copyFields(http::fields& to, const HeaderFields& from) {
  for (const auto& field : from) to.insert(field.name, field.value);
}

void setOutcome(http::fields& fields, wire::Outcome outcome, Duration retry_after) {
  fields.set(std::string(kOutcomeHeader), std::string(outcomeName(outcome)));
  if (retry_after <= Duration::zero()) return;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  fields.set(std::string(kRetryAfterHeader), std::to_string(seconds));
  fields.set(std::string(kRetryAfterMsHeader), std::to_string(ceilMilliseconds(retry_after)));
}

ResponseToCaller toCallerResponse(const FinalAnswer& answer, const AnswerContext& context) {
  ResponseToCaller response;
  response.version(context.http_version);
  response.result(answer.status);
  if (answer.response != nullptr) {
    copyFields(response, answer.response->headers);
    if (!context.head) response.body() = answer.response->body;
  } else {
    response.set(http::field::content_type, "application/json");
    if (!context.head) response.body() = refusalBody(answer);
  }
  setOutcome(response, answer.outcome, answer.retry_after);
  response.keep_alive(context.keep_alive);
  if (mayHaveBody(answer.status) && !context.head) response.content_length(response.body().size());
  return response;
}

}  // namespace cometstand::proxy
