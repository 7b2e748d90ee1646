#include "store/rollout_reports.h"

#include <algorithm>

namespace cometstand::store {
namespace {

/// Reports come each 250 ms; one that is older says nothing of what its target does now.
constexpr Duration kReportLease = std::chrono::milliseconds(800);

}  // namespace

bool RolloutReports::isFresh(const Heard& heard, TimePoint now) { return now < heard.at + kReportLease; }

void RolloutReports::take(const std::string& node, const wire::RolloutReportT& report, TimePoint now) {
  heard_[{node, report.incarnation, report.endpoint}] = {report, now};
}

VersionSamples RolloutReports::samplesOf(const std::string& version, bool of_others) const {
  VersionSamples samples;
  for (const auto& [source, heard] : heard_) {
    if ((heard.report.version == version) == of_others) continue;
    for (const auto& sample : heard.report.samples) samples.add(*sample);
  }
  return samples;
}

std::uint64_t RolloutReports::begun(const std::optional<std::string>& version) const {
  std::uint64_t sum = 0;
  for (const auto& [source, heard] : heard_) {
    if (!version || heard.report.version == *version) sum += heard.report.begun;
  }
  return sum;
}

RolloutReports::Capacity RolloutReports::capacityOf(const std::string& version, bool of_others,
                                                    TimePoint now) const {
  Capacity capacity;
  for (const auto& [source, heard] : heard_) {
    const auto& report = heard.report;
    if (!isFresh(heard, now) || (report.version == version) == of_others) continue;
    const bool is_warm = heard.at + std::chrono::milliseconds(report.cold_ms) <= now;
    ++capacity.targets;
    capacity.slots += report.slots;
    capacity.warm_slots += is_warm ? report.slots : 0;
    capacity.cold += is_warm ? 0 : 1;
  }
  return capacity;
}

std::set<std::string> RolloutReports::otherVersions(const std::string& version) const {
  std::set<std::string> versions;
  for (const auto& [source, heard] : heard_) {
    if (heard.report.version != version) versions.insert(heard.report.version);
  }
  return versions;
}

bool RolloutReports::isClosed(const std::string& node, const std::string& endpoint, std::uint32_t step,
                              bool idle, TimePoint now) const {
  return std::any_of(heard_.begin(), heard_.end(), [&](const auto& item) {
    const auto& report = item.second.report;
    return item.first.node == node && item.first.endpoint == endpoint && isFresh(item.second, now) &&
           report.step >= step && report.is_closed && (!idle || report.in_flight == 0);
  });
}

bool RolloutReports::endedIdle(const std::string& node, const std::string& endpoint,
                               std::uint32_t step) const {
  return std::any_of(heard_.begin(), heard_.end(), [&](const auto& item) {
    const auto& report = item.second.report;
    return item.first.node == node && item.first.endpoint == endpoint && report.step >= step &&
           report.is_closed && report.in_flight == 0;
  });
}

}  // namespace cometstand::store
