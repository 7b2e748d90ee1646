#pragma once

#include <algorithm>
#include <cstddef>
#include <map>

#include "base/time.h"
#include "sidecar/gate_asker.h"

namespace cometstand::sidecar {

/// Bytes of answers' bodies that were sent in parts and whose arrival their askers have not confirmed: what
/// stands in the queues of this machine's link and cannot be overtaken any more.
class UnconfirmedBytes {
 public:
  /// Begins with what was sent so far.
  void begin(const GateAsker& asker, std::size_t sent, std::size_t confirmed, TimePoint now) {
    entries_[asker] = {sent, confirmed, now, false};
  }
  void onSent(const GateAsker& asker, std::size_t bytes, TimePoint now) {
    auto& entry = entries_[asker];
    if (entry.bytes() == 0) entry.active_at = now;
    entry.sent += bytes;
  }
  /// @param received all bytes in parts that the asker has.
  void onConfirmed(const GateAsker& asker, std::size_t received, TimePoint now) {
    const auto found = entries_.find(asker);
    if (found == entries_.end()) return;
    auto& entry = found->second;
    if (received > entry.confirmed && received <= entry.sent) {
      entry.confirmed = received;
      entry.active_at = now;
    }
    if (entry.is_whole && entry.bytes() == 0) entries_.erase(found);
  }
  /// Nothing more is sent of the answer.
  void finish(const GateAsker& asker) {
    const auto found = entries_.find(asker);
    if (found != entries_.end()) found->second.is_whole = true;
  }
  void forget(const GateAsker& asker) { entries_.erase(asker); }
  void forgetLink(runtime::LinkId link) {
    std::erase_if(entries_, [link](const auto& item) { return item.first.link == link; });
  }
  /// Takes for confirmed what nobody has confirmed for kConfirmTime.
  void expire(TimePoint now) {
    for (auto& [asker, entry] : entries_) {
      if (now >= entry.active_at + kConfirmTime) entry.confirmed = entry.sent;
    }
    std::erase_if(entries_,
                  [](const auto& item) { return item.second.is_whole && item.second.bytes() == 0; });
  }

  /// @return those of one asker's answer.
  std::size_t of(const GateAsker& asker) const {
    const auto found = entries_.find(asker);
    return found == entries_.end() ? 0 : found->second.bytes();
  }
  std::size_t total() const {
    std::size_t bytes = 0;
    for (const auto& [asker, entry] : entries_) bytes += entry.bytes();
    return bytes;
  }
  /// @return when expire() is due.
  TimePoint nextExpiry() const {
    TimePoint next = TimePoint::max();
    for (const auto& [asker, entry] : entries_) {
      if (entry.bytes() > 0) next = std::min(next, entry.active_at + kConfirmTime);
    }
    return next;
  }

 private:
  struct Entry {
    std::size_t sent = 0;
    std::size_t confirmed = 0;
    /// Of the newest confirmation, or of the first bytes after all were confirmed.
    TimePoint active_at;

    bool is_whole = false;

    std::size_t bytes() const { return sent - confirmed; }
  };

  /// An asker that has confirmed nothing for so long is dead or cut off: behind a full link of 10 Mbit/s a
  /// confirmation comes after 0.4 to 0.7 s (reckoned, with 30 askers of 16 KiB each).
  static constexpr Duration kConfirmTime = std::chrono::milliseconds(1'500);

  std::map<GateAsker, Entry> entries_;
};

}  // namespace cometstand::sidecar
