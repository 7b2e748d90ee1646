#include "rehearsal/bench/run_report.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <cmath>
#include <numeric>

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

double rounded(double value) {
  constexpr double kDigits = 1000;
  return std::round(value * kDigits) / kDigits;
}

json::object outcomesOf(const CallSummary& summary) {
  json::object outcomes;
  for (const auto& [outcome, count] : summary.outcomes) outcomes[callOutcomeName(outcome)] = count;
  return outcomes;
}

json::object refusalsOf(const proxy::DataPathMetrics& metrics) {
  json::object refusals;
  for (std::size_t reason = 0; reason < proxy::kRefusalReasons; ++reason) {
    if (metrics.refusals.at(reason) == 0) continue;
    refusals[proxy::refusalReasonName(static_cast<proxy::RefusalReason>(reason))] =
        metrics.refusals.at(reason);
  }
  return refusals;
}

}  // namespace

double RunOutcome::goodput() const {
  return static_cast<double>(callers.all().within_deadline) / std::chrono::duration<double>(duration).count();
}

double RunOutcome::goodputShare() const {
  const auto total = static_cast<double>(std::max<std::uint64_t>(1, callers.all().total()));
  return static_cast<double>(callers.all().within_deadline) / total;
}

std::uint64_t RunOutcome::ranTwice() const {
  const auto ran_twice = [&](const CallRecord& record) {
    const auto found = targets.executed.executions().find(record.request_id);
    return !record.repeatable && found != targets.executed.executions().end() && found->second.begun > 1;
  };
  const auto& records = callers.records();
  return static_cast<std::uint64_t>(std::count_if(records.begin(), records.end(), ran_twice));
}

std::uint64_t RunOutcome::ranThoughNotRun() const {
  const auto ran = [&](const CallRecord& record) {
    return record.outcome == CallOutcome::NotRun && targets.executed.executions().contains(record.request_id);
  };
  const auto& records = callers.records();
  return static_cast<std::uint64_t>(std::count_if(records.begin(), records.end(), ran));
}

std::uint64_t RunOutcome::violations() const {
  return ranTwice() + ranThoughNotRun() + callers.all().count(CallOutcome::WrongAnswer);
}

double RunOutcome::shareOf(std::size_t target) const {
  const auto total = std::accumulate(targets.begun.begin(), targets.begun.end(), std::uint64_t{0});
  const auto equal =
      static_cast<double>(std::max<std::uint64_t>(1, total)) / static_cast<double>(targets.begun.size());
  return static_cast<double>(targets.begun.at(target)) / equal;
}

json::object reportOf(const RunOutcome& outcome) {
  const auto& all = outcome.callers.all();
  json::object report;
  report["requests"] = all.total();
  report["goodput_per_second"] = rounded(outcome.goodput());
  report["goodput_share"] = rounded(outcome.goodputShare());
  report["p50_us"] = all.completed_latency.quantile(0.5).count();
  report["p99_us"] = all.completed_latency.quantile(0.99).count();
  report["p999_us"] = all.completed_latency.quantile(0.999).count();
  report["refused_p99_us"] = all.refused_latency.quantile(0.99).count();
  report["outcomes"] = outcomesOf(all);
  report["refusals"] = refusalsOf(outcome.proxy);
  report["retries"] = outcome.proxy.retries;
  report["ejections"] = outcome.proxy.ejections;
  report["shed_by_targets"] = outcome.targets.shed;
  report["connections_to_targets"] = outcome.targets.connections;
  report["ran_twice"] = outcome.ranTwice();
  report["ran_though_not_run"] = outcome.ranThoughNotRun();
  report["wrong_answers"] = all.count(CallOutcome::WrongAnswer);
  report["arrived_at_leaving"] = outcome.targets.arrived_leaving;
  report["begun_at_leaving"] = outcome.targets.begun_leaving;
  return report;
}

}  // namespace cometstand::rehearsal
