#include "store/request_table.h"

#include <algorithm>

#include "base/error.h"
#include "config/object_digest.h"
#include "store/replies.h"
#include "store/request_id.h"

namespace cometstand::store {
namespace {

bool isSameCommand(const wire::AnsweredRequestT& answered, const wire::ChangeCommandT& command) {
  return answered.operator_name == command.operator_name && answered.text_digest != nullptr &&
         command.text_digest != nullptr && config::sameDigest(*answered.text_digest, *command.text_digest);
}

}  // namespace

std::optional<wire::CommandReplyT> RequestTable::findReply(const wire::ChangeCommandT& command) const {
  const auto tenant = tenants_.find(command.tenant);
  if (tenant == tenants_.end()) return std::nullopt;
  const std::uint64_t time = requestTime(command.request_id).value_or(0);
  const auto found = tenant->second.answered.find({time, command.request_id});
  if (found != tenant->second.answered.end()) {
    if (isSameCommand(*found->second, command)) return *found->second->reply;
    return notRunReply<wire::CommandReplyT>(Error(ErrorKind::Mismatch,
                                                  "the request identifier was used for another command",
                                                  "send the command under a new identifier"));
  }
  if (time >= tenant->second.forgotten_before) return std::nullopt;
  return unknownOutcomeReply<wire::CommandReplyT>(
      Error(ErrorKind::Unknown, "the request identifier is older than what the store remembers",
            "look at what is in force; if the change is not there, check this machine's clock and send the "
            "change under a new identifier"));
}

void RequestTable::record(const wire::ChangeCommandT& command, const wire::CommandReplyT& reply) {
  auto answered = std::make_shared<wire::AnsweredRequestT>();
  answered->request_id = command.request_id;
  answered->operator_name = command.operator_name;
  answered->text_digest = command.text_digest;
  answered->reply = std::make_shared<wire::CommandReplyT>(reply);
  auto& tenant = tenants_[command.tenant];
  const Key key{requestTime(command.request_id).value_or(0), command.request_id};
  if (tenant.answered.emplace(key, std::move(answered)).second) ++size_;
  evict(tenant);
}

void RequestTable::evictOldest(Tenant& tenant) {
  const auto oldest = tenant.answered.begin();
  tenant.forgotten_before = std::max(tenant.forgotten_before, oldest->first.first + 1);
  tenant.answered.erase(oldest);
  --size_;
}

void RequestTable::evict(Tenant& tenant) {
  if (tenant.answered.size() > max_per_tenant_) evictOldest(tenant);
  if (size_ <= max_total_) return;
  const auto largest_tenant =
      std::max_element(tenants_.begin(), tenants_.end(), [](const auto& left, const auto& right) {
        return left.second.answered.size() < right.second.answered.size();
      });
  evictOldest(largest_tenant->second);
}

std::vector<std::shared_ptr<wire::TenantRequestsT>> RequestTable::save() const {
  std::vector<std::shared_ptr<wire::TenantRequestsT>> saved;
  for (const auto& [name, tenant] : tenants_) {
    auto requests = std::make_shared<wire::TenantRequestsT>();
    requests->tenant = name;
    requests->forgotten_before = tenant.forgotten_before;
    for (const auto& [key, answered] : tenant.answered) requests->answered.push_back(answered);
    saved.push_back(std::move(requests));
  }
  return saved;
}

void RequestTable::restore(const std::vector<std::shared_ptr<wire::TenantRequestsT>>& tenants) {
  tenants_.clear();
  size_ = 0;
  for (const auto& saved : tenants) {
    auto& tenant = tenants_[saved->tenant];
    tenant.forgotten_before = saved->forgotten_before;
    for (const auto& answered : saved->answered) {
      if (answered == nullptr || answered->reply == nullptr || answered->text_digest == nullptr) {
        throw Error(ErrorKind::Corrupt, "an answered request in the snapshot is incomplete",
                    "delete this replica's data folder and add the replica again under a new identifier");
      }
      tenant.answered.emplace(Key{requestTime(answered->request_id).value_or(0), answered->request_id},
                              answered);
      ++size_;
    }
  }
}

}  // namespace cometstand::store
