#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace cometstand::config {

/// @return SHA-256 of salt followed by token, 32 bytes: the form in which tokens are stored.
std::vector<std::uint8_t> hashToken(const std::vector<std::uint8_t>& salt, std::string_view token);

/// @return true if the token has this hash. Takes equal time for all tokens of one length.
bool verifyToken(const std::vector<std::uint8_t>& salt, const std::vector<std::uint8_t>& token_hash,
                 std::string_view token);

}  // namespace cometstand::config
