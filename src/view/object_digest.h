#pragma once

#include <cstdint>
#include <memory>

#include "schema/objects_generated.h"

namespace cometstand::view {

/// Order-independent 128-bit digest of a set of objects: the wrapping sum of the objects' digests.
class DigestSum {
 public:
  constexpr DigestSum() = default;
  constexpr DigestSum(std::uint64_t low, std::uint64_t high) : low_(low), high_(high) {}

  std::uint64_t low() const { return low_; }
  std::uint64_t high() const { return high_; }

  DigestSum& operator+=(const DigestSum& other);
  DigestSum& operator-=(const DigestSum& other);
  friend bool operator==(const DigestSum&, const DigestSum&) = default;

  std::shared_ptr<wire::Digest> toWire() const;
  /// @param digest may be nullptr, which counts as the digest of the empty set.
  static DigestSum fromWire(const wire::Digest* digest);

 private:
  std::uint64_t low_ = 0;
  std::uint64_t high_ = 0;
};

/// @return the digest of a live object at its version; see config/object_digest.h.
DigestSum digestOf(const wire::ObjectChangeT& change);

}  // namespace cometstand::view
