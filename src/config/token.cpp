#include "config/token.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace cometstand::config {

std::vector<std::uint8_t> hashToken(const std::vector<std::uint8_t>& salt, std::string_view token) {
  std::vector<std::uint8_t> salted(salt);
  salted.insert(salted.end(), token.begin(), token.end());
  std::vector<std::uint8_t> hash(SHA256_DIGEST_LENGTH);
  SHA256(salted.data(), salted.size(), hash.data());
  return hash;
}

bool verifyToken(const std::vector<std::uint8_t>& salt, const std::vector<std::uint8_t>& token_hash,
                 std::string_view token) {
  const auto hash = hashToken(salt, token);
  return token_hash.size() == hash.size() && CRYPTO_memcmp(token_hash.data(), hash.data(), hash.size()) == 0;
}

}  // namespace cometstand::config
