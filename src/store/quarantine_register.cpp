#include "store/quarantine_register.h"

#include <algorithm>
#include <utility>

namespace cometstand::store {
namespace {

using State = wire::ContentState;

/// Maximum number of records per state. A record takes about 250 bytes, so that all records take about half a
/// megabyte. A caller cannot fill this quickly, since every quarantined content has crashed three targets.
constexpr std::size_t kMaxRecordsPerState = 1'024;
/// Maximum number of suspects taken from one crash report; targets have fewer slots than this.
constexpr std::size_t kMaxSuspectsPerReport = 64;
/// Maximum number of crashed instances listed in a record: enough for the crashes that quarantine a content.
constexpr std::size_t kMaxInstancesPerRecord = 4;
/// Number of ended instances that are kept to detect crash reports that are sent again.
constexpr std::size_t kMaxEndedInstances = 512;
/// Number of releases kept for incremental updates; a node that lacks an older one gets a full update.
constexpr std::size_t kMaxRecentReleases = 256;

bool isPublished(const wire::ContentRecordT& record) {
  return record.state == State::Quarantined || record.crashes >= QuarantineRegister::kCrashesToNotify;
}

std::shared_ptr<wire::ContentNoticeT> makeNotice(const mesh::ContentDigest& digest, State state,
                                                 std::uint64_t number) {
  auto notice = std::make_shared<wire::ContentNoticeT>();
  notice->digest = mesh::writeDigest(digest);
  notice->state = state;
  notice->number = number;
  return notice;
}

}  // namespace

ContentRecordPointer QuarantineRegister::find(const mesh::ContentDigest& digest) const {
  const auto found = records_.find(digest);
  return found == records_.end() ? nullptr : found->second;
}

QuarantineResult QuarantineRegister::apply(const wire::CrashReportT& report) {
  if (report.instance.empty() || hasCountedInstance(report.instance)) return QuarantineResult::Unchanged;
  recordEndedInstance(report.instance);
  const std::size_t count = std::min(report.suspects.size(), kMaxSuspectsPerReport);
  for (std::size_t i = 0; i < count; ++i) {
    if (report.suspects[i]->digest != nullptr) recordCrash(*report.suspects[i], report);
  }
  last_event_ = std::max(last_event_, report.event);
  return QuarantineResult::Changed;
}

void QuarantineRegister::recordCrash(const wire::SuspectT& suspect, const wire::CrashReportT& report) {
  const auto digest = mesh::readDigest(*suspect.digest);
  const auto known = find(digest);
  auto record = known == nullptr ? wire::ContentRecordT() : wire::ContentRecordT(*known);
  if (known == nullptr) {
    record.digest = mesh::writeDigest(digest);
    record.service = report.service;
    record.caller_service = suspect.caller_service;
  }
  if (known == nullptr || report.event > record.last_event) ++record.crashes;
  record.last_event = std::max(record.last_event, report.event);
  record.instances.push_back(report.instance);
  if (record.instances.size() > kMaxInstancesPerRecord) record.instances.erase(record.instances.begin());
  if (record.state == State::Suspected && record.crashes >= kCrashesToQuarantine) {
    record.state = State::Quarantined;
    ++record.quarantines;
  }
  const State state = record.state;
  put(digest, std::move(record));
  evictOldest(state);
}

QuarantineResult QuarantineRegister::apply(const wire::ContentClearanceT& clearance) {
  if (clearance.digest == nullptr) return QuarantineResult::Unchanged;
  const auto digest = mesh::readDigest(*clearance.digest);
  const auto record = find(digest);
  // A higher record number means that the content crashed a target after the node's last update, so that the
  // completed run does not clear it.
  const bool is_applicable =
      record != nullptr && record->state == State::Suspected && record->number <= clearance.number;
  if (!is_applicable) return QuarantineResult::Unchanged;
  remove(digest);
  return QuarantineResult::Changed;
}

QuarantineResult QuarantineRegister::apply(const wire::ContentReleaseT& release) {
  if (release.digest == nullptr) return QuarantineResult::Unchanged;
  const auto digest = mesh::readDigest(*release.digest);
  const auto known = find(digest);
  if (known == nullptr || (release.number != 0 && known->number != release.number))
    return QuarantineResult::Unchanged;
  if (release.is_final) {
    remove(digest);
    return QuarantineResult::Changed;
  }
  wire::ContentRecordT record(*known);
  record.state = State::Suspected;
  record.crashes = kCrashesToQuarantine - 1;
  put(digest, std::move(record));
  return QuarantineResult::Changed;
}

void QuarantineRegister::put(const mesh::ContentDigest& digest, wire::ContentRecordT record) {
  record.number = ++last_number_;
  records_[digest] = std::make_shared<const wire::ContentRecordT>(std::move(record));
}

void QuarantineRegister::remove(const mesh::ContentDigest& digest) {
  records_.erase(digest);
  recent_releases_.push_back({digest, ++last_number_});
  if (recent_releases_.size() <= kMaxRecentReleases) return;
  last_forgotten_release_ = recent_releases_.front().number;
  recent_releases_.pop_front();
}

void QuarantineRegister::evictOldest(State state) {
  std::map<std::string, std::size_t> by_caller;
  std::size_t count = 0;
  for (const auto& [digest, record] : records_) {
    if (record->state != state) continue;
    ++by_caller[record->caller_service];
    ++count;
  }
  if (count <= kMaxRecordsPerState) return;
  const auto most = std::max_element(by_caller.begin(), by_caller.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  const mesh::ContentDigest* oldest = nullptr;
  std::uint64_t oldest_number = UINT64_MAX;
  for (const auto& [digest, record] : records_) {
    if (record->state != state || record->caller_service != most->first || record->number >= oldest_number)
      continue;
    oldest = &digest;
    oldest_number = record->number;
  }
  if (oldest != nullptr) remove(mesh::ContentDigest(*oldest));
}

void QuarantineRegister::recordEndedInstance(const std::string& instance) {
  ended_instances_.insert(instance);
  ended_instance_order_.push_back(instance);
  if (ended_instance_order_.size() <= kMaxEndedInstances) return;
  ended_instances_.erase(ended_instance_order_.front());
  ended_instance_order_.pop_front();
}

wire::QuarantineUpdateT QuarantineRegister::updateSince(std::uint64_t number) const {
  wire::QuarantineUpdateT update;
  update.number = last_number_;
  update.is_whole = number == 0 || number < last_forgotten_release_;
  const std::uint64_t since = update.is_whole ? 0 : number;
  for (const auto& [digest, record] : records_) {
    if (record->number <= since || !isPublished(*record)) continue;
    update.notices.push_back(makeNotice(digest, record->state, record->number));
  }
  if (update.is_whole) return update;
  for (const auto& released : recent_releases_) {
    // A released content that is suspected again has a record, whose notice is added above if published.
    if (released.number <= since || records_.contains(released.digest)) continue;
    update.notices.push_back(makeNotice(released.digest, State::Released, released.number));
  }
  return update;
}

std::shared_ptr<wire::QuarantineStateT> QuarantineRegister::capture() const {
  if (last_number_ == 0 && ended_instance_order_.empty()) return nullptr;
  auto state = std::make_shared<wire::QuarantineStateT>();
  state->last_number = last_number_;
  state->last_event = last_event_;
  for (const auto& [digest, record] : records_) {
    state->records.push_back(std::make_shared<wire::ContentRecordT>(*record));
  }
  state->ended_instances.assign(ended_instance_order_.begin(), ended_instance_order_.end());
  return state;
}

void QuarantineRegister::restore(const std::shared_ptr<wire::QuarantineStateT>& state) {
  *this = QuarantineRegister();
  if (state == nullptr) return;
  last_number_ = state->last_number;
  last_forgotten_release_ = last_number_;
  last_event_ = state->last_event;
  for (const auto& record : state->records) {
    if (record->digest != nullptr) records_[mesh::readDigest(*record->digest)] = record;
  }
  for (const auto& instance : state->ended_instances) recordEndedInstance(instance);
}

}  // namespace cometstand::store
