#pragma once

#include <cstddef>

/// Limits of the replicated state; a state within all of them fits into a snapshot
/// (ConsensusOptions::max_snapshot_bytes). They are constants rather than settings, because every replica
/// must apply the same limits. See docs/DESIGN.md, "The store's state machine".
namespace cometstand::store {

/// Total size of all objects in the catalog; a change that would exceed it is rejected. The size expected
/// after two years of growth is about a third of it.
inline constexpr std::size_t kMaxCatalogBytes = std::size_t{20} << 20U;

/// Number of replies to operators' changes kept per tenant and in total.
inline constexpr std::size_t kMaxAnsweredPerTenant = 2'000;
inline constexpr std::size_t kMaxAnsweredTotal = 20'000;

/// Number of concurrent claims in progress per tenant and in total; further claims are rejected.
inline constexpr std::size_t kMaxClaimsInProgressPerTenant = 2'000;
inline constexpr std::size_t kMaxClaimsInProgressTotal = 10'000;
/// Size of the finished claims kept per tenant and in total, without their recorded answers. A claim with a
/// key of 36 bytes takes about 170 bytes.
inline constexpr std::size_t kMaxFinishedClaimBytesPerTenant = std::size_t{4} << 20U;
inline constexpr std::size_t kMaxFinishedClaimBytesTotal = std::size_t{14} << 20U;
/// Total size of the recorded answers of all tenants. A claim whose recorded answer was evicted is still
/// answered with Completed.
inline constexpr std::size_t kMaxRecordedAnswerBytesTotal = std::size_t{6} << 20U;
/// Maximum lengths of the key and of the attempt of a claim.
inline constexpr std::size_t kMaxClaimKeyBytes = 256;
inline constexpr std::size_t kMaxClaimAttemptBytes = 128;
/// Approximate size of a claim in a snapshot, without its key and attempt.
inline constexpr std::size_t kClaimRecordBytes = 100;
/// Maximum size of the recorded answer of one claim; a larger answer is not kept.
inline constexpr std::size_t kMaxRecordedAnswerBytes = std::size_t{64} << 10U;

/// Number of accepted changes kept for `show changes`.
inline constexpr std::size_t kMaxHistory = 1'000;
/// Maximum number of keys listed in one entry of the history.
inline constexpr std::size_t kMaxHistoryKeys = 8;

}  // namespace cometstand::store
