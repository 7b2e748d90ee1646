#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "overload/memory_budget.h"
#include "schema/mesh_generated.h"
#include "sidecar/receive_credit.h"

namespace cometstand::sidecar {

/// Collects the large responses to this sidecar's requests, whose bodies are received in parts by credit. A
/// response is delivered as complete only after its sender has marked it so.
class ResponseIntake {
 public:
  /// Sends a grant to the endpoint that processes the attempt.
  using Grant = std::function<void(std::uint64_t attempt_id, const wire::BodyGrantT& grant)>;

  /// State of a response after a part was received.
  enum class Progress : std::uint8_t {
    /// There is no response in transfer for this attempt.
    Unknown,
    /// More parts follow.
    Open,
    /// The response is complete; take() returns it.
    Whole,
    /// The sender aborted the response or sent more than was granted. The response was discarded.
    Broken,
    /// There is no memory for a response that cannot be streamed. It was discarded.
    NoMemory,
  };

  /// @param credit must outlive the object.
  ResponseIntake(ReceiveCredit& credit, Grant grant) : credit_(credit), grant_(std::move(grant)) {}

  /// Charges the responses that are collected to the budget.
  /// @param budget must outlive the object.
  void limitMemory(overload::MemoryBudget& budget) { memory_ = &budget; }

  /// Starts to collect a response.
  /// @param reply the response with the first bytes of its body.
  /// @param priority of the request; responses with a lower value are granted first.
  /// @param extra_latency see ReceiveCredit::open().
  void begin(std::uint64_t attempt_id, const wire::ForwardReplyT& reply, unsigned priority,
             Duration extra_latency, TimePoint now);
  Progress onPart(std::uint64_t attempt_id, const wire::BodyPartT& part, TimePoint now);
  /// @return the complete response, which is removed.
  wire::ForwardReplyT take(std::uint64_t attempt_id);
  /// @return true if so many bytes are buffered that the response should be streamed to its caller by
  /// beginStreaming().
  bool shouldStream(std::uint64_t attempt_id) const {
    return responses_.at(attempt_id).reply.body.size() >= kStreamingThresholdBytes;
  }
  /// Switches the response to streaming: takeReceivedBytes() returns the bytes as they arrive, and credit is
  /// granted as the reader consumes them.
  /// @return the response with the bytes received so far.
  wire::ForwardReplyT beginStreaming(std::uint64_t attempt_id);
  /// @return the bytes received since the last call.
  std::vector<std::uint8_t> takeReceivedBytes(std::uint64_t attempt_id);
  /// Records that the reader of a streamed response has consumed bytes.
  void onRead(std::uint64_t attempt_id, std::size_t bytes, TimePoint now);
  /// Expedites all current and future responses, because this sidecar needs them before its planned stop
  /// ends. Their grants state the due time and the bytes received so far.
  void expediteAll(TimePoint due, TimePoint now);
  /// Expedites one response, if it is in transfer, because its sender is about to stop.
  void expedite(std::uint64_t attempt_id, TimePoint due, TimePoint now);
  /// Discards the response, if it is in transfer.
  void drop(std::uint64_t attempt_id, TimePoint now);

  bool contains(std::uint64_t attempt_id) const { return responses_.contains(attempt_id); }
  std::size_t size() const { return responses_.size(); }

  /// A response is streamed once this many bytes are received. Below that, a request whose response is
  /// aborted can still be retried, as the caller has received nothing. Most responses are complete before.
  static constexpr std::size_t kStreamingThresholdBytes = 128 * 1024;
  /// Limit of the bytes of a streamed response that its reader has not consumed: about what a reader consumes
  /// from a local connection at once, and little memory for a reader that has stalled.
  static constexpr std::size_t kMaxUnreadBytes = 64 * 1024;

 private:
  struct Response {
    wire::ForwardReplyT reply;
    ReceiveCredit::Flow flow;
    /// The due time of an expedited response.
    std::optional<TimePoint> due;
    overload::MemoryBudget::Charge charge;
  };

  void expedite(Response& response, TimePoint due);
  void grant(std::uint64_t attempt_id, std::uint32_t bytes);
  /// Reports the received bytes to the sender of an expedited response.
  void confirm(std::uint64_t attempt_id);

  ReceiveCredit& credit_;
  Grant grant_;
  overload::MemoryBudget* memory_ = nullptr;
  /// Responses in transfer by the ID of the attempt.
  std::map<std::uint64_t, Response> responses_;
  /// The end of this sidecar's planned stop, after expediteAll().
  std::optional<TimePoint> stop_due_;
  /// Time of the latest event.
  TimePoint now_;
};

}  // namespace cometstand::sidecar
