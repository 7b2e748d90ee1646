#include "config/object_digest.h"

#include <xxhash.h>

#include <array>
#include <memory>

namespace cometstand::config {
namespace {

/// Frees a hash state when its scope ends.
struct HashStateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};
using HashState = std::unique_ptr<XXH3_state_t, HashStateDeleter>;

wire::Digest toDigest(const XXH128_hash_t& hash) { return {hash.low64, hash.high64}; }

/// Numbers enter the hash as little-endian bytes.
std::array<std::uint8_t, sizeof(std::uint64_t)> littleEndian(std::uint64_t value) {
  std::array<std::uint8_t, sizeof(std::uint64_t)> bytes{};
  for (auto& byte : bytes) {
    byte = static_cast<std::uint8_t>(value & 0xffU);
    value >>= 8U;
  }
  return bytes;
}

}  // namespace

wire::Digest objectDigest(const wire::ObjectT& object, std::uint64_t version) {
  // The object's bytes hold its key.
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Object::Pack(builder, &object));
  const HashState state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  const auto version_bytes = littleEndian(version);
  XXH3_128bits_update(state.get(), version_bytes.data(), version_bytes.size());
  XXH3_128bits_update(state.get(), builder.GetBufferPointer(), builder.GetSize());
  return toDigest(XXH3_128bits_digest(state.get()));
}

wire::Digest textDigest(std::string_view text) { return toDigest(XXH3_128bits(text.data(), text.size())); }

wire::Digest addDigest(const wire::Digest& left, const wire::Digest& right) {
  const std::uint64_t low = left.low() + right.low();
  const std::uint64_t carry = low < left.low() ? 1 : 0;
  return {low, left.high() + right.high() + carry};
}

wire::Digest subtractDigest(const wire::Digest& left, const wire::Digest& right) {
  const std::uint64_t low = left.low() - right.low();
  const std::uint64_t borrow = left.low() < right.low() ? 1 : 0;
  return {low, left.high() - right.high() - borrow};
}

bool sameDigest(const wire::Digest& left, const wire::Digest& right) {
  return left.low() == right.low() && left.high() == right.high();
}

}  // namespace cometstand::config
