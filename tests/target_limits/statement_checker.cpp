#include "statement_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace cometstand::limits::test {
namespace {

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

void StatementChecker::onLimit(StartNumber target, std::optional<double> rate, TimePoint now) {
  targets_[target].changes.push_back({now, rate});
}

void StatementChecker::onToldLimit(MachineNumber machine, StartNumber target, TimePoint now) {
  told_limit_.try_emplace({machine, target}, now);
}

void StatementChecker::onToldLeaving(MachineNumber machine, StartNumber target, TimePoint now) {
  told_leaving_.try_emplace({machine, target}, now);
}

void StatementChecker::onArrival(MachineNumber machine, StartNumber target, TimePoint sent, TimePoint now) {
  const auto limit = told_limit_.find({machine, target});
  if (limit != told_limit_.end() && now >= limit->second + kNoticeTime)
    targets_[target].arrivals.push_back(now);
  const auto leaving = told_leaving_.find({machine, target});
  if (leaving != told_leaving_.end() && sent > leaving->second + kDrainTime) {
    late_arrivals_.push_back(
        fmt::format("target {}: a request from machine {}, sent {:.3f} s after the leave notice", target,
                    machine, secondsOf(sent - leaving->second)));
  }
}

void StatementChecker::forget(Told& told, MachineNumber machine) {
  std::erase_if(told, [machine](const auto& item) { return item.first.first == machine; });
}

void StatementChecker::onRestarted(MachineNumber machine) {
  forget(told_limit_, machine);
  forget(told_leaving_, machine);
}

void StatementChecker::onCutOff(MachineNumber machine) { forget(told_limit_, machine); }

std::optional<double> StatementChecker::allowedUntil(const Target& target, TimePoint end) {
  const TimePoint begin = end - kWindow;
  double allowed = 0;
  for (std::size_t i = 0; i < target.changes.size(); ++i) {
    const auto& change = target.changes[i];
    const TimePoint next = i + 1 < target.changes.size() ? target.changes[i + 1].at : TimePoint::max();
    const TimePoint from = std::max(begin, change.at);
    const TimePoint until = std::min(end, next);
    if (from >= until) continue;
    if (!change.rate) return std::nullopt;
    allowed += *change.rate * secondsOf(until - from);
  }
  // Before the first limit nobody has been told, so that no arrivals count there.
  return kOvershoot * allowed + kSlack;
}

void StatementChecker::checkWindows(StartNumber number, const Target& target,
                                    std::vector<std::string>& found) const {
  if (target.changes.empty()) return;
  std::size_t first = 0;
  for (std::size_t last = 0; last < target.arrivals.size(); ++last) {
    const TimePoint end = target.arrivals[last];
    while (end - target.arrivals[first] > kWindow) ++first;
    const auto allowed = allowedUntil(target, end);
    const auto got = static_cast<double>(last - first + 1);
    if (end < target.changes.front().at + kLearnTime || !allowed || got <= *allowed) continue;
    found.push_back(fmt::format("target {}: {} requests in {} s, allowed {:.1f}", number, got,
                                secondsOf(kWindow), *allowed));
    return;
  }
}

std::vector<std::string> StatementChecker::violations() const {
  std::vector<std::string> found = late_arrivals_;
  for (const auto& [number, target] : targets_) checkWindows(number, target, found);
  return found;
}

std::size_t StatementChecker::limitedArrivals() const {
  std::size_t count = 0;
  for (const auto& [number, target] : targets_) count += target.arrivals.size();
  return count;
}

}  // namespace cometstand::limits::test
