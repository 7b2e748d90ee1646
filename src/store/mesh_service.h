#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "store/mesh_register.h"
#include "store/proposal_waits.h"
#include "store/store_context.h"

namespace cometstand::store {

/// What an operator is told of a change or a read of the mesh configuration.
enum class MeshAnswerKind : std::uint8_t {
  /// The change is in force, or the read's answer is the newest configuration.
  Done,
  /// Another revision is current.
  Conflict,
  /// The revision of the change is not above the current one.
  Stale,
  /// Not run: ask the replica at `leader`, if that is known.
  NotLeader,
  /// Whether the change took effect is not known: send it again.
  Unknown,
};

struct MeshAnswer {
  MeshAnswerKind kind = MeshAnswerKind::Unknown;
  std::uint64_t revision = 0;
  /// Of a read: the operator's text; empty before the first change.
  std::vector<std::uint8_t> document;
  /// Of NotLeader.
  std::optional<runtime::Address> leader;
};

using MeshAnswerHandler = std::function<void(const MeshAnswer&)>;

/// Changes and reads of the whole mesh configuration, for callers in the same process. A change is answered
/// once its log entry is applied; a read once a quorum confirmed this replica as the leader after the call.
class MeshService {
 public:
  explicit MeshService(StoreContext& context) : context_(context) {}

  /// @param change with the contents as they are. @param handler called exactly once, now or later.
  /// @throw Error(Invalid) if the change is too large.
  void change(const wire::MeshChangeT& change, const MeshAnswerHandler& handler, TimePoint now);
  void read(MeshAnswerHandler handler, TimePoint now);

  /// @param results of the entry's commands.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
    proposals_.onApplied(entry, results);
  }
  void onLeadershipLost() { proposals_.onLeadershipLost(); }
  void onTimer(TimePoint now) { proposals_.onTimer(now); }
  TimePoint nextTimer() const { return proposals_.nextTimer(); }
  bool idle() const { return proposals_.idle(); }

 private:
  MeshAnswer notLeader() const;
  MeshAnswer answerOf(const CommandResult* result) const;

  StoreContext& context_;
  ProposalWaits proposals_{context_};
};

}  // namespace cometstand::store
