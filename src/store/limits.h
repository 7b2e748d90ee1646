#pragma once

#include <cstddef>

/// Bounds of the replicated state. They are constants and not settings: every replica must decide alike. See
/// docs/DESIGN.md, "The store's state machine".
namespace cometstand::store {

/// Answers to operators' changes kept for one tenant, and for all tenants together.
inline constexpr std::size_t kMaxAnsweredPerTenant = 2'000;
inline constexpr std::size_t kMaxAnsweredTotal = 50'000;

/// Claims of one tenant in progress at once; more are refused.
inline constexpr std::size_t kMaxClaimsInProgressPerTenant = 5'000;
/// Finished claims kept for one tenant, and for all tenants together.
inline constexpr std::size_t kMaxFinishedClaimsPerTenant = 20'000;
inline constexpr std::size_t kMaxFinishedClaimsTotal = 100'000;
/// Bytes of recorded answers kept over all tenants. A claim whose answer was dropped still answers Completed.
inline constexpr std::size_t kMaxRecordedAnswerBytesTotal = std::size_t{8} << 20U;
/// Longest key or attempt of a claim, in bytes.
inline constexpr std::size_t kMaxClaimTextBytes = 256;
/// Largest recorded answer of one claim, in bytes; a larger one is not kept.
inline constexpr std::size_t kMaxRecordedAnswerBytes = std::size_t{64} << 10U;

/// Accepted changes kept for `show changes`.
inline constexpr std::size_t kMaxHistory = 1'000;
/// Keys named by one entry of the history.
inline constexpr std::size_t kMaxHistoryKeys = 8;

}  // namespace cometstand::store
