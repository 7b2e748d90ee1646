#include "relay/admission.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <vector>

namespace cometstand::relay {

std::optional<Duration> JoinLimiter::admit(TimePoint now, RandomSource& random) {
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  tokens_ = std::min(burst_, tokens_ + std::max(0.0, elapsed) * rate_);
  refilled_ = now;
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return std::nullopt;
  }
  const auto step = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate_));
  booked_until_ = std::max(booked_until_, now) + step;
  const Duration wait = booked_until_ - now;
  return wait + random.uniform(Duration::zero(), wait);
}

bool verifyNodeToken(const wire::NodeSpecT& node, const std::string& token) {
  if (node.token_hash.empty()) return true;
  std::vector<unsigned char> salted(node.salt.begin(), node.salt.end());
  salted.insert(salted.end(), token.begin(), token.end());
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(salted.data(), salted.size(), hash.data());
  return node.token_hash.size() == hash.size() &&
         CRYPTO_memcmp(node.token_hash.data(), hash.data(), hash.size()) == 0;
}

}  // namespace cometstand::relay
