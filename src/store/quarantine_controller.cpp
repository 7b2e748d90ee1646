#include "store/quarantine_controller.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "store/events.h"
#include "store/log_writer.h"
#include "store/queries.h"
#include "store/replies.h"

namespace cometstand::store {
namespace {

using State = wire::ContentState;

/// Targets of one service that end within this time are attributed to one cause, such as a failed rack or
/// zone. Requests that crash their targets do so at independent times, because their runs take tens of
/// milliseconds and vary by as much.
constexpr Duration kCrashEventWindow = std::chrono::milliseconds(50);
/// Time after which a proposal without a result is considered lost and may be made again.
constexpr Duration kProposalTimeout = std::chrono::seconds(1);
constexpr Duration kScanInterval = std::chrono::seconds(1);
/// Time after which the record of a suspected content that has caused no further crash is removed.
constexpr Duration kSuspicionLease = std::chrono::hours(2);
/// Duration of the first quarantine; each further one takes twice as long. After a quarantine a single crash
/// quarantines the content again, so a content that still crashes targets does so after 2, 6 and 14 hours,
/// which is three times in the first day.
constexpr Duration kInitialQuarantineTime = std::chrono::hours(2);
constexpr Duration kMaxQuarantineTime = std::chrono::hours(24);

Duration quarantineDuration(std::uint32_t quarantines) {
  Duration time = kInitialQuarantineTime;
  for (std::uint32_t i = 1; i < quarantines && time < kMaxQuarantineTime; ++i) time *= 2;
  return std::min(time, kMaxQuarantineTime);
}

/// @return the time after which a record that has not changed is released.
Duration leaseDuration(const wire::ContentRecordT& record) {
  if (record.state == State::Quarantined) return quarantineDuration(record.quarantines);
  return record.quarantines > 0 ? kMaxQuarantineTime : kSuspicionLease;
}

}  // namespace

std::uint64_t QuarantineController::crashEventFor(const std::string& service, TimePoint now) {
  auto& event = crash_events_[service];
  if (event.number != 0 && now < event.began_at + kCrashEventWindow) return event.number;
  last_crash_event_ = std::max(last_crash_event_, context_.state.quarantine().lastEvent()) + 1;
  event = {last_crash_event_, now};
  return event.number;
}

bool QuarantineController::isDuplicateProposal(const std::string& key, TimePoint now) {
  std::erase_if(proposed_at_, [now](const auto& item) { return item.second + kProposalTimeout <= now; });
  return !proposed_at_.emplace(key, now).second;
}

void QuarantineController::onReport(runtime::LinkId link, const wire::CrashReportT& report, TimePoint now) {
  if (context_.state.quarantine().hasCountedInstance(report.instance)) {
    wire::CrashReportT acknowledgement;
    acknowledgement.instance = report.instance;
    context_.actions.send(link, std::move(acknowledgement), 0);
    return;
  }
  if (!context_.isLeader()) return;
  if (isDuplicateProposal(report.instance, now)) return;
  wire::CrashReportT command(report);
  command.event = crashEventFor(report.service, now);
  logEvent(kCrashReported, {{"instance", command.instance},
                            {"service", command.service},
                            {"suspects", command.suspects.size()},
                            {"event", command.event}});
  propose(std::move(command), now);
}

void QuarantineController::onClearance(const wire::ContentClearanceT& clearance, TimePoint now) {
  if (!context_.isLeader() || clearance.digest == nullptr) return;
  const auto digest = mesh::readDigest(*clearance.digest);
  const auto record = context_.state.quarantine().find(digest);
  const bool is_applicable =
      record != nullptr && record->state == State::Suspected && record->number <= clearance.number;
  if (!is_applicable || isDuplicateProposal(mesh::formatDigest(digest), now)) return;
  logEvent(kContentCleared, {{"content", mesh::formatDigest(digest)},
                             {"service", record->service},
                             {"caller", record->caller_service},
                             {"crashes", record->crashes},
                             {"instance", clearance.instance}});
  propose(wire::ContentClearanceT(clearance), now);
}

template <typename Command>
void QuarantineController::propose(Command command, TimePoint now) {
  wire::StoreCommandBatchT batch;
  auto command_pointer = std::make_shared<wire::StoreCommandT>();
  command_pointer->body.Set(std::move(command));
  batch.commands.push_back(std::move(command_pointer));
  // If this replica no longer leads, the nodes send their reports to the next leader.
  if (!context_.consensus.propose(encodeBatch(batch), now)) proposed_at_.clear();
}

void QuarantineController::logChanges() {
  const auto& quarantine = context_.state.quarantine();
  if (quarantine.lastNumber() == last_logged_number_) return;
  for (const auto& [digest, record] : quarantine.all()) {
    if (record->number <= last_logged_number_ || record->state != State::Quarantined || !context_.isLeader())
      continue;
    logEvent(kContentQuarantined, {{"content", mesh::formatDigest(digest)},
                                   {"service", record->service},
                                   {"caller", record->caller_service},
                                   {"crashes", record->crashes},
                                   {"instances", fmt::format("{}", fmt::join(record->instances, " "))},
                                   {"quarantines", record->quarantines}});
  }
  last_logged_number_ = quarantine.lastNumber();
}

void QuarantineController::onLeadershipLost() {
  proposed_at_.clear();
  operator_releases_.onLeadershipLost();
  observations_.clear();
  crash_events_.clear();
}

/// Ages are not replicated: a new leader starts to measure them from zero.
void QuarantineController::scan(TimePoint now) {
  const auto& records = context_.state.quarantine().all();
  std::erase_if(observations_, [&records](const auto& item) { return !records.contains(item.first); });
  for (const auto& [digest, record] : records) {
    auto& observation = observations_[digest];
    if (observation.number != record->number) observation = {record->number, now};
    if (now >= observation.since + leaseDuration(*record)) release(*record, now - observation.since, now);
  }
}

void QuarantineController::release(const wire::ContentRecordT& record, Duration age, TimePoint now) {
  const auto digest = mesh::readDigest(*record.digest);
  if (isDuplicateProposal(mesh::formatDigest(digest), now)) return;
  wire::ContentReleaseT release;
  release.digest = mesh::writeDigest(digest);
  release.number = record.number;
  release.is_final = record.state == State::Suspected;
  logEvent(kContentReleased, {{"content", mesh::formatDigest(digest)},
                              {"service", record.service},
                              {"caller", record.caller_service},
                              {"state", wire::EnumNameContentState(record.state)},
                              {"age_ms", ceilMilliseconds(age)},
                              {"final", release.is_final},
                              {"reason", "its time is up"}});
  propose(std::move(release), now);
}

void QuarantineController::releaseByOperator(const Requester& requester, const std::string& content,
                                             TimePoint now) {
  const auto& records = context_.state.quarantine().all();
  const auto found = std::find_if(records.begin(), records.end(), [&content](const auto& item) {
    return mesh::formatDigest(item.first) == content;
  });
  if (found == records.end()) {
    throw Error(ErrorKind::NotFound, fmt::format("nothing is held against content {}", content),
                "see show quarantine");
  }
  const auto& record = *found->second;
  wire::ContentReleaseT release;
  release.digest = mesh::writeDigest(found->first);
  release.is_final = true;
  logEvent(kContentReleased, {{"content", content},
                              {"service", record.service},
                              {"caller", record.caller_service},
                              {"state", wire::EnumNameContentState(record.state)},
                              {"final", true},
                              {"reason", "an operator's order"}});
  const auto reply = [this, requester, content](const CommandResult* result) {
    if (result != nullptr) {
      sendReply(context_, requester,
                makeTable(context_.state.catalog().version(), {"released"}, {{content}}));
      return;
    }
    const Error error(ErrorKind::Unknown, "whether the content was released is not known",
                      "see show quarantine");
    sendReply(context_, requester, unknownOutcomeReply<wire::CommandReplyT>(error));
  };
  if (!operator_releases_.propose(std::move(release), reply, now)) {
    throw Error(ErrorKind::Unavailable, "this replica does not lead any more", "send the command again",
                context_.options.retry_after);
  }
}

void QuarantineController::onTimer(TimePoint now) {
  operator_releases_.onTimer(now);
  if (now < next_scan_at_ || !context_.isLeader()) return;
  next_scan_at_ = now + kScanInterval;
  scan(now);
}

TimePoint QuarantineController::nextTimer() const {
  const bool has_records = !context_.state.quarantine().all().empty();
  const TimePoint scan_at = context_.isLeader() && has_records ? next_scan_at_ : TimePoint::max();
  return std::min(scan_at, operator_releases_.nextTimer());
}

}  // namespace cometstand::store
