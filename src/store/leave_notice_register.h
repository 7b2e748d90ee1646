#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mesh/incarnation.h"
#include "schema/store_generated.h"

namespace cometstand::store {

/// Result of applying a leave notice.
enum class LeaveNoticeResult : std::uint8_t {
  Recorded,
  /// The notice was recorded before.
  Known,
};

/// The incarnations of targets that announced their shutdown, by the node beside them. Part of the replicated
/// state, so that a notice outlives the process that acknowledged it. Applying a notice is deterministic,
/// reads no clock and is idempotent.
///
/// Only the newest notices are kept. A notice is needed until its target has ended, for which the limits
/// leave minutes even when all targets of a large mesh are replaced.
class LeaveNoticeRegister {
 public:
  /// Takes about 4 MB with names of 24 characters.
  static constexpr std::size_t kMaxNotices = 16'384;
  /// Bounds what a target in a crash loop, or a client that makes up ids, can displace.
  static constexpr std::size_t kMaxNoticesPerNode = 32;

  LeaveNoticeResult apply(const wire::LeaveNoticeT& notice);

  bool contains(const std::string& node, const mesh::Incarnation& incarnation) const;
  /// @return the notices of the node, oldest first.
  std::vector<mesh::Incarnation> noticesOf(const std::string& node) const;
  std::size_t size() const { return notices_.size(); }

  /// @return the state for a snapshot; nullptr if it is empty.
  std::shared_ptr<wire::LeaveNoticeStateT> capture() const;
  void restore(const std::shared_ptr<wire::LeaveNoticeStateT>& state);

 private:
  struct Notice {
    std::string node;
    mesh::Incarnation incarnation;
  };
  using Number = std::uint64_t;

  void erase(Number number);

  /// By number, which increases with each notice.
  std::map<Number, Notice> notices_;
  /// Numbers of the notices of each node, ascending.
  std::map<std::string, std::vector<Number>> by_node_;
  Number last_number_ = 0;
};

/// @return the notice in the form in which it is sent and logged.
wire::LeaveNoticeT makeLeaveNotice(const std::string& node, const mesh::Incarnation& incarnation);

}  // namespace cometstand::store
