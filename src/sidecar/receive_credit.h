#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "base/time.h"

namespace cometstand::sidecar {

/// Receiver-driven credit for all large bodies that come to this sidecar, of requests and of answers: a
/// sender sends only as many bytes as it was granted. All grants together are bounded by about what the link
/// brings in kGrantTime, so bodies of many senders never queue up on the link, where small and urgent
/// messages would wait behind them.
///
/// It follows the published designs of pHost and Homa (SIGCOMM 2018), without their packet priorities.
class ReceiveCredit {
 public:
  /// Tells a body's sender that it may send so many more bytes.
  using Grant = std::function<void(std::uint32_t bytes)>;

  /// Names one body that comes; in the order of the grants.
  struct Flow {
    /// The lower the more urgent.
    unsigned priority = 0;
    std::uint64_t number = 0;
    friend auto operator<=>(const Flow&, const Flow&) = default;  // NOLINT(modernize-use-nullptr)
  };

  /// Of a body whose size is not known.
  static constexpr std::size_t kUnknownSize = SIZE_MAX;

  /// Adds a body; grantMore() then grants to it.
  /// @param way time from a grant to the first of its bytes, as far as it is longer than between zones.
  Flow open(unsigned priority, std::size_t expected, Grant grant, TimePoint now,
            Duration way = Duration::zero());
  /// Counts bytes that came. @return false if they are more than was granted, which no sound sender sends;
  /// nothing has changed then.
  bool onReceived(const Flow& flow, std::size_t bytes, TimePoint now);
  /// The body is whole or given up. What it was granted is free for others.
  void close(const Flow& flow) { flows_.erase(flow); }
  /// From now on at most so many bytes are granted beyond what the body's reader took.
  /// @param unread bytes that it has not taken by now.
  void setReader(const Flow& flow, std::size_t unread, std::size_t most_unread);
  /// From now on the body is granted beside the window and whatever its reader has taken, up to a bound over
  /// all such bodies and at least a part each: it must be whole soon, and its sender knows the order.
  void expedite(const Flow& flow) { flows_.at(flow).is_expedited = true; }
  /// The reader took bytes.
  void onRead(const Flow& flow, std::size_t bytes);
  /// @return bytes that came so far.
  std::size_t received(const Flow& flow) const { return flows_.at(flow).received; }
  /// @return bytes that the sender was granted so far.
  std::size_t granted(const Flow& flow) const { return flows_.at(flow).granted; }

  void grantMore(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// @return smoothed bytes each second while bodies come.
  double rate() const { return rate_; }

 private:
  struct State {
    std::size_t expected = 0;
    std::size_t granted = 0;
    std::size_t received = 0;
    Grant grant;
    Duration way{};
    /// Of the last part, or of the first grant.
    TimePoint active_at;
    /// The sender was granted bytes and has sent none for long.
    bool stalled = false;
    /// Bytes that came and that the reader has not taken; not bounded without a reader.
    std::size_t unread = 0;
    std::size_t most_unread = SIZE_MAX;
    bool is_expedited = false;

    std::size_t outstanding() const { return granted - received; }
    bool mayGrant() const { return granted < expected && outstanding() + unread < most_unread; }
  };

  std::size_t window() const;
  /// @return granted bytes that are not on a long way: with those on it, and only them, the window would be
  /// full while the link is idle.
  std::size_t outstandingBytes() const;
  std::size_t countedBytes(const State& state) const;
  void grantExpedited(TimePoint now);
  void grantPart(State& state, TimePoint now);
  void noteStalled(TimePoint now);
  void noteReceived(std::size_t bytes, TimePoint now);

  std::map<Flow, State> flows_;
  std::uint64_t next_number_ = 1;
  double rate_ = kFirstRate;
  /// Up to when the time in which bodies came is counted.
  TimePoint measured_until_;
  Duration measured_time_{};
  std::size_t measured_bytes_ = 0;

  /// Taken for the link's rate until it was measured: a narrow link of some Mbit/s.
  static constexpr double kFirstRate = 1e6;
};

}  // namespace cometstand::sidecar
