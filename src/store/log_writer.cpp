#include "store/log_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/error.h"
#include "store/replies.h"

namespace cometstand::store {
namespace {

/// Maximum estimated size of the commands in a batch; a single larger command still forms a batch.
constexpr std::size_t kMaxBatchBytes = std::size_t{1} << 20U;

/// One tenant may occupy at most 1/kTenantShareDivisor of the queue of waiting commands.
constexpr std::size_t kTenantShareDivisor = 4;

const std::string& tenantOf(const wire::StoreCommandT& command) {
  if (const auto* request = command.body.AsClaimRequest()) return request->tenant;
  if (const auto* finish = command.body.AsClaimFinish()) return finish->tenant;
  return command.body.AsChangeCommand()->tenant;
}

}  // namespace

void sendReply(StoreContext& context, const Requester& requester, wire::CommandReplyT reply) {
  switch (reply.outcome) {
    case wire::Outcome::Completed:
      ++context.metrics.commands_completed;
      break;
    case wire::Outcome::NotRun:
      ++context.metrics.commands_not_run;
      break;
    case wire::Outcome::Unknown:
      ++context.metrics.commands_unknown;
      break;
  }
  context.actions.send(requester.link, std::move(reply), requester.request_id);
}

void LogWriter::add(const Requester& requester, wire::StoreCommandT command, std::size_t estimated_bytes,
                    TimePoint now) {
  const bool is_claim = command.body.type != wire::StoreCommandBody::ChangeCommand;
  const std::string tenant = tenantOf(command);
  const TimePoint deadline = now + context_.options.command_time_limit;
  Waiting waiting{{requester, is_claim, false, deadline}, tenant, std::move(command), estimated_bytes};
  if (isFull(tenant)) {
    fail(waiting.pending, wire::Outcome::NotRun,
         Error(ErrorKind::Overloaded, "too many commands wait for the log", "send the command again later",
               context_.options.retry_after));
    return;
  }
  ++waiting_by_tenant_[tenant];
  waiting_.push_back(std::move(waiting));
}

bool LogWriter::isFull(const std::string& tenant) const {
  const std::size_t capacity = context_.options.max_commands_waiting;
  const auto own = waiting_by_tenant_.find(tenant);
  const std::size_t own_count = own == waiting_by_tenant_.end() ? 0 : own->second;
  return waiting_.size() >= capacity || own_count >= std::max<std::size_t>(1, capacity / kTenantShareDivisor);
}

void LogWriter::popWaiting() {
  const auto own = waiting_by_tenant_.find(waiting_.front().tenant);
  if (--own->second == 0) waiting_by_tenant_.erase(own);
  waiting_.pop_front();
}

void LogWriter::flush(TimePoint now) {
  while (!waiting_.empty() && in_flight_.size() < context_.options.max_batches_in_flight) {
    if (!appendBatch(now)) return;
  }
}

bool LogWriter::appendBatch(TimePoint now) {
  wire::StoreCommandBatchT batch;
  std::size_t bytes = 0;
  for (const auto& waiting : waiting_) {
    const bool is_full = batch.commands.size() >= context_.options.max_commands_per_batch ||
                         (bytes > 0 && bytes + waiting.estimated_bytes > kMaxBatchBytes);
    if (is_full) break;
    bytes += waiting.estimated_bytes;
    batch.commands.push_back(std::make_shared<wire::StoreCommandT>(waiting.command));
  }
  const auto index = context_.consensus.propose(encodeBatch(batch), now);
  if (!index) return false;
  Batch appended{*index, context_.consensus.leadership().term, {}};
  for (std::size_t i = 0; i < batch.commands.size(); ++i) {
    appended.commands.push_back(waiting_.front().pending);
    popWaiting();
  }
  ++context_.metrics.log_entries_proposed;
  context_.metrics.log_commands_proposed += appended.commands.size();
  in_flight_.push_back(std::move(appended));
  return true;
}

void LogWriter::onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
  if (in_flight_.empty() || in_flight_.front().index != entry.index) return;
  Batch batch = std::move(in_flight_.front());
  in_flight_.pop_front();
  for (std::size_t i = 0; i < batch.commands.size(); ++i) {
    if (entry.term == batch.term && i < results.size()) {
      answer(batch.commands[i], results[i]);
    } else {
      answerUnknown(batch.commands[i]);
    }
  }
}

void LogWriter::answer(Pending& pending, const CommandResult& result) {
  if (std::exchange(pending.answered, true)) return;
  if (const auto* reply = std::get_if<wire::CommandReplyT>(&result)) {
    sendReply(context_, pending.requester, *reply);
  } else if (const auto* claim = std::get_if<wire::ClaimReplyT>(&result)) {
    ++context_.metrics.claims_answered;
    context_.actions.send(pending.requester.link, *claim, pending.requester.request_id);
  }
}

void LogWriter::fail(Pending& pending, wire::Outcome outcome, const Error& error) {
  if (pending.is_claim) {
    answer(pending, failedReply<wire::ClaimReplyT>(outcome, error));
  } else {
    answer(pending, failedReply<wire::CommandReplyT>(outcome, error));
  }
}

void LogWriter::answerUnknown(Pending& pending) {
  fail(pending, wire::Outcome::Unknown,
       Error(ErrorKind::Unknown, "the command was written, but whether it was accepted is not known",
             "send it again under the same identifier", context_.options.retry_after));
}

void LogWriter::onLeadershipLost() {
  for (auto& batch : in_flight_) {
    for (auto& pending : batch.commands) answerUnknown(pending);
  }
  in_flight_.clear();
  const Error error(ErrorKind::Unavailable, "this replica no longer leads", "send the command again",
                    context_.options.retry_after);
  for (auto& waiting : waiting_) fail(waiting.pending, wire::Outcome::NotRun, error);
  waiting_.clear();
  waiting_by_tenant_.clear();
}

void LogWriter::onTimer(TimePoint now) {
  while (!waiting_.empty() && waiting_.front().pending.deadline <= now) {
    fail(waiting_.front().pending, wire::Outcome::NotRun,
         Error(ErrorKind::Timeout, "the command was not written to the log in time", "send the command again",
               context_.options.retry_after));
    popWaiting();
  }
  for (auto& batch : in_flight_) {
    for (auto& pending : batch.commands) {
      if (pending.deadline <= now) answerUnknown(pending);
    }
  }
}

TimePoint LogWriter::nextTimer() const {
  TimePoint next = waiting_.empty() ? TimePoint::max() : waiting_.front().pending.deadline;
  for (const auto& batch : in_flight_) {
    for (const auto& pending : batch.commands) {
      if (!pending.answered) next = std::min(next, pending.deadline);
    }
  }
  return next;
}

}  // namespace cometstand::store
