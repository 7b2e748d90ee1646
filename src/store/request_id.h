#pragma once

#include <fmt/format.h>

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Identifiers of operators' changes, of the form "<time>-<rest>". The time is the client's clock at the
/// first attempt, in milliseconds since 1970, in decimal; the rest makes the identifier unique. The time lets
/// the request table distinguish an identifier that it has evicted from one that is new.
namespace cometstand::store {

inline constexpr std::size_t kMaxRequestIdBytes = 80;

/// @return the time in milliseconds since 1970, or nullopt if the identifier is not of the form
/// "<time>-<rest>" or is too long.
inline std::optional<std::uint64_t> requestTime(std::string_view request_id) {
  if (request_id.size() > kMaxRequestIdBytes) return std::nullopt;
  std::uint64_t time = 0;
  const char* const end = request_id.data() + request_id.size();
  const auto [rest, error] = std::from_chars(request_id.data(), end, time);
  const bool has_rest = error == std::errc() && end - rest >= 2 && *rest == '-';
  return has_rest ? std::optional(time) : std::nullopt;
}

/// @param unix_milliseconds the client's clock at the first attempt.
/// @param nonce a random number that makes the identifier unique.
inline std::string makeRequestId(std::uint64_t unix_milliseconds, std::uint64_t nonce) {
  return fmt::format("{}-{:016x}", unix_milliseconds, nonce);
}

}  // namespace cometstand::store
