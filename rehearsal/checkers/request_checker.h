#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "rehearsal/checkers/disturbances.h"
#include "rehearsal/checkers/violation.h"
#include "schema/control_generated.h"

namespace cometstand::checkers {

/// One sending of a request through one proxy.
struct Attempt {
  /// Unique over the run.
  std::string id;
  std::string tenant;
  /// Shared by the resends of one request; empty if the caller gave none.
  std::string key;
  std::string target;
  /// The request may run more than once without harm.
  bool repeatable = false;
  std::string proxy;
  /// Who sent it: a fault may strike the caller as well.
  std::string caller;
  TimePoint sent;
  /// An answer of the proxy that arrives later than this is late.
  TimePoint answer_due;
};

/// How it ended for the caller.
enum class AttemptEnd : std::uint8_t { Answered, NoConnection, Broken, TimedOut };

struct AttemptAnswer {
  AttemptEnd end = AttemptEnd::TimedOut;
  /// These are of Answered only.
  wire::Outcome outcome = wire::Outcome::Unknown;
  unsigned status = 0;
  std::string body;
};

/// What callers must be able to rely on, judged by what callers saw and what back ends truly ran:
/// - `not_run` is true, and the request does not run later either;
/// - what may not be repeated runs at most once, over all proxies and resends;
/// - `completed` did run, and the answer is the whole one to this request;
/// - every request is answered by its deadline, and no proxy, in a planned stop or not, cuts one, unless a
/// fault
///   struck the proxy or the caller.
class RequestChecker {
 public:
  RequestChecker(ViolationLog& log, const Disturbances& disturbances)
      : log_(log), disturbances_(disturbances) {}

  void onSent(const Attempt& attempt);
  void onEnded(const std::string& id, const AttemptAnswer& answer, TimePoint when);
  /// A back end began to work on it.
  void onRun(const std::string& id, const std::string& tenant, const std::string& key, TimePoint when);

  /// Judges what can only be judged once nothing more can happen.
  void finish();

  std::uint64_t count(wire::Outcome outcome) const { return outcomes_[static_cast<std::size_t>(outcome)]; }
  /// @return how often back ends ran the tenant's key.
  unsigned runsOf(const std::string& tenant, const std::string& key) const {
    const auto found = runs_by_key_.find({tenant, key});
    return found == runs_by_key_.end() ? 0 : found->second;
  }
  std::uint64_t unanswered() const { return unanswered_; }

 private:
  struct Record {
    Attempt attempt;
    AttemptAnswer answer;
    bool ended = false;
    TimePoint ended_at;
    unsigned runs = 0;
  };

  void checkAnswer(const Record& record, TimePoint when);
  void checkCut(const Record& record, TimePoint when);

  ViolationLog& log_;
  const Disturbances& disturbances_;
  std::map<std::string, Record> records_;
  std::map<std::pair<std::string, std::string>, unsigned> runs_by_key_;
  std::array<std::uint64_t, 3> outcomes_{};
  std::uint64_t unanswered_ = 0;
};

}  // namespace cometstand::checkers
