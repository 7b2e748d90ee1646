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

/// Aggregate of the latest in-force reports of all readers.
struct InForceSummary {
  std::uint64_t proxies = 0;
  /// Lowest version in force on any reported proxy; the current version if no proxy is reported.
  std::uint64_t version = 0;
};

/// Manages the readers: relays that subscribe to the configuration while this replica is the leader. At most
/// one relay per zone is a reader, and readers are admitted at a limited rate. A new reader receives a delta
/// or a snapshot after a quorum has confirmed the leader, then each change as it is applied, and heartbeats
/// after quorum rounds. When leadership is lost, the readers are redirected to the new leader.
class ReaderHub {
 public:
  ReaderHub(StoreContext& context, const ReplicaLinks& replicas);

  void onFollowRequest(runtime::LinkId link, const wire::FollowRequestT& request, TimePoint now);
  void onFreshnessRequest(runtime::LinkId link, std::uint64_t request_id, TimePoint now);
  void onReport(runtime::LinkId link, const wire::InForceReportT& report);
  void onLinkClosed(runtime::LinkId link);
  /// To be called for every message from a relay; it proves that the reader is alive.
  void onHeard(runtime::LinkId link);

  /// @return true if the link belongs to a reader; only readers may send claims.
  bool isReader(runtime::LinkId link) const { return readers_.contains(link); }
  /// @return true if the link belonged to a reader before leadership was lost.
  bool isFormerReader(runtime::LinkId link) const { return former_readers_.contains(link); }

  /// Sends each reader the changes that the state machine has accepted since the last send to that reader.
  void sendChanges();
  void onQuorumRound(const consensus::QuorumRound& round, TimePoint now);
  /// Redirects the readers as soon as the next leader is known, and after the maximum election timeout in any
  /// case. Readers that were redirected earlier would contact replicas that do not know the leader either,
  /// and would be refused with a much longer retry delay.
  void onLeadershipLost(TimePoint now);
  /// To be called when the known leader may have changed; redirects former readers if the leader is known.
  void onLeaderChanged();
  /// @return true while former readers have not yet been redirected to the next leader.
  bool hasPendingRedirects() const { return goodbye_deadline_.has_value(); }
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
    /// Configuration version up to which changes have been sent.
    std::uint64_t version = 0;
    std::uint64_t proxies = 0;
    std::uint64_t in_force_version = 0;
    /// Set while a liveness check is pending: the reader is dropped unless it sends a message by this time.
    std::optional<TimePoint> liveness_deadline;
  };

  void refuse(runtime::LinkId link, const Error& error, const std::vector<runtime::Address>& alternatives);
  void refuseAsFollower(runtime::LinkId link);
  void admit(runtime::LinkId link, const wire::FollowRequestT& request, TimePoint now);
  /// @return true if the request was refused because another relay is the reader of the zone.
  bool refuseForZone(runtime::LinkId link, const wire::FollowRequestT& request, TimePoint now);
  void drop(runtime::LinkId link);
  void sendGoodbye();
  std::vector<runtime::Address> leaderAddress() const;
  runtime::MessagePointer changesFrom(std::uint64_t version);
  wire::QuorumBeatT makeBeat() const;

  StoreContext& context_;
  const ReplicaLinks& replicas_;
  runtime::JoinLimiter limiter_;
  std::map<runtime::LinkId, Reader> readers_;
  /// Links of readers that were admitted before leadership was lost, with the time at which each is closed.
  std::map<runtime::LinkId, TimePoint> former_readers_;
  /// Latest time at which former readers are redirected, even if the next leader is not known.
  std::optional<TimePoint> goodbye_deadline_;
  /// Messages that lead to `shared_messages_version_`, by the reader's version; shared by readers at that
  /// version.
  std::map<std::uint64_t, runtime::MessagePointer> shared_messages_;
  std::uint64_t shared_messages_version_ = 0;
  consensus::QuorumRound round_;
  TimePoint next_beat_;
  bool stopping_ = false;
};

}  // namespace cometstand::store
