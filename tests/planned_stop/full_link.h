// One gate whose machine's link out is full of large answers, and the sidecars that asked for them.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "base/random.h"
#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

/// What became of the callers' requests at one sidecar.
struct CallerAccount {
  std::size_t sent = 0;
  std::size_t answered = 0;
  /// Answered with fewer bytes than the target gave, or begun and broken off.
  std::size_t cut = 0;
  std::size_t refused = 0;
  /// Ended without the target's answer, though the target may have run them.
  std::size_t failed = 0;
  std::size_t refused_though_run = 0;
};

/// Answers to callers, whole or in parts; a part is taken as soon as it comes.
class CountingCallers : public CallerPort {
 public:
  void answer(CallId id, CallAnswer answer) override;
  void beginAnswer(CallId id, const wire::ForwardReplyT& head) override;
  void continueAnswer(CallId id, const std::vector<std::uint8_t>& bytes, wire::BodyEnd end) override;

  /// @return bytes of answers in parts that were taken since the last call.
  std::vector<std::pair<CallId, std::size_t>> takeRead() { return std::exchange(read_, {}); }

  CallerAccount account;
  /// Whether the target ran the request, by call.
  std::map<CallId, bool> ran;
  std::map<CallId, std::size_t> expected_bytes;

 private:
  std::map<CallId, std::size_t> begun_;
  std::vector<std::pair<CallId, std::size_t>> read_;
};

/// The gate and its requesters, the product's own classes, with a modelled link of kBytesPerSecond out of the
/// gate's machine, on which messages pass in the order in which they are sent. All other ways are free. The
/// target answers each request after kRunTime with a body whose size is drawn.
class FullLink {
 public:
  /// 9.7 Mbit/s.
  static constexpr double kBytesPerSecond = 9.7e6 / 8;
  static constexpr Duration kTick = std::chrono::milliseconds(1);
  static constexpr Duration kRunTime = std::chrono::milliseconds(200);

  /// What a connection has under way; unbounded for a link on which each message is sent at once.
  static constexpr std::size_t kConnectionWindow = 64 * 1024;
  /// After which the kernel takes a peer for dead, as net::Link has it.
  static constexpr Duration kUnansweredTime = std::chrono::seconds(2);

  /// @param load bytes asked for, as a share of what the link brings.
  /// @param connection_window bytes that one connection may have under way: they share the link by it.
  FullLink(std::uint64_t seed, std::size_t requesters, double load, std::size_t connection_window = SIZE_MAX);

  void runFor(Duration time);
  void stopRequester(std::size_t requester);
  void stopGate();
  /// The requester's machine is cut off for good: nothing comes or goes, and its callers ask nothing. The
  /// gate's link to it ends once sent bytes have had no answer for kUnansweredTime.
  void disconnectRequester(std::size_t requester);
  /// The gate's process stands still; its link goes on with what it has.
  void pauseGate(Duration time) { gate_paused_until_ = now_ + time; }
  /// The connection between the requester and the gate is reset, and opened again at once. What was under way
  /// is lost.
  void resetLink(std::size_t requester);
  /// @return true once the sidecar's stop is over; it does nothing any more.
  bool hasRequesterStopped(std::size_t requester) const { return requesters_.at(requester)->gone; }
  bool gateHasStopped() const { return gate_gone_; }
  /// @return from the beginning of the gate's stop to the arrival of the last that it sent.
  Duration gateStopTime() const { return gate_ended_at_ - gate_stop_began_; }
  /// Requests of the requester's callers that have no answer; of a sidecar that is gone, they never get one.
  std::size_t open(std::size_t requester) const {
    return requesters_.at(requester)->sidecar->core.callsInFlight();
  }
  const CallerAccount& account(std::size_t requester) const {
    return requesters_.at(requester)->callers.account;
  }
  std::size_t requesters() const { return requesters_.size(); }

 private:
  struct Frame {
    TimePoint arrives;
    std::size_t requester = 0;
    /// Of the requester's connection.
    std::uint64_t connection = 0;
    std::size_t bytes = 0;
    runtime::MessagePointer message;
  };
  struct Run {
    TimePoint ends;
    RunId id;
    std::size_t bytes = 0;
  };
  struct Requester {
    /// Messages to it that its connection has not taken, and bytes that it has under way.
    std::deque<runtime::MessagePointer> queued;
    std::size_t under_way = 0;
    CountingCallers callers;
    std::unique_ptr<SidecarFixture> sidecar;
    bool gone = false;
    bool is_cut = false;
    /// Of a cut one: when the first bytes were sent that have no answer.
    std::optional<TimePoint> unanswered_since;
    /// Counts resets.
    std::uint64_t connection = 0;
  };

  runtime::LinkId linkOf(std::size_t requester) const;
  bool isGatePaused() const { return now_ < gate_paused_until_; }
  void tick();
  void resumeGate();
  void sayToGate(runtime::LinkId link, const runtime::MessagePointer& message);
  void endUnansweredLinks();
  /// The target's and the store's heartbeats.
  void beat();
  void askMore();
  void carryRequests();
  void carryAnswers();
  void startRuns();
  void endRuns();
  void tellRequesters(const wire::EndpointUpdateT& update);
  void readAnswers();
  /// Hands queued messages to the link as far as the connection takes them.
  void pump(std::size_t requester);
  void noteEnds();
  /// The links of a gate that is gone end behind what was sent on them.
  void endGateLinks();

  RandomSource random_;
  double load_;
  std::size_t connection_window_;
  std::vector<std::unique_ptr<Requester>> requesters_;
  SidecarFixture gate_;
  bool gate_gone_ = false;
  bool gate_links_ended_ = false;
  TimePoint gate_paused_until_;
  /// What came to the gate while it stood still.
  std::deque<runtime::OutgoingMessage> held_;
  TimePoint gate_stop_began_;
  TimePoint gate_ended_at_;
  TimePoint now_;
  TimePoint next_beat_;
  std::uint64_t beats_ = 0;
  double bytes_due_ = 0;
  std::uint64_t next_call_ = 0;
  std::deque<Run> runs_;
  std::deque<Frame> answers_;
  TimePoint link_free_at_;
};

}  // namespace cometstand::sidecar::test
