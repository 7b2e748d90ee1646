#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "schema/store_generated.h"
#include "store/limits.h"

namespace cometstand::store {

/// Answers to operators' changes by request identifier, so that a resend gets the first answer and does not
/// run again. Part of the replicated state.
///
/// Pruning rule: a tenant keeps its kMaxAnsweredPerTenant identifiers of the latest times; over all tenants
/// kMaxAnsweredTotal are kept, where the tenant with the most gives way first. Whatever is forgotten moves
/// the tenant's `forgotten_before` past its time: an identifier from before that which the table lacks
/// answers Unknown and is not run.
class RequestTable {
 public:
  RequestTable() = default;
  /// For tests: smaller bounds.
  RequestTable(std::size_t max_per_tenant, std::size_t max_total)
      : max_per_tenant_(max_per_tenant), max_total_(max_total) {}

  /// @return the answer to a resend; Mismatch if the identifier was used for another command or by another
  /// operator; Unknown if it may have been forgotten; nothing if it is new.
  std::optional<wire::CommandReplyT> answerFor(const wire::ChangeCommandT& command) const;

  /// Records the answer to a command for which answerFor() gave nothing.
  void record(const wire::ChangeCommandT& command, const wire::CommandReplyT& reply);

  std::size_t size() const { return size_; }
  std::vector<std::shared_ptr<wire::TenantRequestsT>> save() const;
  /// @throw Error(Corrupt)
  void restore(const std::vector<std::shared_ptr<wire::TenantRequestsT>>& tenants);

 private:
  /// Orders by time, then by the whole identifier.
  using Key = std::pair<std::uint64_t, std::string>;
  struct Tenant {
    std::uint64_t forgotten_before = 0;
    std::map<Key, std::shared_ptr<wire::AnsweredRequestT>> answered;
  };

  void forgetOldest(Tenant& tenant);
  void prune(Tenant& tenant);

  std::size_t max_per_tenant_ = kMaxAnsweredPerTenant;
  std::size_t max_total_ = kMaxAnsweredTotal;
  std::map<std::string, Tenant> tenants_;
  std::size_t size_ = 0;
};

}  // namespace cometstand::store
