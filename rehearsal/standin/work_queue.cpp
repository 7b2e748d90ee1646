#include "rehearsal/standin/work_queue.h"

#include <algorithm>

namespace cometstand::rehearsal {

Admission WorkQueue::submit(WorkId id) {
  if (working_.size() < slots_) {
    working_.insert(id);
    return Admission::Started;
  }
  if (waiting_.size() >= queue_limit_) return Admission::Shed;
  waiting_.push_back(id);
  return Admission::Queued;
}

Admission WorkQueue::submitFirst(WorkId id) {
  if (working_.size() < slots_) {
    working_.insert(id);
    return Admission::Started;
  }
  waiting_.push_front(id);
  return Admission::Queued;
}

std::optional<WorkId> WorkQueue::remove(WorkId id) {
  if (working_.erase(id) == 0) {
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), id), waiting_.end());
    return std::nullopt;
  }
  if (waiting_.empty()) return std::nullopt;
  const WorkId next = waiting_.front();
  waiting_.pop_front();
  working_.insert(next);
  return next;
}

double WorkQueue::load() const {
  if (slots_ == 0) return 0;
  return static_cast<double>(working_.size() + waiting_.size()) / slots_;
}

}  // namespace cometstand::rehearsal
