#pragma once

#include <utility>
#include <vector>

#include "runtime/process_core.h"
#include "schema/consensus_generated.h"

namespace cometstand::consensus {

/// Holds messages back until what they promise is on disk.
class Outbox {
 public:
  /// @param after the file operation that has to be synced first; 0 for none.
  void add(wire::ConsensusMessageT message, runtime::WriteId after) {
    held_.push_back({after, std::move(message)});
  }

  /// Moves the messages whose operation is synced to the end of `ready`, in order.
  void release(runtime::WriteId synced, std::vector<wire::ConsensusMessageT>& ready) {
    std::vector<Held> rest;
    for (auto& held : held_) {
      if (held.after <= synced) {
        ready.push_back(std::move(held.message));
      } else {
        rest.push_back(std::move(held));
      }
    }
    held_ = std::move(rest);
  }

  /// Drops the acknowledgements that are still held: a newer leader may drop the entries that they name.
  void dropAcknowledgements() {
    std::erase_if(held_, [](const Held& held) {
      const auto type = held.message.body.type;
      return type == wire::ConsensusBody::AppendReply || type == wire::ConsensusBody::SnapshotReply;
    });
  }

  void clear() { held_.clear(); }

 private:
  struct Held {
    runtime::WriteId after;
    wire::ConsensusMessageT message;
  };
  std::vector<Held> held_;
};

}  // namespace cometstand::consensus
