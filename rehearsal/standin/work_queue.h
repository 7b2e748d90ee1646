#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace cometstand::rehearsal {

/// Names one request within a back end.
enum class WorkId : std::uint64_t {};

enum class Admission : std::uint8_t { Started, Queued, Shed };

/// A back end's slots with the bounded queue before them. A plain state machine; first come, first served.
class WorkQueue {
 public:
  /// @param slots requests in work at once; @param queue_limit requests that may wait.
  WorkQueue(std::uint32_t slots, std::uint32_t queue_limit) : slots_(slots), queue_limit_(queue_limit) {}

  Admission submit(WorkId id);

  /// Like submit(), but never shed, and ahead of everything that waits. Used for probes.
  Admission submitFirst(WorkId id);

  /// Takes a request out, whether it works or waits.
  /// @return the request that now takes the free slot, if any.
  std::optional<WorkId> remove(WorkId id);

  /// @return requests in work and waiting, divided by slots.
  double load() const;

  std::size_t working() const { return working_.size(); }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  std::uint32_t slots_;
  std::uint32_t queue_limit_;
  std::set<WorkId> working_;
  std::deque<WorkId> waiting_;
};

}  // namespace cometstand::rehearsal
