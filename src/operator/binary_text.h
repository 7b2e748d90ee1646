#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Bytes written as text: hexadecimal and base64.
namespace cometstand::command {

using Bytes = std::vector<std::uint8_t>;

/// @return the bytes, or nothing if the text is not an even number of hexadecimal digits.
std::optional<Bytes> decodeHex(std::string_view text);
std::string encodeHex(std::span<const std::uint8_t> bytes);

/// @return the bytes, or nothing if the text is not padded base64 (RFC 4648, section 4).
std::optional<Bytes> decodeBase64(std::string_view text);
std::string encodeBase64(std::span<const std::uint8_t> bytes);

}  // namespace cometstand::command
