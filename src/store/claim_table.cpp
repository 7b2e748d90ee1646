#include "store/claim_table.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/error.h"
#include "config/object_digest.h"
#include "store/replies.h"

namespace cometstand::store {
namespace {

wire::ClaimReplyT stateReply(wire::ClaimState state) {
  wire::ClaimReplyT reply;
  reply.state = state;
  return reply;
}

wire::ClaimReplyT recordReply(const wire::ClaimRecordT& record) {
  wire::ClaimReplyT reply;
  reply.state = record.state;
  reply.answer = record.answer;
  return reply;
}

void checkLength(const std::string& text, const char* what, std::size_t limit) {
  if (!text.empty() && text.size() <= limit) return;
  throw Error(ErrorKind::Invalid, fmt::format("the claim's {} has {} bytes", what, text.size()),
              fmt::format("use 1 to {} bytes", limit));
}

std::size_t recordBytes(const wire::ClaimRecordT& record) {
  return record.key.size() + record.attempt.size() + kClaimRecordBytes;
}

std::size_t answerBytes(const wire::ClaimRecordT& record) {
  return record.answer == nullptr ? 0 : record.answer->body.size() + record.answer->content_type.size();
}

[[noreturn]] void throwCorrupt() {
  throw Error(ErrorKind::Corrupt, "a claim record in the snapshot is incomplete",
              "delete this replica's data folder and add the replica again under a new identifier");
}

}  // namespace

wire::ClaimReplyT ClaimTable::request(const wire::ClaimRequestT& request) {
  checkLength(request.key, "key", kMaxClaimKeyBytes);
  checkLength(request.attempt, "attempt", kMaxClaimAttemptBytes);
  if (request.request_digest == nullptr) {
    throw Error(ErrorKind::Malformed, "the claim lacks its request's digest", "use a proxy of this release");
  }
  auto& tenant = tenants_[request.tenant];
  const auto found = tenant.claims.find(request.key);
  if (found == tenant.claims.end()) {
    grant(tenant, request);
    return stateReply(wire::ClaimState::Granted);
  }
  const auto& record = *found->second.record;
  if (!config::sameDigest(*record.request_digest, *request.request_digest)) {
    return stateReply(wire::ClaimState::Mismatch);
  }
  const bool is_holder = record.state == wire::ClaimState::InProgress && record.attempt == request.attempt;
  return is_holder ? stateReply(wire::ClaimState::Granted) : recordReply(record);
}

void ClaimTable::grant(Tenant& tenant, const wire::ClaimRequestT& request) {
  const bool is_full = tenant.inProgress() >= bounds_.in_progress_per_tenant ||
                       in_progress_count_ >= bounds_.in_progress_total;
  if (is_full) {
    throw Error(ErrorKind::Overloaded,
                fmt::format("{} claims of tenant {} are in progress, {} of all tenants", tenant.inProgress(),
                            request.tenant, in_progress_count_),
                "send the request again later, with the same idempotency key", std::chrono::seconds(1));
  }
  auto record = std::make_shared<wire::ClaimRecordT>();
  record->key = request.key;
  record->request_digest = request.request_digest;
  record->attempt = request.attempt;
  record->state = wire::ClaimState::InProgress;
  tenant.claims[request.key].record = std::move(record);
  ++in_progress_count_;
}

wire::ClaimReplyT ClaimTable::finish(const wire::ClaimFinishT& finish) {
  const auto tenant = tenants_.find(finish.tenant);
  const bool is_known = tenant != tenants_.end() && tenant->second.claims.contains(finish.key);
  if (!is_known) {
    // The key is free: the claim was released by an earlier copy of this message, or has been evicted.
    if (finish.end == wire::ClaimEnd::Released) return stateReply(wire::ClaimState::Granted);
    throw Error(ErrorKind::NotFound, "there is no such claim", "do not repeat the request");
  }
  auto& claim = tenant->second.claims[finish.key];
  if (claim.record->attempt != finish.attempt) {
    throw Error(ErrorKind::Mismatch, "another attempt holds the claim", "do not repeat the request");
  }
  if (finish.end == wire::ClaimEnd::Released && claim.finish_number == 0) {
    tenant->second.claims.erase(finish.key);
    --in_progress_count_;
    return stateReply(wire::ClaimState::Granted);
  }
  end(tenant->second, claim, finish);
  wire::ClaimReplyT reply = stateReply(claim.record->state);
  evict(tenant->second);
  return reply;
}

/// A claim that ended as Unknown becomes Completed if its holder reports so later; Completed is final.
void ClaimTable::end(Tenant& tenant, Claim& claim, const wire::ClaimFinishT& finish) {
  if (claim.record->state == wire::ClaimState::Completed || finish.end == wire::ClaimEnd::Released) return;
  // Copies the record, because a snapshot that is being written may share the old one.
  auto record = std::make_shared<wire::ClaimRecordT>(*claim.record);
  const bool is_completed = finish.end == wire::ClaimEnd::Completed;
  record->state = is_completed ? wire::ClaimState::Completed : wire::ClaimState::Unknown;
  const bool keeps_answer =
      is_completed && finish.answer != nullptr && finish.answer->body.size() <= kMaxRecordedAnswerBytes;
  if (keeps_answer) record->answer = finish.answer;
  claim.record = std::move(record);
  if (claim.finish_number == 0) {
    --in_progress_count_;
    addFinished(tenant, claim);
  }
  keepAnswer(tenant, claim);
}

void ClaimTable::addFinished(Tenant& tenant, Claim& claim) {
  claim.finish_number = ++tenant.last_finish_number;
  tenant.finished[claim.finish_number] = claim.record->key;
  const std::size_t bytes = recordBytes(*claim.record);
  tenant.finished_bytes += bytes;
  finished_bytes_ += bytes;
}

void ClaimTable::keepAnswer(Tenant& tenant, const Claim& claim) {
  if (claim.record->answer == nullptr) return;
  const std::size_t bytes = answerBytes(*claim.record);
  tenant.finish_numbers_with_answer.insert(claim.finish_number);
  tenant.answer_bytes += bytes;
  answer_bytes_ += bytes;
}

void ClaimTable::dropAnswer(Tenant& tenant, const Claim& claim) {
  if (tenant.finish_numbers_with_answer.erase(claim.finish_number) == 0) return;
  const std::size_t bytes = answerBytes(*claim.record);
  tenant.answer_bytes -= bytes;
  answer_bytes_ -= bytes;
}

void ClaimTable::evictOldestFinished(Tenant& tenant) {
  const auto oldest = tenant.finished.begin();
  const auto claim = tenant.claims.find(oldest->second);
  dropAnswer(tenant, claim->second);
  const std::size_t bytes = recordBytes(*claim->second.record);
  tenant.finished_bytes -= bytes;
  finished_bytes_ -= bytes;
  tenant.claims.erase(claim);
  tenant.finished.erase(oldest);
}

void ClaimTable::evict(Tenant& tenant) {
  const auto tenant_with_most = [this](std::size_t Tenant::*bytes) -> Tenant& {
    return std::max_element(tenants_.begin(), tenants_.end(),
                            [bytes](const auto& left, const auto& right) {
                              return left.second.*bytes < right.second.*bytes;
                            })
        ->second;
  };
  while (tenant.finished_bytes > bounds_.finished_bytes_per_tenant) evictOldestFinished(tenant);
  while (finished_bytes_ > bounds_.finished_bytes_total) {
    evictOldestFinished(tenant_with_most(&Tenant::finished_bytes));
  }
  while (answer_bytes_ > bounds_.answer_bytes_total) {
    auto& largest_tenant = tenant_with_most(&Tenant::answer_bytes);
    auto& claim =
        largest_tenant.claims[largest_tenant.finished.at(*largest_tenant.finish_numbers_with_answer.begin())];
    dropAnswer(largest_tenant, claim);
    claim.record = std::make_shared<wire::ClaimRecordT>(*claim.record);
    claim.record->answer = nullptr;
  }
}

std::size_t ClaimTable::finishedCount() const {
  std::size_t count = 0;
  for (const auto& [name, tenant] : tenants_) count += tenant.finished.size();
  return count;
}

void ClaimTable::forEachInProgress(
    const std::function<void(const std::string& tenant, const wire::ClaimRecordT& record)>& action) const {
  for (const auto& [name, tenant] : tenants_) {
    if (tenant.inProgress() == 0) continue;
    for (const auto& [key, claim] : tenant.claims) {
      if (claim.finish_number == 0) action(name, *claim.record);
    }
  }
}

std::vector<std::shared_ptr<wire::TenantClaimsT>> ClaimTable::save() const {
  std::vector<std::shared_ptr<wire::TenantClaimsT>> saved;
  for (const auto& [name, tenant] : tenants_) {
    auto claims = std::make_shared<wire::TenantClaimsT>();
    claims->tenant = name;
    for (const auto& [key, claim] : tenant.claims) {
      if (claim.finish_number == 0) claims->in_progress.push_back(claim.record);
    }
    for (const auto& [number, key] : tenant.finished) {
      claims->finished.push_back(tenant.claims.at(key).record);
    }
    if (!tenant.claims.empty()) saved.push_back(std::move(claims));
  }
  return saved;
}

void ClaimTable::restore(const std::vector<std::shared_ptr<wire::TenantClaimsT>>& tenants) {
  tenants_.clear();
  answer_bytes_ = 0;
  finished_bytes_ = 0;
  in_progress_count_ = 0;
  for (const auto& saved : tenants) {
    auto& tenant = tenants_[saved->tenant];
    for (const auto* records : {&saved->in_progress, &saved->finished}) {
      for (const auto& record : *records) {
        if (record == nullptr || record->request_digest == nullptr) throwCorrupt();
        auto& claim = tenant.claims[record->key];
        claim.record = record;
        if (records == &saved->in_progress) {
          ++in_progress_count_;
          continue;
        }
        addFinished(tenant, claim);
        keepAnswer(tenant, claim);
      }
    }
  }
}

}  // namespace cometstand::store
