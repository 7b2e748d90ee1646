#pragma once

#include <cstddef>
#include <unordered_set>

#include "base/time.h"
#include "mesh/content_digest.h"

namespace cometstand::sidecar {

/// Contents that the target beside this sidecar has run to their end lately. Two generations: what is
/// remembered is between one and two spans old at most, and less if more contents come than a generation
/// holds.
class RunMemory {
 public:
  void note(const mesh::ContentDigest& digest, TimePoint now) {
    turn(now);
    newer_.insert(digest);
  }
  bool contains(const mesh::ContentDigest& digest, TimePoint now) {
    turn(now);
    return newer_.contains(digest) || older_.contains(digest);
  }
  void clear() {
    newer_.clear();
    older_.clear();
  }

 private:
  /// A content that turns against its targets is innocent for so much longer.
  static constexpr Duration kSpan = std::chrono::seconds(5);
  /// Of a generation: reckoned at 300 KB in all, 32 bytes and a node for each. A flood of contents only
  /// shortens the time.
  static constexpr std::size_t kMostContents = 4'096;

  using Digests = std::unordered_set<mesh::ContentDigest, mesh::ContentDigestHash>;

  void turn(TimePoint now) {
    if (now < turn_at_ && newer_.size() < kMostContents) return;
    const bool is_old = now >= turn_at_ + kSpan;
    turn_at_ = now + kSpan;
    older_ = is_old ? Digests() : std::move(newer_);
    newer_ = Digests();
  }

  Digests newer_;
  Digests older_;
  TimePoint turn_at_;
};

}  // namespace cometstand::sidecar
