#include "sidecar/quarantine.h"

#include <set>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

using mesh::ContentDigest;
using State = wire::ContentState;

/// A report is resent for this long. The stores take about 2 s to elect a new leader, so it reaches the new
/// one.
constexpr Duration kReportRetryTime = std::chrono::seconds(6);
constexpr Duration kResendInterval = std::chrono::milliseconds(500);
/// Limit on the reports that are resent; a target ends at most once in some seconds.
constexpr std::size_t kMaxPendingReports = 8;
/// Requests with larger bodies are not recorded as completed: they rarely recur, and their digests cost more.
constexpr std::size_t kMaxRecordedBodyBytes = 4 * 1024;
/// Length of the list of contents in a log line, about 15 digests.
constexpr std::size_t kMaxLoggedContentsChars = 500;

void addSuspect(wire::CrashReportT& report, std::set<ContentDigest>& known, const ContentDigest& digest,
                const std::string& caller) {
  if (!known.insert(digest).second) return;
  auto suspect = std::make_shared<wire::SuspectT>();
  suspect->digest = mesh::writeDigest(digest);
  suspect->caller_service = caller;
  report.suspects.push_back(std::move(suspect));
}

}  // namespace

const Quarantine::Entry* Quarantine::find(const ContentDigest& digest) const {
  const auto found = entries_.find(digest);
  return found == entries_.end() ? nullptr : &found->second;
}

const Quarantine::Entry* Quarantine::findEntry(const wire::ForwardRequestT& request, State state) const {
  const auto digests = mesh::digestsOf(request);
  const auto* exact = find(digests.exact);
  if (exact != nullptr && exact->state == state) return exact;
  const auto* path = digests.path ? find(*digests.path) : nullptr;
  return path != nullptr && path->state == state ? path : nullptr;
}

bool Quarantine::isQuarantined(const wire::ForwardRequestT& request) const {
  return quarantined_ > 0 && findEntry(request, State::Quarantined) != nullptr;
}

bool Quarantine::isSuspect(const wire::ForwardRequestT& request) const {
  return suspected() > 0 && findEntry(request, State::Suspected) != nullptr;
}

void Quarantine::apply(const wire::QuarantineUpdateT& update) {
  // The update is from a store that lags behind the previous one.
  if (update.number <= last_update_number_) return;
  last_update_number_ = update.number;
  if (update.is_whole) {
    entries_.clear();
    quarantined_ = 0;
  }
  for (const auto& notice : update.notices) {
    if (notice->digest != nullptr) applyNotice(*notice);
  }
}

void Quarantine::applyNotice(const wire::ContentNoticeT& notice) {
  const auto digest = mesh::readDigest(*notice.digest);
  const auto known = entries_.find(digest);
  if (known != entries_.end()) {
    if (known->second.state == State::Quarantined) --quarantined_;
    entries_.erase(known);
  }
  if (notice.state == State::Released) return;
  if (notice.state == State::Quarantined) ++quarantined_;
  entries_[digest] = {notice.state, notice.number, std::nullopt};
}

void Quarantine::onReportAcknowledged(const std::string& instance) {
  std::erase_if(pending_reports_, [&instance](const auto& report) { return report.instance == instance; });
}

void Quarantine::onTargetEnded(const TargetEnd& end, const std::string& service, TimePoint now) {
  wire::CrashReportT report;
  report.instance = end.incarnation.name();
  report.service = service;
  std::set<ContentDigest> known;
  std::size_t completed_before = 0;
  for (const auto& request : end.requests) {
    const auto digests = mesh::digestsOf(*request);
    if (completed_contents_.contains(digests.exact, now)) {
      ++completed_before;
      continue;
    }
    addSuspect(report, known, digests.exact, request->caller_service);
    const bool has_path = digests.path && !completed_contents_.contains(*digests.path, now);
    if (has_path) addSuspect(report, known, *digests.path, request->caller_service);
  }
  completed_contents_.clear();
  std::string contents;
  for (const auto& digest : known) {
    if (contents.size() >= kMaxLoggedContentsChars) break;
    contents += (contents.empty() ? "" : " ") + mesh::formatDigest(digest);
  }
  logEvent(kTargetEnded, {{"instance", end.incarnation.name()},
                          {"service", service},
                          {"requests", end.requests.size()},
                          {"innocent", completed_before},
                          {"contents", contents}});
  if (report.suspects.empty()) return;
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(report)));
  pending_reports_.push_back({message, end.incarnation.name(), now + kReportRetryTime});
  if (pending_reports_.size() > kMaxPendingReports) pending_reports_.pop_front();
  resend_at_ = now + kResendInterval;
  broadcast_(message);
}

void Quarantine::onCompleted(const wire::ForwardRequestT& request, const mesh::Incarnation& target,
                             TimePoint now) {
  const bool is_recorded = request.body.size() <= kMaxRecordedBodyBytes;
  if (!is_recorded && suspected() == 0) return;
  const auto digests = mesh::digestsOf(request);
  if (is_recorded) completed_contents_.record(digests.exact, now);
  if (is_recorded && digests.path) completed_contents_.record(*digests.path, now);
  reportCleared(digests.exact, target.name(), now);
  if (digests.path) reportCleared(*digests.path, target.name(), now);
}

void Quarantine::reportCleared(const ContentDigest& digest, const std::string& instance, TimePoint now) {
  const auto found = entries_.find(digest);
  if (found == entries_.end() || found->second.state != State::Suspected) return;
  auto& entry = found->second;
  if (entry.last_clearance_at && now < *entry.last_clearance_at + kResendInterval) return;
  entry.last_clearance_at = now;
  wire::ContentClearanceT clearance;
  clearance.digest = mesh::writeDigest(digest);
  clearance.number = entry.number;
  clearance.instance = instance;
  broadcast_(std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(clearance))));
}

void Quarantine::onTimer(TimePoint now) {
  if (pending_reports_.empty() || now < resend_at_) return;
  resend_at_ = now + kResendInterval;
  std::erase_if(pending_reports_, [now](const auto& report) { return report.retry_until <= now; });
  for (const auto& report : pending_reports_) broadcast_(report.message);
}

}  // namespace cometstand::sidecar
