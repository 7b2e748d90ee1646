#pragma once

#include <cstdint>
#include <string>

namespace cometstand {

/// Where a process listens or is reached.
struct Address {
  /// IP address in text form.
  std::string host;
  std::uint16_t port = 0;
  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace cometstand
