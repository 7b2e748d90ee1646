#include "rehearsal/standin/caller_report.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <utility>

#include "base/error.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<CallOutcome, const char*>, 6> kOutcomeNames = {{
    {CallOutcome::Completed, "completed"},
    {CallOutcome::NotRun, "not_run"},
    {CallOutcome::Unknown, "unknown"},
    {CallOutcome::Lost, "lost"},
    {CallOutcome::Unreachable, "unreachable"},
    {CallOutcome::WrongAnswer, "wrong_answer"},
}};

json::value latencyJson(const LatencyHistogram& latency) {
  return json::object{{"p50", latency.quantile(0.5).count()},
                      {"p99", latency.quantile(0.99).count()},
                      {"p999", latency.quantile(0.999).count()},
                      {"max", latency.max().count()}};
}

json::value recordJson(const CallRecord& record) {
  return json::object{{"id", record.request_id},
                      {"kind", record.kind},
                      {"key", record.idempotency_key},
                      {"repeatable", record.repeatable},
                      {"outcome", callOutcomeName(record.outcome)},
                      {"reason", record.reason},
                      {"attempts", record.attempts},
                      {"lost_answers", record.lost_answers},
                      {"connect_failures", record.connect_failures},
                      {"latency_us", record.latency.count()},
                      {"first_answer_us", record.first_answer.count()},
                      {"within_deadline", record.within_deadline}};
}

CallRecord recordFromJson(const json::value& value) {
  CallRecord record;
  record.request_id = json::value_to<std::string>(value.at("id"));
  record.kind = json::value_to<std::string>(value.at("kind"));
  record.idempotency_key = json::value_to<std::string>(value.at("key"));
  record.repeatable = value.at("repeatable").as_bool();
  record.outcome = parseCallOutcome(json::value_to<std::string>(value.at("outcome")));
  record.reason = json::value_to<std::string>(value.at("reason"));
  record.attempts = value.at("attempts").to_number<std::uint32_t>();
  record.lost_answers = value.at("lost_answers").to_number<std::uint32_t>();
  record.connect_failures = value.at("connect_failures").to_number<std::uint32_t>();
  record.latency = Duration(value.at("latency_us").to_number<Duration::rep>());
  record.first_answer = Duration(value.at("first_answer_us").to_number<Duration::rep>());
  record.within_deadline = value.at("within_deadline").as_bool();
  return record;
}

}  // namespace

std::string callOutcomeName(CallOutcome outcome) {
  for (const auto& [value, name] : kOutcomeNames) {
    if (value == outcome) return name;
  }
  return "unrecognized";
}

CallOutcome parseCallOutcome(const std::string& name) {
  for (const auto& [value, known] : kOutcomeNames) {
    if (name == known) return value;
  }
  throw Error(ErrorKind::Malformed, fmt::format("'{}' is no outcome", name),
              "use a report of cometstand-caller");
}

void CallSummary::add(const CallRecord& record) {
  ++outcomes[record.outcome];
  if (record.within_deadline) ++within_deadline;
  if (record.attempts > 1) resends += record.attempts - 1;
  lost_answers += record.lost_answers;
  connect_failures += record.connect_failures;
  if (record.outcome == CallOutcome::Completed) completed_latency.add(record.latency);
  if (record.outcome != CallOutcome::NotRun) return;
  ++refusals[record.reason];
  refused_latency.add(record.latency);
}

std::uint64_t CallSummary::total() const {
  std::uint64_t sum = 0;
  for (const auto& [outcome, count] : outcomes) sum += count;
  return sum;
}

std::uint64_t CallSummary::count(CallOutcome outcome) const {
  const auto found = outcomes.find(outcome);
  return found == outcomes.end() ? 0 : found->second;
}

json::value toJson(const CallSummary& summary) {
  json::object outcomes;
  for (const auto& [outcome, name] : kOutcomeNames) outcomes[name] = summary.count(outcome);
  json::object refusals;
  for (const auto& [reason, count] : summary.refusals) refusals[reason] = count;
  return json::object{{"total", summary.total()},
                      {"outcomes", outcomes},
                      {"refusals", refusals},
                      {"within_deadline", summary.within_deadline},
                      {"resends", summary.resends},
                      {"lost_answers", summary.lost_answers},
                      {"connect_failures", summary.connect_failures},
                      {"completed_latency_us", latencyJson(summary.completed_latency)},
                      {"refused_latency_us", latencyJson(summary.refused_latency)}};
}

void CallerReport::add(CallRecord record) {
  all_.add(record);
  kinds_[record.kind].add(record);
  records_.push_back(std::move(record));
}

json::value CallerReport::toJson(bool with_requests) const {
  json::object kinds;
  for (const auto& [name, summary] : kinds_) kinds[name] = rehearsal::toJson(summary);
  json::object report{{"all", rehearsal::toJson(all_)}, {"kinds", kinds}};
  if (!with_requests) return report;
  json::array requests;
  for (const auto& record : records_) requests.push_back(recordJson(record));
  report["requests"] = std::move(requests);
  return report;
}

std::vector<CallRecord> CallerReport::recordsFromJson(const json::value& value) {
  try {
    std::vector<CallRecord> records;
    for (const auto& item : value.at("requests").as_array()) records.push_back(recordFromJson(item));
    return records;
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::Malformed, fmt::format("cannot read the caller's report: {}", error.what()),
                "use a report of cometstand-caller with --list-requests");
  }
}

}  // namespace cometstand::rehearsal
