#include "sidecar/leave_notices.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {

void LeaveNotices::commit(const mesh::Incarnation& incarnation, LeaveNoticeHandler handler, TimePoint now) {
  if (committed_.contains(incarnation)) {
    if (handler) handler(true);
    return;
  }
  const bool is_new = !pending_.contains(incarnation);
  if (is_new && pending_.size() == kMaxPending) {
    const auto dropped = pending_.extract(pending_.begin());
    report(dropped.key(), dropped.mapped().waiting, false, now);
  }
  auto& pending = pending_[incarnation];
  if (is_new) {
    pending.since = now;
    broadcast_(makeNotice(incarnation));
    if (is_recovered_ && pending_.size() == 1) retry_at_ = now + kRetryInterval;
  }
  if (handler) pending.waiting.push_back({std::move(handler), now});
}

void LeaveNotices::onCommitted(const mesh::Incarnation& incarnation, TimePoint now) {
  committed_.add(incarnation);
  const auto pending = pending_.extract(incarnation);
  if (!pending.empty()) report(incarnation, pending.mapped().waiting, true, now);
}

std::vector<mesh::Incarnation> LeaveNotices::onList(const wire::LeaveNoticeListT& list, TimePoint now) {
  std::vector<mesh::Incarnation> recovered;
  if (is_recovered_) return recovered;
  is_recovered_ = true;
  for (const auto& notice : list.notices) {
    recovered.push_back({notice->instance, notice->born_ms});
    onCommitted(recovered.back(), now);
  }
  return recovered;
}

void LeaveNotices::report(const mesh::Incarnation& incarnation, const std::vector<Waiting>& waiting,
                          bool is_committed, TimePoint now) {
  for (const auto& item : waiting) {
    logEvent(kLeaveNoticeAnswered, {{"instance", incarnation.name()},
                                    {"committed", is_committed},
                                    {"took_ms", ceilMilliseconds(now - item.received_at)}});
    item.handler(is_committed);
  }
}

runtime::MessagePointer LeaveNotices::makeNotice(const mesh::Incarnation& incarnation) {
  wire::LeaveNoticeT notice;
  notice.instance = incarnation.id;
  notice.born_ms = incarnation.born_ms;
  return std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(notice)));
}

runtime::MessagePointer LeaveNotices::makeQuery() {
  return std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(wire::LeaveNoticeQueryT()));
}

std::vector<runtime::MessagePointer> LeaveNotices::outstanding() const {
  std::vector<runtime::MessagePointer> messages;
  if (!is_recovered_) messages.push_back(makeQuery());
  for (const auto& [incarnation, pending] : pending_) messages.push_back(makeNotice(incarnation));
  return messages;
}

/// A notice stays pending after its target was told that it is not committed: the target may not announce its
/// shutdown again.
void LeaveNotices::expire(TimePoint now) {
  for (auto& [incarnation, pending] : pending_) {
    const auto first_waiting =
        std::find_if(pending.waiting.begin(), pending.waiting.end(),
                     [now](const auto& item) { return now < item.received_at + kCommitTimeout; });
    const std::vector<Waiting> expired(std::make_move_iterator(pending.waiting.begin()),
                                       std::make_move_iterator(first_waiting));
    pending.waiting.erase(pending.waiting.begin(), first_waiting);
    report(incarnation, expired, false, now);
  }
}

void LeaveNotices::onTimer(bool has_leader, TimePoint now) {
  expire(now);
  if (now < retry_at_) return;
  retry_at_ = now + kRetryInterval;
  if (!is_recovered_ && has_leader) broadcast_(makeQuery());
  for (const auto& [incarnation, pending] : pending_) broadcast_(makeNotice(incarnation));
}

TimePoint LeaveNotices::nextTimer() const {
  return is_recovered_ && pending_.empty() ? TimePoint::max() : retry_at_;
}

}  // namespace cometstand::sidecar
