#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

#include "base/time.h"

namespace cometstand::sidecar {

/// How readily a request gives way to others that want the same bytes.
enum class TransferClass : std::uint8_t {
  /// Urgent and small: may use all that is left.
  First,
  /// Urgent, or small.
  Second,
  /// Neither.
  Last
};

/// One sender's share of a link that many senders use: a token bucket of bytes, whose rate never exceeds the
/// ceiling and falls while the link shows a queue (additive increase, multiplicative decrease).
class LinkShare {
 public:
  /// Of a link without a known capacity.
  static constexpr double kUnbounded = std::numeric_limits<double>::infinity();

  /// @param rate bytes a second that this sender may use at most.
  void setCeiling(double rate) { ceiling_ = rate; }

  /// @return true if a transfer of that size may begin now. One that is larger than the bucket needs a full
  /// one, and is paid off afterwards.
  bool admits(std::size_t bytes, TransferClass kind, TimePoint now);
  void take(std::size_t bytes, TimePoint now);
  /// The transfer was larger (or smaller, below zero) than was taken for it.
  void settle(double more_bytes, TimePoint now);

  /// Adapts the rate, at most once an interval; to be called with each answer.
  /// @param is_queued the link shows a queue.
  /// @return true if the rate falls below its ceiling by this.
  bool adapt(bool is_queued, TimePoint now);

  /// @return bytes a second; kUnbounded if there is no bound.
  double rate() const;

 private:
  void refill(TimePoint now);
  double depth() const;
  void recover();

  double ceiling_ = kUnbounded;
  /// The rate since the link last showed a queue.
  std::optional<double> reduced_;
  /// The rate to which reduced_ fell.
  double reduced_to_ = 0;
  double tokens_ = 0;
  std::optional<TimePoint> filled_at_;
  /// Since the last adaptation.
  double used_ = 0;
  std::optional<TimePoint> adapted_at_;
};

}  // namespace cometstand::sidecar
