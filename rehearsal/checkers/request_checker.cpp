#include "rehearsal/checkers/request_checker.h"

namespace cometstand::checkers {
namespace {

constexpr unsigned kStatusOk = 200;

/// The form in which the back-end model answers; see simulator::Backend.
struct ParsedBody {
  std::string target;
  std::string id;
  std::string key;
  bool whole = false;
};

ParsedBody parseBody(const std::string& body) {
  ParsedBody parsed;
  const auto first = body.find(' ');
  const auto second = first == std::string::npos ? first : body.find(' ', first + 1);
  const auto third = second == std::string::npos ? second : body.find(' ', second + 1);
  if (third == std::string::npos) return parsed;
  parsed.target = body.substr(0, first);
  parsed.id = body.substr(first + 1, second - first - 1);
  parsed.key = body.substr(second + 1, third - second - 1);
  parsed.whole = body.substr(third) == " end";
  return parsed;
}

}  // namespace

void RequestChecker::onSent(const Attempt& attempt) { records_[attempt.id].attempt = attempt; }

void RequestChecker::onRun(const std::string& id, const std::string& tenant, const std::string& key,
                           TimePoint when) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    log_.add("answer_match", when, fmt::format("a back end ran request {}, which nobody sent", id));
    return;
  }
  auto& record = found->second;
  ++record.runs;
  const bool was_not_run = record.ended && record.answer.end == AttemptEnd::Answered &&
                           record.answer.outcome == wire::Outcome::NotRun;
  if (was_not_run) log_.add("not_run", when, fmt::format("{} ran after it was answered not_run", id));
  if (record.attempt.repeatable) return;
  if (record.runs > 1) log_.add("at_most_once", when, fmt::format("{} ran {} times", id, record.runs));
  if (key.empty()) return;
  const auto runs = ++runs_by_key_[{tenant, key}];
  if (runs > 1) {
    log_.add("at_most_once", when,
             fmt::format("key {} of {} ran {} times, now as {}", key, tenant, runs, id));
  }
}

void RequestChecker::onEnded(const std::string& id, const AttemptAnswer& answer, TimePoint when) {
  auto& record = records_.at(id);
  if (record.ended) {
    log_.add("answer_match", when, fmt::format("{} was answered twice", id));
    return;
  }
  record.ended = true;
  record.ended_at = when;
  record.answer = answer;
  if (answer.end == AttemptEnd::Answered) {
    ++outcomes_[static_cast<std::size_t>(answer.outcome)];
    checkAnswer(record, when);
  } else {
    ++unanswered_;
  }
  checkCut(record, when);
}

void RequestChecker::checkAnswer(const Record& record, TimePoint when) {
  const auto& attempt = record.attempt;
  const auto& answer = record.answer;
  if (answer.outcome == wire::Outcome::NotRun && record.runs > 0) {
    log_.add("not_run", when, fmt::format("{} was answered not_run, but it ran", attempt.id));
  }
  if (answer.outcome != wire::Outcome::Completed || answer.status != kStatusOk) return;
  const auto body = parseBody(answer.body);
  const bool same_request = attempt.key.empty() ? body.id == attempt.id : body.key == attempt.key;
  if (!body.whole || body.target != attempt.target || !same_request) {
    log_.add("answer_match", when,
             fmt::format("{} for {} got the answer \"{}\"", attempt.id, attempt.target, answer.body));
  }
  const auto found = runs_by_key_.find({attempt.tenant, attempt.key});
  const bool ran = record.runs > 0 || (!attempt.key.empty() && found != runs_by_key_.end());
  if (!ran) log_.add("completed", when, fmt::format("{} was answered completed, but never ran", attempt.id));
}

void RequestChecker::checkCut(const Record& record, TimePoint when) {
  const auto& attempt = record.attempt;
  const bool struck = disturbances_.touch(attempt.proxy, attempt.sent, when) ||
                      disturbances_.touch(attempt.caller, attempt.sent, when);
  if (struck) return;
  if (record.answer.end == AttemptEnd::Broken) {
    log_.add("cut", when, fmt::format("{} was cut by {}, which no fault struck", attempt.id, attempt.proxy));
  }
  const bool late = record.answer.end == AttemptEnd::TimedOut ||
                    (record.answer.end == AttemptEnd::Answered && when > attempt.answer_due);
  if (late) {
    log_.add("deadline", when,
             fmt::format("{} had no answer of {} by its deadline", attempt.id, attempt.proxy));
  }
}

void RequestChecker::finish() {
  for (const auto& [id, record] : records_) {
    if (!record.ended) log_.add("deadline", record.attempt.answer_due, fmt::format("{} never ended", id));
  }
}

}  // namespace cometstand::checkers
