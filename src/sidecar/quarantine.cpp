#include "sidecar/quarantine.h"

#include <set>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

using mesh::ContentDigest;
using State = wire::ContentState;

/// A report is sent again for so long: longer than the stores take for a new leader, about two seconds.
constexpr Duration kReportTime = std::chrono::seconds(6);
constexpr Duration kResendInterval = std::chrono::milliseconds(500);
/// Reports that are sent again; a target ends once in some seconds at most.
constexpr std::size_t kMostReports = 8;
/// Bodies up to this size are remembered when they have run to their end: larger ones hardly come twice, and
/// their digest costs the more.
constexpr std::size_t kMostRememberedBody = 4 * 1024;
/// Characters of the list of contents in a log line: about 15 digests.
constexpr std::size_t kMostLoggedContents = 500;

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

const Quarantine::Entry* Quarantine::entryOf(const wire::ForwardRequestT& request, State state) const {
  const auto digests = mesh::digestsOf(request);
  const auto* exact = find(digests.exact);
  if (exact != nullptr && exact->state == state) return exact;
  const auto* path = digests.path ? find(*digests.path) : nullptr;
  return path != nullptr && path->state == state ? path : nullptr;
}

bool Quarantine::blocks(const wire::ForwardRequestT& request) const {
  return quarantined_ > 0 && entryOf(request, State::Quarantined) != nullptr;
}

bool Quarantine::isSuspect(const wire::ForwardRequestT& request) const {
  return suspected() > 0 && entryOf(request, State::Suspected) != nullptr;
}

void Quarantine::apply(const wire::QuarantineUpdateT& update) {
  // Of a store that is behind the one before.
  if (update.number <= number_) return;
  number_ = update.number;
  if (update.is_whole) {
    entries_.clear();
    quarantined_ = 0;
  }
  for (const auto& notice : update.notices) {
    if (notice->digest != nullptr) put(*notice);
  }
}

void Quarantine::put(const wire::ContentNoticeT& notice) {
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

void Quarantine::onReportTaken(const std::string& instance) {
  std::erase_if(reports_, [&instance](const auto& report) { return report.instance == instance; });
}

void Quarantine::onTargetEnded(const TargetEnd& end, const std::string& service, TimePoint now) {
  wire::CrashReportT report;
  report.instance = end.incarnation.name();
  report.service = service;
  std::set<ContentDigest> known;
  std::size_t innocents = 0;
  for (const auto& request : end.requests) {
    const auto digests = mesh::digestsOf(*request);
    if (memory_.contains(digests.exact, now)) {
      ++innocents;
      continue;
    }
    addSuspect(report, known, digests.exact, request->caller_service);
    const bool has_path = digests.path && !memory_.contains(*digests.path, now);
    if (has_path) addSuspect(report, known, *digests.path, request->caller_service);
  }
  memory_.clear();
  std::string contents;
  for (const auto& digest : known) {
    if (contents.size() >= kMostLoggedContents) break;
    contents += (contents.empty() ? "" : " ") + mesh::formatDigest(digest);
  }
  logEvent(kTargetEnded, {{"instance", end.incarnation.name()},
                          {"service", service},
                          {"requests", end.requests.size()},
                          {"innocent", innocents},
                          {"contents", contents}});
  if (report.suspects.empty()) return;
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(report)));
  reports_.push_back({message, end.incarnation.name(), now + kReportTime});
  if (reports_.size() > kMostReports) reports_.pop_front();
  resend_at_ = now + kResendInterval;
  broadcast_(message);
}

void Quarantine::onRunToEnd(const wire::ForwardRequestT& request, const mesh::Incarnation& target,
                            TimePoint now) {
  const bool is_remembered = request.body.size() <= kMostRememberedBody;
  if (!is_remembered && suspected() == 0) return;
  const auto digests = mesh::digestsOf(request);
  if (is_remembered) memory_.note(digests.exact, now);
  if (is_remembered && digests.path) memory_.note(*digests.path, now);
  clear(digests.exact, target.name(), now);
  if (digests.path) clear(*digests.path, target.name(), now);
}

void Quarantine::clear(const ContentDigest& digest, const std::string& instance, TimePoint now) {
  const auto found = entries_.find(digest);
  if (found == entries_.end() || found->second.state != State::Suspected) return;
  auto& entry = found->second;
  if (entry.cleared_at && now < *entry.cleared_at + kResendInterval) return;
  entry.cleared_at = now;
  wire::ContentClearanceT clearance;
  clearance.digest = mesh::writeDigest(digest);
  clearance.number = entry.number;
  clearance.instance = instance;
  broadcast_(std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(clearance))));
}

void Quarantine::onTimer(TimePoint now) {
  if (reports_.empty() || now < resend_at_) return;
  resend_at_ = now + kResendInterval;
  std::erase_if(reports_, [now](const auto& report) { return report.until <= now; });
  for (const auto& report : reports_) broadcast_(report.message);
}

}  // namespace cometstand::sidecar
