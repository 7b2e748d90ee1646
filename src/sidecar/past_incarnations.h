#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>

#include "mesh/incarnation.h"

namespace cometstand::sidecar {

/// Incarnations of the target beside a sidecar that another one followed, or that are gone: late words of
/// theirs change nothing.
///
/// The newest kMost are known. A target that starts again and again, or a writer that makes up names, must
/// not take memory for as long as the sidecar runs. A word that comes late by as many restarts would have
/// been held back for minutes.
class PastIncarnations {
 public:
  /// With ids of 20 characters about 20 KB.
  static constexpr std::size_t kMost = 256;

  void add(const mesh::Incarnation& incarnation) {
    if (contains(incarnation)) return;
    if (incarnations_.size() == kMost) incarnations_.pop_front();
    incarnations_.push_back(incarnation);
  }
  bool contains(const mesh::Incarnation& incarnation) const {
    return std::find(incarnations_.begin(), incarnations_.end(), incarnation) != incarnations_.end();
  }
  /// @return true if one of them had the id.
  bool containsId(const std::string& id) const {
    return std::any_of(incarnations_.begin(), incarnations_.end(),
                       [&id](const mesh::Incarnation& past) { return past.id == id; });
  }
  std::size_t size() const { return incarnations_.size(); }

 private:
  /// The oldest first.
  std::deque<mesh::Incarnation> incarnations_;
};

}  // namespace cometstand::sidecar
