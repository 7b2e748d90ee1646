#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

#include "base/time.h"

namespace cometstand::sidecar {

/// Priority of a request when the tokens of a link share run low.
enum class TransferPriority : std::uint8_t {
  /// Urgent and small requests, which may use all tokens.
  High,
  /// Requests that are either urgent or small.
  Normal,
  /// Requests that are neither urgent nor small.
  Low
};

/// One sender's share of a link that many senders use. It is a token bucket of bytes whose rate never exceeds
/// the ceiling and is reduced while the link has a queue (additive increase, multiplicative decrease).
class LinkShare {
 public:
  /// Rate of a link without a known capacity.
  static constexpr double kUnbounded = std::numeric_limits<double>::infinity();

  /// @param rate the maximum rate of this sender in bytes per second.
  void setCeiling(double rate) { ceiling_ = rate; }

  /// @return true if a transfer of that size may begin now. A transfer larger than the bucket requires a full
  /// bucket, and its excess leaves a negative token balance.
  bool admits(std::size_t bytes, TransferPriority kind, TimePoint now);
  /// Takes the tokens for a transfer of that size.
  void take(std::size_t bytes, TimePoint now);
  /// Corrects the tokens taken for a transfer by the difference to its actual size.
  /// @param more_bytes the actual bytes less the bytes taken; negative for a smaller transfer.
  void settle(double more_bytes, TimePoint now);

  /// Adapts the rate, at most once per kAdaptInterval. Must be called for each response.
  /// @param is_queued the link has a queue.
  /// @return true if this call starts a reduction of the rate below its ceiling.
  bool adapt(bool is_queued, TimePoint now);

  /// @return the rate in bytes per second; kUnbounded if there is no limit.
  double rate() const;

 private:
  void refill(TimePoint now);
  double bucketBytes() const;
  void recover();

  double ceiling_ = kUnbounded;
  /// Limit of the rate while it recovers from a queue on the link.
  std::optional<double> reduced_rate_;
  /// Value of reduced_rate_ after the latest decrease.
  double rate_after_decrease_ = 0;
  double tokens_ = 0;
  std::optional<TimePoint> refilled_at_;
  /// Bytes used since the last adaptation.
  double used_bytes_ = 0;
  std::optional<TimePoint> adapted_at_;
};

}  // namespace cometstand::sidecar
