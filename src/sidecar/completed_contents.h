#pragma once

#include <cstddef>
#include <unordered_set>

#include "base/time.h"
#include "mesh/content_digest.h"

namespace cometstand::sidecar {

/// Digests of the requests that the target has completed recently, in two generations: an entry is kept for
/// one to two generation lifetimes, or less if more contents arrive than a generation holds.
class CompletedContents {
 public:
  void record(const mesh::ContentDigest& digest, TimePoint now) {
    rotate(now);
    current_.insert(digest);
  }
  bool contains(const mesh::ContentDigest& digest, TimePoint now) {
    rotate(now);
    return current_.contains(digest) || previous_.contains(digest);
  }
  void clear() {
    current_.clear();
    previous_.clear();
  }

 private:
  /// A content that starts to crash its targets still counts as harmless for this long after it was last
  /// completed.
  static constexpr Duration kGenerationLifetime = std::chrono::seconds(5);
  /// Both generations together take about 300 KB, at 32 bytes and a node for each entry. A flood of contents
  /// only shortens the time for which they are kept.
  static constexpr std::size_t kMaxContentsPerGeneration = 4'096;

  using Digests = std::unordered_set<mesh::ContentDigest, mesh::ContentDigestHash>;

  void rotate(TimePoint now) {
    if (now < rotate_at_ && current_.size() < kMaxContentsPerGeneration) return;
    const bool is_outdated = now >= rotate_at_ + kGenerationLifetime;
    rotate_at_ = now + kGenerationLifetime;
    previous_ = is_outdated ? Digests() : std::move(current_);
    current_ = Digests();
  }

  Digests current_;
  Digests previous_;
  TimePoint rotate_at_;
};

}  // namespace cometstand::sidecar
