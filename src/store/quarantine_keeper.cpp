#include "store/quarantine_keeper.h"

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

/// Targets of one service that end within this time did so by one cause, as a failing rack or zone. Requests
/// that end their targets do so at times of their own; their runs take tens of milliseconds and vary by as
/// much.
constexpr Duration kEventTime = std::chrono::milliseconds(50);
/// A proposal without a result after this time is lost.
constexpr Duration kProposalTime = std::chrono::seconds(1);
constexpr Duration kScanInterval = std::chrono::seconds(1);
/// What is held against a content that comes no more is forgotten after this time.
constexpr Duration kSuspicionTime = std::chrono::hours(2);
/// The first quarantine; each further one takes twice as long. After it one more crash quarantines the
/// content again, so a content that still ends targets does so after 2, 6 and 14 hours: three times a day.
constexpr Duration kFirstQuarantine = std::chrono::hours(2);
constexpr Duration kLongestQuarantine = std::chrono::hours(24);

Duration quarantineTime(std::uint32_t quarantines) {
  Duration time = kFirstQuarantine;
  for (std::uint32_t i = 1; i < quarantines && time < kLongestQuarantine; ++i) time *= 2;
  return std::min(time, kLongestQuarantine);
}

/// @return for how long a record stands as it is.
Duration leaseOf(const wire::ContentRecordT& record) {
  if (record.state == State::Quarantined) return quarantineTime(record.quarantines);
  return record.quarantines > 0 ? kLongestQuarantine : kSuspicionTime;
}

}  // namespace

std::uint64_t QuarantineKeeper::eventFor(const std::string& service, TimePoint now) {
  auto& event = events_[service];
  if (event.number != 0 && now < event.began + kEventTime) return event.number;
  last_event_ = std::max(last_event_, context_.state.quarantine().lastEvent()) + 1;
  event = {last_event_, now};
  return event.number;
}

bool QuarantineKeeper::isProposed(const std::string& what, TimePoint now) {
  std::erase_if(proposed_, [now](const auto& item) { return item.second + kProposalTime <= now; });
  return !proposed_.emplace(what, now).second;
}

void QuarantineKeeper::onReport(runtime::LinkId link, const wire::CrashReportT& report, TimePoint now) {
  if (context_.state.quarantine().hasCounted(report.instance)) {
    wire::CrashReportT taken;
    taken.instance = report.instance;
    context_.actions.send(link, std::move(taken), 0);
    return;
  }
  if (!context_.isLeader()) return;
  if (isProposed(report.instance, now)) return;
  wire::CrashReportT command(report);
  command.event = eventFor(report.service, now);
  logEvent(kCrashReported, {{"instance", command.instance},
                            {"service", command.service},
                            {"suspects", command.suspects.size()},
                            {"event", command.event}});
  propose(std::move(command), now);
}

void QuarantineKeeper::onClearance(const wire::ContentClearanceT& clearance, TimePoint now) {
  if (!context_.isLeader() || clearance.digest == nullptr) return;
  const auto digest = mesh::readDigest(*clearance.digest);
  const auto record = context_.state.quarantine().find(digest);
  const bool is_news =
      record != nullptr && record->state == State::Suspected && record->number <= clearance.number;
  if (!is_news || isProposed(mesh::formatDigest(digest), now)) return;
  logEvent(kContentCleared, {{"content", mesh::formatDigest(digest)},
                             {"service", record->service},
                             {"caller", record->caller_service},
                             {"crashes", record->crashes},
                             {"instance", clearance.instance}});
  propose(wire::ContentClearanceT(clearance), now);
}

template <typename Command>
void QuarantineKeeper::propose(Command command, TimePoint now) {
  wire::StoreCommandBatchT batch;
  auto boxed = std::make_shared<wire::StoreCommandT>();
  boxed->body.Set(std::move(command));
  batch.commands.push_back(std::move(boxed));
  // If this replica no longer leads, the nodes tell the next leader.
  if (!context_.consensus.propose(encodeBatch(batch), now)) proposed_.clear();
}

void QuarantineKeeper::logChanges() {
  const auto& quarantine = context_.state.quarantine();
  if (quarantine.lastNumber() == logged_) return;
  for (const auto& [digest, record] : quarantine.all()) {
    if (record->number <= logged_ || record->state != State::Quarantined || !context_.isLeader()) continue;
    logEvent(kContentQuarantined, {{"content", mesh::formatDigest(digest)},
                                   {"service", record->service},
                                   {"caller", record->caller_service},
                                   {"crashes", record->crashes},
                                   {"instances", fmt::format("{}", fmt::join(record->instances, " "))},
                                   {"quarantines", record->quarantines}});
  }
  logged_ = quarantine.lastNumber();
}

void QuarantineKeeper::onLeadershipLost() {
  proposed_.clear();
  releases_.onLeadershipLost();
  seen_.clear();
  events_.clear();
}

/// Ages are counted by this leader alone: after a change of leaders they begin anew.
void QuarantineKeeper::scan(TimePoint now) {
  const auto& records = context_.state.quarantine().all();
  std::erase_if(seen_, [&records](const auto& item) { return !records.contains(item.first); });
  for (const auto& [digest, record] : records) {
    auto& seen = seen_[digest];
    if (seen.number != record->number) seen = {record->number, now};
    if (now >= seen.since + leaseOf(*record)) release(*record, now - seen.since, now);
  }
}

void QuarantineKeeper::release(const wire::ContentRecordT& record, Duration age, TimePoint now) {
  const auto digest = mesh::readDigest(*record.digest);
  if (isProposed(mesh::formatDigest(digest), now)) return;
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

void QuarantineKeeper::releaseByOperator(const Asker& asker, const std::string& content, TimePoint now) {
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
  const auto answer = [this, asker, content](const CommandResult* result) {
    if (result != nullptr) {
      sendReply(context_, asker, makeTable(context_.state.catalog().version(), {"released"}, {{content}}));
      return;
    }
    const Error error(ErrorKind::Unknown, "whether the content was released is not known",
                      "see show quarantine");
    sendReply(context_, asker, unknownOutcome<wire::CommandReplyT>(error));
  };
  if (!releases_.propose(std::move(release), answer, now)) {
    throw Error(ErrorKind::Unavailable, "this replica does not lead any more", "send the command again",
                context_.options.retry_after);
  }
}

void QuarantineKeeper::onTimer(TimePoint now) {
  releases_.onTimer(now);
  if (now < scan_at_ || !context_.isLeader()) return;
  scan_at_ = now + kScanInterval;
  scan(now);
}

TimePoint QuarantineKeeper::nextTimer() const {
  const bool has_records = !context_.state.quarantine().all().empty();
  const TimePoint scan_at = context_.isLeader() && has_records ? scan_at_ : TimePoint::max();
  return std::min(scan_at, releases_.nextTimer());
}

}  // namespace cometstand::store
