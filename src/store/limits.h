#pragma once

#include <cstddef>

/// Bounds of the replicated state; together they fit a snapshot (ConsensusOptions::max_snapshot_bytes). They
/// are constants and not settings: every replica must decide alike. See docs/DESIGN.md, "The store's state
/// machine".
namespace cometstand::store {

/// Bytes of all objects in the catalog; a change that would pass it is refused. The two-year size takes about
/// a third of it.
inline constexpr std::size_t kMaxCatalogBytes = std::size_t{20} << 20U;

/// Answers to operators' changes kept for one tenant, and for all tenants together.
inline constexpr std::size_t kMaxAnsweredPerTenant = 2'000;
inline constexpr std::size_t kMaxAnsweredTotal = 20'000;

/// Claims in progress at once of one tenant, and of all tenants together; more are refused.
inline constexpr std::size_t kMaxClaimsInProgressPerTenant = 2'000;
inline constexpr std::size_t kMaxClaimsInProgressTotal = 10'000;
/// Bytes of finished claims kept for one tenant, and for all tenants together, without their answers. A claim
/// with a key of 36 bytes takes about 170.
inline constexpr std::size_t kMaxFinishedClaimBytesPerTenant = std::size_t{4} << 20U;
inline constexpr std::size_t kMaxFinishedClaimBytesTotal = std::size_t{14} << 20U;
/// Bytes of recorded answers kept over all tenants. A claim whose answer was dropped still answers Completed.
inline constexpr std::size_t kMaxRecordedAnswerBytesTotal = std::size_t{6} << 20U;
/// Longest key and longest attempt of a claim, in bytes.
inline constexpr std::size_t kMaxClaimKeyBytes = 256;
inline constexpr std::size_t kMaxClaimAttemptBytes = 128;
/// What a claim takes in a snapshot besides its key and attempt, in bytes, about.
inline constexpr std::size_t kClaimRecordBytes = 100;
/// Largest recorded answer of one claim, in bytes; a larger one is not kept.
inline constexpr std::size_t kMaxRecordedAnswerBytes = std::size_t{64} << 10U;

/// Accepted changes kept for `show changes`.
inline constexpr std::size_t kMaxHistory = 1'000;
/// Keys named by one entry of the history.
inline constexpr std::size_t kMaxHistoryKeys = 8;

}  // namespace cometstand::store
