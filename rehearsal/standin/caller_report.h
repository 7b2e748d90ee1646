#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/standin/latency_histogram.h"

namespace cometstand::rehearsal {

/// How one request ended for its caller.
enum class CallOutcome : std::uint8_t {
  /// The whole answer to this request arrived.
  Completed,
  /// Every attempt was answered "not run".
  NotRun,
  /// An attempt was answered "unknown", or was lost and could not be cleared up.
  Unknown,
  /// An attempt that reached a proxy got no whole answer, and the request may not be sent again.
  Lost,
  /// No proxy took the connection.
  Unreachable,
  /// An answer arrived that is not the whole answer to this request: a violation.
  WrongAnswer,
};

/// @return the name in reports, for example "not_run".
std::string callOutcomeName(CallOutcome outcome);

/// @throw Error(Malformed) if no outcome has the name.
CallOutcome parseCallOutcome(const std::string& name);

/// One request as its caller saw it.
struct CallRecord {
  std::string request_id;
  std::string kind;
  std::string idempotency_key;
  bool repeatable = false;
  CallOutcome outcome = CallOutcome::Lost;
  /// The refusal's kind for NotRun, such as "overloaded"; what went wrong for the others.
  std::string reason;
  std::uint32_t attempts = 0;
  /// Attempts that ended without a whole answer after bytes were sent.
  std::uint32_t lost_answers = 0;
  std::uint32_t connect_failures = 0;
  /// From the intended start to the final outcome.
  Duration latency = Duration::zero();
  /// From the intended start to the first answer of any kind; zero if there was none. A keyed request may go
  /// on after it, to learn what became of an attempt.
  Duration first_answer = Duration::zero();
  bool within_deadline = false;
};

/// Counts of one kind of request, or of all.
struct CallSummary {
  std::map<CallOutcome, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> refusals;
  std::uint64_t within_deadline = 0;
  std::uint64_t resends = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t connect_failures = 0;
  /// Of completed requests.
  LatencyHistogram completed_latency;
  /// Of refused requests: a refusal must come at once.
  LatencyHistogram refused_latency;

  void add(const CallRecord& record);
  std::uint64_t total() const;
  std::uint64_t count(CallOutcome outcome) const;
};

/// What a caller stand-in saw.
class CallerReport {
 public:
  void add(CallRecord record);

  const std::vector<CallRecord>& records() const { return records_; }
  const CallSummary& all() const { return all_; }

  /// @param with_requests lists each request under "requests".
  boost::json::value toJson(bool with_requests) const;

  /// Reads the requests of a toJson(true) value.
  /// @throw Error(Malformed) if it has another form.
  static std::vector<CallRecord> recordsFromJson(const boost::json::value& value);

 private:
  std::vector<CallRecord> records_;
  CallSummary all_;
  std::map<std::string, CallSummary> kinds_;
};

/// @return the JSON form of one summary: counts, and latencies in microseconds.
boost::json::value toJson(const CallSummary& summary);

}  // namespace cometstand::rehearsal
