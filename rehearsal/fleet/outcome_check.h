#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/standin/caller_report.h"
#include "rehearsal/standin/execution_record.h"
#include "rehearsal/standin/workload.h"

namespace cometstand::rehearsal {

/// How far past its deadline an answer may reach a caller before it counts as late: time that a busy machine
/// takes to run the caller itself.
inline constexpr Duration kDeadlineTolerance = std::chrono::milliseconds(500);

/// Counts of requests by outcome.
struct OutcomeCounts {
  std::uint64_t total = 0;
  std::map<CallOutcome, std::uint64_t> by_outcome;

  void add(const CallRecord& record);
  std::uint64_t count(CallOutcome outcome) const;
  /// @return for example "412 requests: 410 completed, 2 not_run".
  std::string text() const;
};

/// @return the counts of the records.
OutcomeCounts countOutcomes(const std::vector<CallRecord>& records);

/// Each broken promise in one line; empty if all is well.
using Violations = std::vector<std::string>;

/// Every request was answered by its deadline with one of the three typed outcomes, and every answer was
/// whole and its own.
Violations checkAnswered(const std::vector<CallRecord>& records, const Workload& workload);

/// Every request completed by its deadline: what a planned stop owes.
Violations checkNoneFailed(const std::vector<CallRecord>& records);

/// Compares what callers were told with what the back ends ran: what may not be repeated ran at most once,
/// "not run" did not run, "completed" did.
/// @param executed of all back ends together.
Violations checkExecutions(const std::vector<CallRecord>& records, const ExecutionRecord& executed);

}  // namespace cometstand::rehearsal
