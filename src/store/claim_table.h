#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "schema/store_generated.h"
#include "store/limits.h"

namespace cometstand::store {

/// Claims on the idempotency keys of requests that must not be executed twice. Part of the replicated state.
///
/// A claim is granted to one attempt. It ends as Released (no byte of the request was sent; the key is free
/// again), Completed (with the recorded response) or Unknown. A key is never freed merely because time has
/// passed.
///
/// Eviction policy:
/// - Claims in progress are never evicted. New ones are refused beyond kMaxClaimsInProgressPerTenant for a
///   tenant or kMaxClaimsInProgressTotal over all tenants.
/// - Finished claims are kept up to kMaxFinishedClaimBytesPerTenant for a tenant and
///   kMaxFinishedClaimBytesTotal over all tenants. Beyond the total, claims of the tenant with the most bytes
///   are evicted. Within a tenant, the claim that finished first is evicted first.
/// - Beyond kMaxRecordedAnswerBytesTotal, the oldest recorded response of the tenant with the most response
///   bytes is dropped; that claim stays Completed, without its response.
/// - The policy depends only on the order of claims within one tenant, which a snapshot preserves.
class ClaimTable {
 public:
  struct Bounds {
    std::size_t in_progress_per_tenant = kMaxClaimsInProgressPerTenant;
    std::size_t in_progress_total = kMaxClaimsInProgressTotal;
    std::size_t finished_bytes_per_tenant = kMaxFinishedClaimBytesPerTenant;
    std::size_t finished_bytes_total = kMaxFinishedClaimBytesTotal;
    std::size_t answer_bytes_total = kMaxRecordedAnswerBytesTotal;
  };

  ClaimTable() = default;
  /// Allows tests to use smaller bounds.
  explicit ClaimTable(const Bounds& bounds) : bounds_(bounds) {}

  /// Grants the claim if the key is free or the same attempt already holds it.
  /// @return the state of the claim, with the recorded response if there is one.
  /// @throw Error(Invalid), Error(Malformed) or Error(Overloaded) if the request is refused.
  wire::ClaimReplyT request(const wire::ClaimRequestT& request);

  /// Ends a claim. Idempotent: repeating the same end for the same attempt gives the same reply.
  wire::ClaimReplyT finish(const wire::ClaimFinishT& finish);

  std::size_t inProgressCount() const { return in_progress_count_; }
  std::size_t finishedCount() const;

  /// Calls the action with the tenant and the record of each claim in progress.
  void forEachInProgress(
      const std::function<void(const std::string& tenant, const wire::ClaimRecordT& record)>& action) const;

  std::vector<std::shared_ptr<wire::TenantClaimsT>> save() const;
  /// @throw Error(Corrupt)
  void restore(const std::vector<std::shared_ptr<wire::TenantClaimsT>>& tenants);

 private:
  using Record = std::shared_ptr<wire::ClaimRecordT>;
  struct Claim {
    Record record;
    /// Sequence number of the end among the tenant's finished claims; 0 while the claim is in progress.
    std::uint64_t finish_number = 0;
  };
  struct Tenant {
    std::map<std::string, Claim> claims;
    /// Idempotency keys of finished claims, ordered by finish number.
    std::map<std::uint64_t, std::string> finished;
    /// Finish numbers of the claims whose response is still recorded.
    std::set<std::uint64_t> finish_numbers_with_answer;
    std::size_t finished_bytes = 0;
    std::size_t answer_bytes = 0;
    std::uint64_t last_finish_number = 0;

    std::size_t inProgress() const { return claims.size() - finished.size(); }
  };

  void grant(Tenant& tenant, const wire::ClaimRequestT& request);
  void end(Tenant& tenant, Claim& claim, const wire::ClaimFinishT& finish);
  void addFinished(Tenant& tenant, Claim& claim);
  void evictOldestFinished(Tenant& tenant);
  void keepAnswer(Tenant& tenant, const Claim& claim);
  void dropAnswer(Tenant& tenant, const Claim& claim);
  void evict(Tenant& tenant);

  Bounds bounds_;
  std::map<std::string, Tenant> tenants_;
  std::size_t answer_bytes_ = 0;
  std::size_t finished_bytes_ = 0;
  std::size_t in_progress_count_ = 0;
};

}  // namespace cometstand::store
