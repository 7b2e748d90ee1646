#pragma once

#include <cstddef>
#include <cstdint>

/// Limits on configuration objects. A change beyond one is refused with ErrorKind::Invalid.
namespace cometstand::config {

inline constexpr std::size_t kMaxNameBytes = 63;
inline constexpr std::size_t kMaxHostBytes = 253;
inline constexpr std::size_t kMaxPathBytes = 1024;
inline constexpr std::size_t kMaxSecretBytes = 4096;
inline constexpr std::size_t kMinSaltBytes = 8;
inline constexpr std::size_t kMaxSaltBytes = 64;
/// SHA-256.
inline constexpr std::size_t kTokenHashBytes = 32;
inline constexpr std::size_t kMaxEndpointsPerService = 1000;
inline constexpr std::size_t kMaxTenantsPerNode = 1000;
inline constexpr std::size_t kMaxOperationsPerTransaction = 1000;
/// Requests in flight of one tenant on one proxy.
inline constexpr std::uint32_t kMaxInFlight = 1'000'000;
/// Requests that one endpoint works on at once.
inline constexpr std::uint32_t kMaxSlots = 10'000;
/// Connections that one endpoint holds at once.
inline constexpr std::uint32_t kMaxConnections = 100'000;
/// Milliseconds.
inline constexpr std::uint32_t kMaxRouteTimeoutMs = 600'000;
inline constexpr std::uint32_t kMaxRetries = 10;

/// Deletions that a catalog remembers for deltas. 58,000 changes a day, were all of them deletions, would
/// give followers more than an hour to come back for a delta; later they take a snapshot.
inline constexpr std::size_t kMaxTombstones = 10'000;

}  // namespace cometstand::config
