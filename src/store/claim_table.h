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

/// Claims on the idempotency keys of requests that may not be repeated. Part of the replicated state.
///
/// A claim is granted to one attempt. It ends Released (no byte went out; the key is free again), Completed
/// (with the recorded answer) or Unknown. Time alone never frees a key.
///
/// Pruning rule: claims in progress are never dropped; beyond kMaxClaimsInProgressPerTenant of a tenant or
/// kMaxClaimsInProgressTotal no new ones are granted. Finished claims are kept per tenant up to
/// kMaxFinishedClaimBytesPerTenant, over all tenants up to kMaxFinishedClaimBytesTotal, where the tenant with
/// the most bytes gives way first; the first to finish go first. Beyond kMaxRecordedAnswerBytesTotal the
/// tenant with the most bytes of answers loses its oldest one; that claim stays Completed, without its
/// answer. Each rule looks at the order within one tenant alone, which a snapshot keeps.
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
  /// For tests: smaller bounds.
  explicit ClaimTable(const Bounds& bounds) : bounds_(bounds) {}

  /// Takes the claim if it is free, or tells its state.
  wire::ClaimReplyT request(const wire::ClaimRequestT& request);

  /// Ends a claim. May be repeated: the same end of the same attempt is answered alike.
  wire::ClaimReplyT finish(const wire::ClaimFinishT& finish);

  std::size_t inProgressCount() const { return in_progress_count_; }
  std::size_t finishedCount() const;

  /// Calls the action with tenant and record of each claim in progress.
  void forEachInProgress(
      const std::function<void(const std::string& tenant, const wire::ClaimRecordT& record)>& action) const;

  std::vector<std::shared_ptr<wire::TenantClaimsT>> save() const;
  /// @throw Error(Corrupt)
  void restore(const std::vector<std::shared_ptr<wire::TenantClaimsT>>& tenants);

 private:
  using Record = std::shared_ptr<wire::ClaimRecordT>;
  struct Claim {
    Record record;
    /// Rises with each finished claim of the tenant; 0 while in progress.
    std::uint64_t finish_number = 0;
  };
  struct Tenant {
    std::map<std::string, Claim> claims;
    /// Keys of finished claims by finish number.
    std::map<std::uint64_t, std::string> finished;
    /// Finish numbers of claims whose answer is kept.
    std::set<std::uint64_t> with_answer;
    std::size_t finished_bytes = 0;
    std::size_t answer_bytes = 0;
    std::uint64_t last_finish_number = 0;

    std::size_t inProgress() const { return claims.size() - finished.size(); }
  };

  void grant(Tenant& tenant, const wire::ClaimRequestT& request);
  void end(Tenant& tenant, Claim& claim, const wire::ClaimFinishT& finish);
  void addFinished(Tenant& tenant, Claim& claim);
  void dropOldestFinished(Tenant& tenant);
  void keepAnswer(Tenant& tenant, const Claim& claim);
  void dropAnswer(Tenant& tenant, const Claim& claim);
  void prune(Tenant& tenant);

  Bounds bounds_;
  std::map<std::string, Tenant> tenants_;
  std::size_t answer_bytes_ = 0;
  std::size_t finished_bytes_ = 0;
  std::size_t in_progress_count_ = 0;
};

}  // namespace cometstand::store
