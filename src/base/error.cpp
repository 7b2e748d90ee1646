#include "base/error.h"

#include <fmt/format.h>

#include <utility>

namespace cometstand {

std::string_view errorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::None:
      return "none";
    case ErrorKind::Malformed:
      return "malformed";
    case ErrorKind::Invalid:
      return "invalid";
    case ErrorKind::Unauthenticated:
      return "unauthenticated";
    case ErrorKind::Forbidden:
      return "forbidden";
    case ErrorKind::NotFound:
      return "not_found";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::Reference:
      return "reference";
    case ErrorKind::Unavailable:
      return "unavailable";
    case ErrorKind::Overloaded:
      return "overloaded";
    case ErrorKind::Timeout:
      return "timeout";
    case ErrorKind::Unknown:
      return "unknown";
    case ErrorKind::Corrupt:
      return "corrupt";
    case ErrorKind::InputOutput:
      return "input_output";
    case ErrorKind::Stopping:
      return "stopping";
    case ErrorKind::Mismatch:
      return "mismatch";
  }
  return "unrecognized";
}

Error::Error(ErrorKind kind, std::string message, std::string remedy, Duration retry_after)
    : std::runtime_error(fmt::format("{}: {} ({})", errorKindName(kind), message, remedy)),
      kind_(kind),
      message_(std::move(message)),
      remedy_(std::move(remedy)),
      retry_after_(retry_after) {}

}  // namespace cometstand
