#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cometstand::proxy {

/// One HTTP header field.
struct HeaderField {
  std::string name;
  std::string value;
};

using HeaderFields = std::vector<HeaderField>;

/// @return the value of the first field of that name (compared without regard to case), or nothing.
std::optional<std::string_view> findHeader(const HeaderFields& headers, std::string_view name);

/// Header names of the project; see docs/DESIGN.md, "HTTP conventions".
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kDeadlineHeader = "X-Request-Deadline-Ms";
inline constexpr std::string_view kOutcomeHeader = "X-Outcome";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";
inline constexpr std::string_view kRetryAfterMsHeader = "X-Retry-After-Ms";
inline constexpr std::string_view kNotRunHeader = "X-Not-Run";
inline constexpr std::string_view kLoadHeader = "X-Load";
/// Number of the attempt, from 1. A call that a back end makes while it serves attempt 2 or later carries
/// that number on, so that no proxy further down multiplies the retries.
inline constexpr std::string_view kAttemptHeader = "X-Attempt";

/// A request as it came from a caller, whole. Shared and never changed once handed over.
struct CallerRequest {
  std::string method;
  /// Path and query.
  std::string target;
  /// Without the port.
  std::string host;
  /// Without hop-by-hop fields and without those that the proxy sets itself.
  HeaderFields headers;
  std::string body;
  /// Empty if the caller gave none.
  std::string idempotency_key;
  /// From X-Request-Deadline-Ms.
  std::optional<Duration> time_left;
  /// From X-Attempt; 1 if there is none.
  unsigned attempt = 1;
};

using CallerRequestPointer = std::shared_ptr<const CallerRequest>;

/// A back end's answer: whole, or, for a stream, its head.
struct BackendResponse {
  unsigned status = 0;
  /// Without hop-by-hop fields.
  HeaderFields headers;
  std::string body;
};

using BackendResponsePointer = std::shared_ptr<const BackendResponse>;

}  // namespace cometstand::proxy
