#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "base/time.h"

namespace cometstand::sidecar {

/// Receiver-driven credit for all large request and response bodies that this sidecar receives: a sender
/// sends only as many bytes as it was granted. The outstanding grants together are bounded by about the bytes
/// that the link delivers in kWindowDuration. Bodies of many senders therefore do not queue on the link,
/// where they would delay small and urgent messages.
///
/// The design follows pHost and Homa (SIGCOMM 2018), without their packet priorities.
class ReceiveCredit {
 public:
  /// Grants further bytes to the sender of a body.
  using Grant = std::function<void(std::uint32_t bytes)>;

  /// Identifies one body in transfer. Flows are ordered as they are granted.
  struct Flow {
    /// Lower values are more urgent.
    unsigned priority = 0;
    std::uint64_t number = 0;
    friend auto operator<=>(const Flow&, const Flow&) = default;  // NOLINT(modernize-use-nullptr)
  };

  /// Expected size of a body of unknown size.
  static constexpr std::size_t kUnknownSize = SIZE_MAX;

  /// Adds a body, which receives its first grant by grantMore().
  /// @param extra_latency time from a grant to the first of its bytes in excess of that between zones of a
  /// region.
  Flow open(unsigned priority, std::size_t expected_bytes, Grant grant, TimePoint now,
            Duration extra_latency = Duration::zero());
  /// Counts received bytes.
  /// @return false if more bytes were received than granted, which is a protocol violation; the state is
  /// unchanged then.
  bool onReceived(const Flow& flow, std::size_t bytes, TimePoint now);
  /// Removes a complete or abandoned body and releases its outstanding credit for others.
  void close(const Flow& flow) { flows_.erase(flow); }
  /// Bounds the credit of a body by the progress of its reader.
  /// @param unread received bytes that the reader has not consumed yet.
  /// @param max_unread limit of the unread and the outstanding bytes together.
  void setReader(const Flow& flow, std::size_t unread, std::size_t max_unread);
  /// Grants to the body irrespective of the window and of its reader from now on, up to a bound over all
  /// expedited bodies and at least one grant each. An expedited body must be complete soon, and its sender
  /// sends such bodies in the order of their due times.
  void expedite(const Flow& flow) { flows_.at(flow).is_expedited = true; }
  /// Records that the reader has consumed bytes.
  void onRead(const Flow& flow, std::size_t bytes);
  /// @return the bytes received so far.
  std::size_t received(const Flow& flow) const { return flows_.at(flow).received; }
  /// @return the bytes granted so far.
  std::size_t granted(const Flow& flow) const { return flows_.at(flow).granted; }

  void grantMore(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// @return the smoothed receive rate, in bytes per second, while bodies are in transfer.
  double rate() const { return rate_; }

 private:
  struct State {
    std::size_t expected_bytes = 0;
    std::size_t granted = 0;
    std::size_t received = 0;
    Grant grant;
    Duration extra_latency{};
    /// Time of the latest part, or of the first grant before any part.
    TimePoint last_progress_at;
    /// The sender has outstanding credit and has sent nothing for kStallTimeout.
    bool stalled = false;
    /// Received bytes that the reader has not consumed; not limited without setReader().
    std::size_t unread = 0;
    std::size_t max_unread = SIZE_MAX;
    bool is_expedited = false;

    std::size_t outstanding() const { return granted - received; }
    bool canGrant() const { return granted < expected_bytes && outstanding() + unread < max_unread; }
  };

  std::size_t windowBytes() const;
  /// @return the outstanding bytes that count towards the window. Bytes in transit because of extra latency
  /// are excluded, as they would fill the window while the link is idle.
  std::size_t outstandingBytes() const;
  std::size_t countedBytes(const State& state) const;
  void grantExpedited(TimePoint now);
  void grantExpeditedPart(State& state, TimePoint now);
  void updateStalled(TimePoint now);
  void updateRate(std::size_t bytes, TimePoint now);

  std::map<Flow, State> flows_;
  std::uint64_t next_number_ = 1;
  double rate_ = kInitialBytesPerSecond;
  /// End of the receive time that measured_time_ covers.
  TimePoint measured_until_;
  Duration measured_time_{};
  std::size_t measured_bytes_ = 0;

  /// Initial estimate of the link's rate, that of a narrow link of 8 Mbit/s.
  static constexpr double kInitialBytesPerSecond = 1e6;
};

}  // namespace cometstand::sidecar
