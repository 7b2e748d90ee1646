#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "runtime/action_queue.h"
#include "schema/mesh_generated.h"
#include "sidecar/gate_asker.h"
#include "sidecar/send_rate.h"
#include "sidecar/unconfirmed_bytes.h"

namespace cometstand::sidecar {

/// Sends the large answers of the target beside this sidecar to the sidecars that asked, in parts as those
/// grant them, so that the other messages on a link pass in between. What is not granted yet is held here.
///
/// Answers share this machine's link as they are granted, until some asker says when it must have its own: as
/// long as there are such answers, what is granted goes in the order in which it must be there, with few
/// bytes under way, so that an answer waits for those before it and not for all. It answers the load of
/// many sidecars that stop while a link is full: with all answers sharing it, 1 or 2 of 20 overlapping stops
/// ended with an answer half way, with the order none (tests/crowded_stop, seeds 1 to 5).
///
/// Invariant: an answer ends with the word that it is whole, or that the rest will not come, or its asker has
/// left.
class AnswerTransfers {
 public:
  explicit AnswerTransfers(runtime::ActionQueue& actions) : actions_(actions) {}

  /// Sends the answer, or its first part if it is larger than what the asker takes in one message.
  void send(const GateAsker& asker, wire::ForwardReplyT reply, TimePoint now);
  void onGrant(const GateAsker& asker, const wire::BodyGrantT& grant, TimePoint now);
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
  /// @return the expected time until what is held has been sent. Answers whose askers have granted nothing
  /// for long do not count, as they do not hold others up; zero until a rate was measured.
  Duration expectedWait(TimePoint now) const;
  /// @return true if so much is held that no further request should be run for other sidecars.
  /// @param answer_bytes what its answer is expected to have.
  bool isFull(std::size_t answer_bytes, unsigned credit, TimePoint now) const;
  /// @return once isFull(): the expected time until the link has sent enough for a further answer. Zero until
  /// a rate was measured.
  Duration timeUntilRoom(std::size_t answer_bytes, TimePoint now) const;

  /// Of the answers that are held: about seven of the largest that are usual (540 KB, as our deployments
  /// say). Requests that run already may add theirs, one for each slot of the target.
  static constexpr std::size_t kMostHeldBytes = 4 * 1024 * 1024;
  /// While what is held takes so long, no large answer is added. Then a planned stop of 6 s, which closes the
  /// gate by as much earlier, still sends them all, and another endpoint, whose link may be idle, gets the
  /// request.
  static constexpr Duration kMostWait = std::chrono::seconds(2);

 private:
  struct Transfer {
    std::vector<std::uint8_t> body;
    std::size_t sent = 0;
    /// Of these, in the answer's first message.
    std::size_t sent_first = 0;
    /// Granted and not sent.
    std::size_t granted = 0;
    /// When the asker must have it; none if it has said nothing.
    std::optional<TimePoint> due;
    TimePoint give_up_at;
    /// Of the newest grant.
    TimePoint active_at;

    std::size_t left() const { return body.size() - sent; }
    TimePoint mustEndBy() const { return due ? std::min(*due, give_up_at) : give_up_at; }
  };
  using Transfers = std::map<GateAsker, Transfer>;

  /// @return the time in which the link sends so many bytes; zero until a rate was measured.
  Duration sendingTime(std::size_t bytes) const;
  static std::vector<std::uint8_t> nextBytes(Transfer& transfer, std::size_t bytes);
  void noteDue(const GateAsker& asker, Transfer& transfer, const wire::BodyGrantT& grant, TimePoint now);
  void sendGranted(TimePoint now);
  /// @return the answer that gets the link next; the end if none may have it now.
  Transfers::iterator nextToSend();
  bool hasRoom(const GateAsker& asker, const Transfer& transfer) const;
  void sendPart(Transfers::iterator transfer, TimePoint now);
  Transfers::iterator forget(Transfers::iterator transfer);

  runtime::ActionQueue& actions_;
  Transfers transfers_;
  std::size_t held_bytes_ = 0;
  SendRate rate_;
  /// Of answers with a due time.
  UnconfirmedBytes unconfirmed_;
};

}  // namespace cometstand::sidecar
