#pragma once

#include <utility>
#include <vector>

#include "runtime/process_core.h"
#include "schema/consensus_generated.h"

namespace cometstand::consensus {

/// Queues outgoing messages until the file operation that they depend on is synced.
class Outbox {
 public:
  /// @param after the file operation that must be synced before the message is sent; 0 if there is none.
  void add(wire::ConsensusMessageT message, runtime::WriteId after) {
    queue_.push_back({after, std::move(message)});
  }

  /// Moves the messages whose file operation is synced to the end of `ready`, in the order of add().
  void release(runtime::WriteId synced, std::vector<wire::ConsensusMessageT>& ready) {
    std::vector<QueuedMessage> remaining;
    for (auto& queued : queue_) {
      if (queued.after <= synced) {
        ready.push_back(std::move(queued.message));
      } else {
        remaining.push_back(std::move(queued));
      }
    }
    queue_ = std::move(remaining);
  }

  /// Drops queued acknowledgements, because a leader of a newer term may replace the entries that they
  /// acknowledge.
  void dropAcknowledgements() {
    std::erase_if(queue_, [](const QueuedMessage& queued) {
      const auto type = queued.message.body.type;
      return type == wire::ConsensusBody::AppendReply || type == wire::ConsensusBody::SnapshotReply;
    });
  }

  void clear() { queue_.clear(); }

 private:
  struct QueuedMessage {
    runtime::WriteId after;
    wire::ConsensusMessageT message;
  };
  std::vector<QueuedMessage> queue_;
};

}  // namespace cometstand::consensus
