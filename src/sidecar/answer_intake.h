#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "schema/mesh_generated.h"
#include "sidecar/receive_credit.h"

namespace cometstand::sidecar {

/// Collects the large answers to this sidecar's requests, whose bodies come in parts as they are granted.
/// An answer is handed out only when its sender said that it is whole.
class AnswerIntake {
 public:
  /// Tells the endpoint that got the sending that it may send more bytes.
  using Grant = std::function<void(std::uint64_t sending, const wire::BodyGrantT& grant)>;

  /// What a part made of an answer.
  enum class Progress : std::uint8_t {
    /// No answer comes under that number any more.
    Unknown,
    /// More follows.
    Open,
    /// take() gives it.
    Whole,
    /// The rest will not come, or more came than was granted. The answer is forgotten.
    Broken,
  };

  /// @param credit must outlive the object.
  AnswerIntake(ReceiveCredit& credit, Grant grant) : credit_(credit), grant_(std::move(grant)) {}

  /// @param reply the answer with the first bytes of its body.
  /// @param priority of the request: the lower, the sooner its answer is granted.
  /// @param way see ReceiveCredit::open().
  void begin(std::uint64_t sending, const wire::ForwardReplyT& reply, unsigned priority, Duration way,
             TimePoint now);
  Progress onPart(std::uint64_t sending, const wire::BodyPartT& part, TimePoint now);
  /// @return the whole answer, which is forgotten here.
  wire::ForwardReplyT take(std::uint64_t sending);
  /// @return true if so much was collected that the answer is to be passed on before it is whole.
  bool isDue(std::uint64_t sending) const { return answers_.at(sending).reply.body.size() >= kMostCollected; }
  /// From now on the answer is passed on by takePart() as it comes, and granted as its reader takes it.
  /// @return what came so far.
  wire::ForwardReplyT pass(std::uint64_t sending);
  /// @return the bytes that came since the last call.
  std::vector<std::uint8_t> takePart(std::uint64_t sending);
  /// The reader of an answer that is passed on took bytes.
  void onRead(std::uint64_t sending, std::size_t bytes, TimePoint now);
  /// From now on all answers, those that come later too, are granted as fast as they can come: this sidecar
  /// must have them before its planned stop ends. Their senders are told when that is, and what has come.
  void expediteAll(TimePoint due, TimePoint now);
  /// The same for one answer, if there is one under the number: its sender stops.
  void expedite(std::uint64_t sending, TimePoint due, TimePoint now);
  /// Forgets the answer, if there is one.
  void drop(std::uint64_t sending, TimePoint now);

  bool contains(std::uint64_t sending) const { return answers_.contains(sending); }
  std::size_t size() const { return answers_.size(); }

  /// While so little came, an answer that breaks off may still be asked for again, as its caller has seen
  /// nothing of it: most answers are whole by then.
  static constexpr std::size_t kMostCollected = 128 * 1024;
  /// Bytes of an answer that is passed on which its reader has not taken: what a reader takes from a local
  /// connection at once, and little memory for one that takes nothing.
  static constexpr std::size_t kMostUnread = 64 * 1024;

 private:
  struct Answer {
    wire::ForwardReplyT reply;
    ReceiveCredit::Flow flow;
    /// Of an expedited one.
    std::optional<TimePoint> due;
  };

  void expedite(Answer& answer, TimePoint due);
  void grant(std::uint64_t sending, std::uint32_t bytes);
  /// Tells the sender of an expedited answer what has come.
  void confirm(std::uint64_t sending);

  ReceiveCredit& credit_;
  Grant grant_;
  /// By the number under which the request was sent.
  std::map<std::uint64_t, Answer> answers_;
  /// Of this sidecar's planned stop.
  std::optional<TimePoint> all_due_;
  /// Of the newest event.
  TimePoint now_;
};

}  // namespace cometstand::sidecar
