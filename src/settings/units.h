#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::settings {

/// @param text a whole number with one of the units us, ms, s, m, h, such as "50ms".
/// @throw Error(Invalid) if the unit is missing or unknown, or the value does not fit.
Duration parseDuration(std::string_view text);

/// @return the duration in the largest unit that divides it, such as "2s".
std::string formatDuration(Duration duration);

/// @param text a whole number with one of the units B, KiB, MiB, GiB, such as "64KiB".
/// @return bytes.
/// @throw Error(Invalid) if the unit is missing or unknown, or the value does not fit.
std::uint64_t parseSize(std::string_view text);

/// @return the size in the largest unit that divides it, such as "64KiB".
std::string formatSize(std::uint64_t bytes);

/// @param text an IP address and a port, such as "127.0.0.1:7000" or "[::1]:7000".
/// @throw Error(Invalid) if it is anything else; names are not looked up.
runtime::Address parseAddress(std::string_view text);

/// @return the address in the form that parseAddress() reads.
std::string formatAddress(const runtime::Address& address);

}  // namespace cometstand::settings
