#include "rehearsal/fleet/outcome_check.h"

#include <fmt/format.h>

#include <set>

namespace cometstand::rehearsal {

namespace {

std::map<std::string, Duration> deadlinesByKind(const Workload& workload) {
  std::map<std::string, Duration> deadlines;
  for (const auto& kind : workload.kinds) deadlines[kind.name] = kind.deadline;
  return deadlines;
}

bool isTyped(CallOutcome outcome) {
  return outcome == CallOutcome::Completed || outcome == CallOutcome::NotRun ||
         outcome == CallOutcome::Unknown;
}

std::string describe(const CallRecord& record) {
  return fmt::format("{} ({}) {} {} after {} ms, {} attempts, {} answers lost, {} connects failed",
                     record.request_id, record.kind, callOutcomeName(record.outcome), record.reason,
                     ceilMilliseconds(record.latency), record.attempts, record.lost_answers,
                     record.connect_failures);
}

/// How often the work on requests that share an Idempotency-Key began.
std::map<std::string, std::uint64_t> begunByKey(const ExecutionRecord& executed) {
  std::map<std::string, std::uint64_t> begun;
  for (const auto& [id, execution] : executed.executions()) {
    if (!execution.idempotency_key.empty()) begun[execution.idempotency_key] += execution.begun;
  }
  return begun;
}

}  // namespace

void OutcomeCounts::add(const CallRecord& record) {
  ++total;
  ++by_outcome[record.outcome];
}

std::uint64_t OutcomeCounts::count(CallOutcome outcome) const {
  const auto found = by_outcome.find(outcome);
  return found == by_outcome.end() ? 0 : found->second;
}

std::string OutcomeCounts::text() const {
  std::string text = fmt::format("{} requests:", total);
  const char* separator = " ";
  for (const auto& [outcome, count] : by_outcome) {
    text += fmt::format("{}{} {}", separator, count, callOutcomeName(outcome));
    separator = ", ";
  }
  return text;
}

OutcomeCounts countOutcomes(const std::vector<CallRecord>& records) {
  OutcomeCounts counts;
  for (const auto& record : records) counts.add(record);
  return counts;
}

Violations checkAnswered(const std::vector<CallRecord>& records, const Workload& workload) {
  const auto deadlines = deadlinesByKind(workload);
  Violations violations;
  for (const auto& record : records) {
    if (!isTyped(record.outcome)) {
      violations.push_back("no typed outcome: " + describe(record));
    } else if (record.first_answer > deadlines.at(record.kind) + kDeadlineTolerance) {
      violations.push_back("answered after its deadline: " + describe(record));
    }
  }
  return violations;
}

Violations checkNoneFailed(const std::vector<CallRecord>& records) {
  Violations violations;
  for (const auto& record : records) {
    if (!record.within_deadline) violations.push_back("failed: " + describe(record));
  }
  return violations;
}

Violations checkExecutions(const std::vector<CallRecord>& records, const ExecutionRecord& executed) {
  const auto& executions = executed.executions();
  const auto begun_by_key = begunByKey(executed);
  Violations violations;
  for (const auto& [key, begun] : begun_by_key) {
    if (begun > 1) violations.push_back(fmt::format("ran {} times: key {}", begun, key));
  }
  for (const auto& record : records) {
    const auto found = executions.find(record.request_id);
    const std::uint32_t begun = found == executions.end() ? 0 : found->second.begun;
    if (!record.repeatable && begun > 1) violations.push_back("ran more than once: " + describe(record));
    if (record.outcome == CallOutcome::NotRun && begun > 0) {
      violations.push_back("ran though told 'not run': " + describe(record));
    }
    if (record.outcome == CallOutcome::Completed && begun == 0) {
      violations.push_back("told 'completed' but never ran: " + describe(record));
    }
  }
  return violations;
}

}  // namespace cometstand::rehearsal
