#include "store/rollout_reports.h"

#include <algorithm>

namespace cometstand::store {
namespace {

/// Time for which a report counts as recent. Reports are sent every 250 ms, so an older one no longer
/// describes the present state of its target.
constexpr Duration kReportValidity = std::chrono::milliseconds(800);

}  // namespace

bool RolloutReports::isFresh(const ReceivedReport& received, TimePoint now) {
  return now < received.at + kReportValidity;
}

void RolloutReports::add(const std::string& node, const wire::RolloutReportT& report, TimePoint now) {
  reports_[{node, report.incarnation, report.endpoint}] = {report, now};
}

VersionSamples RolloutReports::samplesOf(const std::string& version, bool of_others) const {
  VersionSamples samples;
  for (const auto& [source, received] : reports_) {
    if ((received.report.version == version) == of_others) continue;
    for (const auto& sample : received.report.samples) samples.add(*sample);
  }
  return samples;
}

std::uint64_t RolloutReports::begun(const std::optional<std::string>& version) const {
  std::uint64_t sum = 0;
  for (const auto& [source, received] : reports_) {
    if (!version || received.report.version == *version) sum += received.report.begun;
  }
  return sum;
}

RolloutReports::Capacity RolloutReports::capacityOf(const std::string& version, bool of_others,
                                                    TimePoint now) const {
  Capacity capacity;
  for (const auto& [source, received] : reports_) {
    const auto& report = received.report;
    if (!isFresh(received, now) || (report.version == version) == of_others) continue;
    const bool is_warm = received.at + std::chrono::milliseconds(report.cold_ms) <= now;
    ++capacity.targets;
    capacity.slots += report.slots;
    capacity.warm_slots += is_warm ? report.slots : 0;
    capacity.cold += is_warm ? 0 : 1;
  }
  return capacity;
}

std::set<std::string> RolloutReports::otherVersions(const std::string& version) const {
  std::set<std::string> versions;
  for (const auto& [source, received] : reports_) {
    if (received.report.version != version) versions.insert(received.report.version);
  }
  return versions;
}

bool RolloutReports::isClosed(const std::string& node, const std::string& endpoint, std::uint32_t step,
                              bool idle, TimePoint now) const {
  return std::any_of(reports_.begin(), reports_.end(), [&](const auto& item) {
    const auto& report = item.second.report;
    return item.first.node == node && item.first.endpoint == endpoint && isFresh(item.second, now) &&
           report.step >= step && report.is_closed && (!idle || report.in_flight == 0);
  });
}

bool RolloutReports::wasClosedAndIdle(const std::string& node, const std::string& endpoint,
                                      std::uint32_t step) const {
  return std::any_of(reports_.begin(), reports_.end(), [&](const auto& item) {
    const auto& report = item.second.report;
    return item.first.node == node && item.first.endpoint == endpoint && report.step >= step &&
           report.is_closed && report.in_flight == 0;
  });
}

}  // namespace cometstand::store
