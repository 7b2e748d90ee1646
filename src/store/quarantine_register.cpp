#include "store/quarantine_register.h"

#include <algorithm>
#include <utility>

namespace cometstand::store {
namespace {

using State = wire::ContentState;

/// Contents of one state that are kept. A record is reckoned at 250 bytes, all at half a megabyte;
/// each quarantined one has cost three targets, so that no caller fills this quickly.
constexpr std::size_t kMostRecords = 1'024;
/// Suspects of one crash; targets have fewer slots.
constexpr std::size_t kMostSuspects = 64;
/// Instances that a record names: those of the crashes that quarantine it.
constexpr std::size_t kMostInstances = 4;
/// Ended instances that are remembered, so that a report that is sent again counts once.
constexpr std::size_t kMostEnded = 512;
/// Releases that are remembered for nodes that were told what came before; beyond them a node is told all.
constexpr std::size_t kMostReleased = 256;

bool isTold(const wire::ContentRecordT& record) {
  return record.state == State::Quarantined || record.crashes >= QuarantineRegister::kCrashesToTell;
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
  if (report.instance.empty() || hasCounted(report.instance)) return QuarantineResult::Unchanged;
  noteEnded(report.instance);
  const std::size_t count = std::min(report.suspects.size(), kMostSuspects);
  for (std::size_t i = 0; i < count; ++i) {
    if (report.suspects[i]->digest != nullptr) noteCrash(*report.suspects[i], report);
  }
  last_event_ = std::max(last_event_, report.event);
  return QuarantineResult::Changed;
}

void QuarantineRegister::noteCrash(const wire::SuspectT& suspect, const wire::CrashReportT& report) {
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
  if (record.instances.size() > kMostInstances) record.instances.erase(record.instances.begin());
  if (record.state == State::Suspected && record.crashes >= kCrashesToQuarantine) {
    record.state = State::Quarantined;
    ++record.quarantines;
  }
  const State state = record.state;
  put(digest, std::move(record));
  makeRoom(state);
}

QuarantineResult QuarantineRegister::apply(const wire::ContentClearanceT& clearance) {
  if (clearance.digest == nullptr) return QuarantineResult::Unchanged;
  const auto digest = mesh::readDigest(*clearance.digest);
  const auto record = find(digest);
  // A crash that the node did not know of is newer than the run, or as new.
  const bool is_refuted =
      record != nullptr && record->state == State::Suspected && record->number <= clearance.number;
  if (!is_refuted) return QuarantineResult::Unchanged;
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
  released_.push_back({digest, ++last_number_});
  if (released_.size() <= kMostReleased) return;
  forgotten_releases_ = released_.front().number;
  released_.pop_front();
}

void QuarantineRegister::makeRoom(State state) {
  std::map<std::string, std::size_t> by_caller;
  std::size_t count = 0;
  for (const auto& [digest, record] : records_) {
    if (record->state != state) continue;
    ++by_caller[record->caller_service];
    ++count;
  }
  if (count <= kMostRecords) return;
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

void QuarantineRegister::noteEnded(const std::string& instance) {
  ended_.insert(instance);
  ended_order_.push_back(instance);
  if (ended_order_.size() <= kMostEnded) return;
  ended_.erase(ended_order_.front());
  ended_order_.pop_front();
}

wire::QuarantineUpdateT QuarantineRegister::updateSince(std::uint64_t number) const {
  wire::QuarantineUpdateT update;
  update.number = last_number_;
  update.is_whole = number == 0 || number < forgotten_releases_;
  const std::uint64_t since = update.is_whole ? 0 : number;
  for (const auto& [digest, record] : records_) {
    if (record->number <= since || !isTold(*record)) continue;
    update.notices.push_back(makeNotice(digest, record->state, record->number));
  }
  if (update.is_whole) return update;
  for (const auto& released : released_) {
    // It may be suspected anew.
    if (released.number <= since || records_.contains(released.digest)) continue;
    update.notices.push_back(makeNotice(released.digest, State::Released, released.number));
  }
  return update;
}

std::shared_ptr<wire::QuarantineStateT> QuarantineRegister::capture() const {
  if (last_number_ == 0 && ended_order_.empty()) return nullptr;
  auto state = std::make_shared<wire::QuarantineStateT>();
  state->last_number = last_number_;
  state->last_event = last_event_;
  for (const auto& [digest, record] : records_) {
    state->records.push_back(std::make_shared<wire::ContentRecordT>(*record));
  }
  state->ended_instances.assign(ended_order_.begin(), ended_order_.end());
  return state;
}

void QuarantineRegister::restore(const std::shared_ptr<wire::QuarantineStateT>& state) {
  *this = QuarantineRegister();
  if (state == nullptr) return;
  last_number_ = state->last_number;
  forgotten_releases_ = last_number_;
  last_event_ = state->last_event;
  for (const auto& record : state->records) {
    if (record->digest != nullptr) records_[mesh::readDigest(*record->digest)] = record;
  }
  for (const auto& instance : state->ended_instances) noteEnded(instance);
}

}  // namespace cometstand::store
