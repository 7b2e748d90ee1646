#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/join_limiter.h"
#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Summary of what the readers reported.
struct InForceSummary {
  std::uint64_t proxies = 0;
  /// Smallest version in force on a reported proxy; the current version if none is reported.
  std::uint64_t version = 0;
};

/// Relays that follow the configuration from this replica while it leads: one a zone, admitted at a limited
/// rate. Each gets a delta or a snapshot once a quorum confirmed this leader, every later change at once, and
/// beats after quorum rounds. Once leadership is lost, the readers are sent to the new leader.
class ReaderHub {
 public:
  ReaderHub(StoreContext& context, const ReplicaLinks& replicas);

  void onFollowRequest(runtime::LinkId link, const wire::FollowRequestT& request, TimePoint now);
  void onFreshnessRequest(runtime::LinkId link, std::uint64_t request_id, TimePoint now);
  void onReport(runtime::LinkId link, const wire::InForceReportT& report);
  void onLinkClosed(runtime::LinkId link);
  /// Any message of a reader.
  void onHeard(runtime::LinkId link);

  /// @return true if the link is a reader's and may carry claims.
  bool isReader(runtime::LinkId link) const { return readers_.contains(link); }
  /// @return true if the link was a reader's before leadership was lost.
  bool isFormerReader(runtime::LinkId link) const { return former_.contains(link); }

  /// Sends the readers what the state machine has accepted since.
  void sendChanges();
  void onQuorumRound(const consensus::QuorumRound& round, TimePoint now);
  /// Readers are sent to the next leader as soon as it is known, at the latest after an election's time. Sent
  /// away sooner, they would ask replicas that cannot name it either, and be told to come back much later.
  void onLeadershipLost(TimePoint now);
  /// The leader may have become known.
  void onLeaderChanged();
  /// @return true while former readers wait for the next leader's name.
  bool owesGoodbye() const { return goodbye_due_.has_value(); }
  void beginStop() { stopping_ = true; }
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  std::vector<runtime::LinkId> links() const;
  std::string nameOf(runtime::LinkId link) const;
  std::size_t size() const { return readers_.size(); }
  InForceSummary inForce() const;

 private:
  struct Reader {
    std::string relay;
    std::string zone;
    runtime::Address address;
    /// Up to where changes were sent.
    std::uint64_t version = 0;
    std::uint64_t proxies = 0;
    std::uint64_t in_force_version = 0;
    /// Set while the reader must answer a question to prove that it lives.
    std::optional<TimePoint> proof_due;
  };

  void refuse(runtime::LinkId link, const Error& error, const std::vector<runtime::Address>& alternatives);
  void refuseAsFollower(runtime::LinkId link);
  void admit(runtime::LinkId link, const wire::FollowRequestT& request, TimePoint now);
  /// @return true if another reader of the zone stays and the request was refused.
  bool refuseForZone(runtime::LinkId link, const wire::FollowRequestT& request, TimePoint now);
  void drop(runtime::LinkId link);
  void sayGoodbye();
  std::vector<runtime::Address> leaderAddress() const;
  runtime::MessagePointer changesFrom(std::uint64_t version);
  wire::QuorumBeatT makeBeat() const;

  StoreContext& context_;
  const ReplicaLinks& replicas_;
  runtime::JoinLimiter limiter_;
  std::map<runtime::LinkId, Reader> readers_;
  /// Links of readers from before leadership was lost, with the time at which they are closed.
  std::map<runtime::LinkId, TimePoint> former_;
  /// When former readers are sent away at the latest.
  std::optional<TimePoint> goodbye_due_;
  /// Messages at the current version, shared by readers that are at the same version.
  std::map<std::uint64_t, runtime::MessagePointer> shared_;
  std::uint64_t shared_at_ = 0;
  consensus::QuorumRound round_;
  TimePoint next_beat_;
  bool stopping_ = false;
};

}  // namespace cometstand::store
