#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/time.h"

namespace cometstand {

/// What went wrong, as a value that programs may act on. Numbers are part of the wire format: never reuse.
enum class ErrorKind : std::uint16_t {
  None = 0,
  /// The input cannot be read: grammar, frame, settings, HTTP.
  Malformed = 1,
  /// The input can be read, but a value is out of its range or of the wrong unit.
  Invalid = 2,
  /// The credentials are missing or wrong.
  Unauthenticated = 3,
  /// The credentials do not reach this object.
  Forbidden = 4,
  /// The named object does not exist.
  NotFound = 5,
  /// The change names a version that is no longer current.
  Conflict = 6,
  /// An object refers to one that is missing, or is still referred to.
  Reference = 7,
  /// No leader, no quorum, no relay, no endpoint: come back later.
  Unavailable = 8,
  /// A limit is reached: come back later.
  Overloaded = 9,
  /// The time limit passed.
  Timeout = 10,
  /// Whether the request took effect is not known.
  Unknown = 11,
  /// Stored data fails its checks.
  Corrupt = 12,
  /// A disk or socket operation failed.
  InputOutput = 13,
  /// The process is stopping.
  Stopping = 14,
  /// The request identifier or key was used before with another content.
  Mismatch = 15,
};

/// @return the name used in logs and replies, for example "not_found".
std::string_view errorKindName(ErrorKind kind);

/// The one exception type of the product. The message says what happened, the remedy what to do about it.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, std::string message, std::string remedy, Duration retry_after = Duration::zero());

  ErrorKind kind() const { return kind_; }
  const std::string& message() const { return message_; }
  const std::string& remedy() const { return remedy_; }
  /// @return when to come back; zero if waiting is not known to help.
  Duration retryAfter() const { return retry_after_; }

 private:
  ErrorKind kind_;
  std::string message_;
  std::string remedy_;
  Duration retry_after_;
};

}  // namespace cometstand
