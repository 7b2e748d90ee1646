#pragma once

#include <algorithm>
#include <cstddef>
#include <map>

#include "base/time.h"
#include "sidecar/gate_requester.h"

namespace cometstand::sidecar {

/// Tracks the bytes of response bodies that were sent in parts and that the requesters have not confirmed:
/// these are queued on this machine's link, and later messages cannot overtake them.
class UnconfirmedBytes {
 public:
  /// Starts tracking a response of which some bytes may have been sent in parts before.
  void begin(const GateRequester& requester, std::size_t sent, std::size_t confirmed, TimePoint now) {
    entries_[requester] = {sent, confirmed, now, false};
  }
  void onSent(const GateRequester& requester, std::size_t bytes, TimePoint now) {
    auto& entry = entries_[requester];
    if (entry.bytes() == 0) entry.last_progress_at = now;
    entry.sent += bytes;
  }
  /// @param received total number of bytes that the requester has received in parts.
  void onConfirmed(const GateRequester& requester, std::size_t received, TimePoint now) {
    const auto found = entries_.find(requester);
    if (found == entries_.end()) return;
    auto& entry = found->second;
    if (received > entry.confirmed && received <= entry.sent) {
      entry.confirmed = received;
      entry.last_progress_at = now;
    }
    if (entry.is_finished && entry.bytes() == 0) entries_.erase(found);
  }
  /// Marks the response as completely sent; its entry is erased when all bytes are confirmed.
  void finish(const GateRequester& requester) {
    const auto found = entries_.find(requester);
    if (found != entries_.end()) found->second.is_finished = true;
  }
  void forget(const GateRequester& requester) { entries_.erase(requester); }
  void forgetLink(runtime::LinkId link) {
    std::erase_if(entries_, [link](const auto& item) { return item.first.link == link; });
  }
  /// Treats the bytes of a response as confirmed if no confirmation has arrived for kConfirmTimeout.
  void expire(TimePoint now) {
    for (auto& [requester, entry] : entries_) {
      if (now >= entry.last_progress_at + kConfirmTimeout) entry.confirmed = entry.sent;
    }
    std::erase_if(entries_,
                  [](const auto& item) { return item.second.is_finished && item.second.bytes() == 0; });
  }

  /// @return the unconfirmed bytes of one response.
  std::size_t bytesOf(const GateRequester& requester) const {
    const auto found = entries_.find(requester);
    return found == entries_.end() ? 0 : found->second.bytes();
  }
  std::size_t totalBytes() const {
    std::size_t bytes = 0;
    for (const auto& [requester, entry] : entries_) bytes += entry.bytes();
    return bytes;
  }
  /// @return the time at which expire() must be called next.
  TimePoint nextExpiry() const {
    TimePoint next = TimePoint::max();
    for (const auto& [requester, entry] : entries_) {
      if (entry.bytes() > 0) next = std::min(next, entry.last_progress_at + kConfirmTimeout);
    }
    return next;
  }

 private:
  struct Entry {
    std::size_t sent = 0;
    std::size_t confirmed = 0;
    /// Time of the latest confirmation, or of the first bytes sent after all others were confirmed.
    TimePoint last_progress_at;

    bool is_finished = false;

    std::size_t bytes() const { return sent - confirmed; }
  };

  /// A requester without a confirmation for this long has failed or is unreachable. Behind a full link of
  /// 10 Mbit/s, with 30 requesters of 16 KiB each, a confirmation takes an estimated 0.4 to 0.7 s.
  static constexpr Duration kConfirmTimeout = std::chrono::milliseconds(1'500);

  std::map<GateRequester, Entry> entries_;
};

}  // namespace cometstand::sidecar
