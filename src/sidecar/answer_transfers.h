#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "runtime/action_queue.h"
#include "schema/mesh_generated.h"
#include "sidecar/gate_asker.h"

namespace cometstand::sidecar {

/// Sends the large answers of the target beside this sidecar to the sidecars that asked, in parts as those
/// grant them, so that the other messages on a link pass in between. What is not granted yet is held here.
///
/// Invariant: an answer ends with the word that it is whole, or that the rest will not come, or its asker has
/// left.
class AnswerTransfers {
 public:
  explicit AnswerTransfers(runtime::ActionQueue& actions) : actions_(actions) {}

  /// Sends the answer, or its first part if it is larger than what the asker takes in one message.
  void send(const GateAsker& asker, wire::ForwardReplyT reply);
  void onGrant(const GateAsker& asker, std::size_t bytes);
  /// The asker does not want the answer any more.
  void cancel(const GateAsker& asker);
  void cancelLink(runtime::LinkId link);

  /// Gives up answers whose asker granted too little until it has no use for them.
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// @return answers that are not sent whole.
  std::size_t size() const { return transfers_.size(); }
  /// @return the bytes of their bodies.
  std::size_t heldBytes() const { return held_bytes_; }
  /// @return true if so much is held that no further request should be run for other sidecars.
  bool isFull() const { return held_bytes_ >= kMostHeldBytes; }

  /// Of the answers that are held: about seven of the largest that are usual (540 KB, as our deployments
  /// say). Requests that run already may add theirs, one for each slot of the target.
  static constexpr std::size_t kMostHeldBytes = 4 * 1024 * 1024;

 private:
  struct Transfer {
    std::vector<std::uint8_t> body;
    std::size_t sent = 0;
    TimePoint give_up_at;

    std::size_t left() const { return body.size() - sent; }
  };
  using Transfers = std::map<GateAsker, Transfer>;

  static std::vector<std::uint8_t> nextBytes(Transfer& transfer, std::size_t bytes);
  Transfers::iterator forget(Transfers::iterator transfer);

  runtime::ActionQueue& actions_;
  Transfers transfers_;
  std::size_t held_bytes_ = 0;
};

}  // namespace cometstand::sidecar
