#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "schema/mesh_generated.h"
#include "sidecar/receive_credit.h"

namespace cometstand::sidecar {

/// Collects the large answers to this sidecar's requests, whose bodies come in parts as they are granted.
/// An answer is handed out only when its sender said that it is whole.
class AnswerIntake {
 public:
  /// Tells the endpoint that got the sending that it may send so many more bytes.
  using Grant = std::function<void(std::uint64_t sending, std::uint32_t bytes)>;

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
  void begin(std::uint64_t sending, const wire::ForwardReplyT& reply, unsigned priority, TimePoint now);
  Progress onPart(std::uint64_t sending, const wire::BodyPartT& part, TimePoint now);
  /// @return the whole answer, which is forgotten here.
  wire::ForwardReplyT take(std::uint64_t sending);
  /// Forgets the answer, if there is one.
  void drop(std::uint64_t sending, TimePoint now);

  bool contains(std::uint64_t sending) const { return answers_.contains(sending); }
  std::size_t size() const { return answers_.size(); }

 private:
  struct Answer {
    wire::ForwardReplyT reply;
    ReceiveCredit::Flow flow;
  };

  ReceiveCredit& credit_;
  Grant grant_;
  /// By the number under which the request was sent.
  std::map<std::uint64_t, Answer> answers_;
};

}  // namespace cometstand::sidecar
