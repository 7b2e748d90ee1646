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

/// Replies to operators' changes by request identifier, so that a retry gets the reply to the first attempt
/// and the change is not applied twice. Part of the replicated state.
///
/// Eviction policy: each tenant keeps the kMaxAnsweredPerTenant identifiers with the latest times. Over all
/// tenants kMaxAnsweredTotal are kept; beyond that, the oldest identifier of the tenant with the most is
/// evicted. Eviction raises the tenant's `forgotten_before` above the time of the evicted identifier. A
/// change whose identifier has an earlier time than `forgotten_before` and is not in the table gets the
/// outcome Unknown and is not applied, because it may be a retry of a change that was.
class RequestTable {
 public:
  RequestTable() = default;
  /// Allows tests to use smaller bounds.
  RequestTable(std::size_t max_per_tenant, std::size_t max_total)
      : max_per_tenant_(max_per_tenant), max_total_(max_total) {}

  /// @return the recorded reply if the command is a retry; Mismatch if the identifier was used for another
  /// command or by another operator; Unknown if the identifier may have been evicted; nullopt if it is new.
  std::optional<wire::CommandReplyT> findReply(const wire::ChangeCommandT& command) const;

  /// Records the reply to a command for which findReply() returned nullopt.
  void record(const wire::ChangeCommandT& command, const wire::CommandReplyT& reply);

  std::size_t size() const { return size_; }
  std::vector<std::shared_ptr<wire::TenantRequestsT>> save() const;
  /// @throw Error(Corrupt)
  void restore(const std::vector<std::shared_ptr<wire::TenantRequestsT>>& tenants);

 private:
  /// Time and whole identifier, so that the table is ordered by time first.
  using Key = std::pair<std::uint64_t, std::string>;
  struct Tenant {
    std::uint64_t forgotten_before = 0;
    std::map<Key, std::shared_ptr<wire::AnsweredRequestT>> answered;
  };

  void evictOldest(Tenant& tenant);
  void evict(Tenant& tenant);

  std::size_t max_per_tenant_ = kMaxAnsweredPerTenant;
  std::size_t max_total_ = kMaxAnsweredTotal;
  std::map<std::string, Tenant> tenants_;
  std::size_t size_ = 0;
};

}  // namespace cometstand::store
