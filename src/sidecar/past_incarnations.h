#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>

#include "mesh/incarnation.h"

namespace cometstand::sidecar {

/// Superseded or deregistered incarnations of the target beside a sidecar, whose late messages are ignored.
///
/// Only the newest kMaxIncarnations are kept, so that neither a target in a crash loop nor a client that
/// sends made-up ids can grow memory without bound. A message of an incarnation that was already evicted
/// would have to be delayed by that many restarts, that is, by minutes.
class PastIncarnations {
 public:
  /// Takes about 20 KB with ids of 20 characters.
  static constexpr std::size_t kMaxIncarnations = 256;

  void add(const mesh::Incarnation& incarnation) {
    if (contains(incarnation)) return;
    if (incarnations_.size() == kMaxIncarnations) incarnations_.pop_front();
    incarnations_.push_back(incarnation);
  }
  void remove(const mesh::Incarnation& incarnation) { std::erase(incarnations_, incarnation); }
  bool contains(const mesh::Incarnation& incarnation) const {
    return std::find(incarnations_.begin(), incarnations_.end(), incarnation) != incarnations_.end();
  }
  /// @return true if it is contained, or if an incarnation of its id without a start time is, which may be
  /// any of that id.
  bool covers(const mesh::Incarnation& incarnation) const {
    return contains(incarnation) || contains({incarnation.id, 0});
  }
  /// @return true if a past incarnation with this id started later.
  bool containsLater(const mesh::Incarnation& incarnation) const {
    return std::any_of(incarnations_.begin(), incarnations_.end(), [&](const mesh::Incarnation& past) {
      return past.id == incarnation.id && past.born_ms > incarnation.born_ms;
    });
  }
  /// @return true if any past incarnation had this id.
  bool containsId(const std::string& id) const {
    return std::any_of(incarnations_.begin(), incarnations_.end(),
                       [&id](const mesh::Incarnation& past) { return past.id == id; });
  }
  std::size_t size() const { return incarnations_.size(); }

 private:
  /// Ordered from oldest to newest.
  std::deque<mesh::Incarnation> incarnations_;
};

}  // namespace cometstand::sidecar
