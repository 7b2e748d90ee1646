#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "schema/mesh_generated.h"

namespace cometstand::mesh {

/// Names a request by its content: equal for all repeats of it, whatever their ids and fields are. The first
/// 128 bits of a SHA-256, so that a caller cannot make its own request collide with that of another.
struct ContentDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend auto operator<=>(const ContentDigest&,
                          const ContentDigest&) = default;  // NOLINT(modernize-use-nullptr)
};

/// For tables by digest; the digests are spread evenly already.
struct ContentDigestHash {
  std::size_t operator()(const ContentDigest& digest) const { return digest.low; }
};

inline ContentDigest readDigest(const wire::Digest& digest) { return {digest.high(), digest.low()}; }
inline std::shared_ptr<wire::Digest> writeDigest(const ContentDigest& digest) {
  return std::make_shared<wire::Digest>(digest.low, digest.high);
}

/// The two names of a request's content. Both cover the calling service, the service, the method, the host,
/// the path and the body, so that no caller's requests ever share a name with those of another service.
struct ContentDigests {
  /// With the query.
  ContentDigest exact;
  /// Without the query; nothing if there is none. Who varies the query at will is still known by this.
  std::optional<ContentDigest> path;
};

ContentDigests digestsOf(const wire::ForwardRequestT& request);

/// @return 32 hexadecimal digits.
std::string formatDigest(const ContentDigest& digest);

}  // namespace cometstand::mesh
