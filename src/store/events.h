#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::store {

inline constexpr EventDefinition kReaderAdmitted{
    3001, LogLevel::Info, "reader_admitted",
    "A relay was admitted as a reader of the configuration on this replica. No action is needed."};
inline constexpr EventDefinition kReaderLost{
    3002, LogLevel::Info, "reader_lost",
    "A reader's link was closed. Another relay of its zone takes over; "
    "check the zone's relays if no reader_admitted follows."};
inline constexpr EventDefinition kReaderRefused{
    3003, LogLevel::Info, "reader_refused",
    "A relay was rejected as a reader and given the time to retry or the replica to use instead. Follow the "
    "remedy in the event if it repeats."};
inline constexpr EventDefinition kReaderUnresponsive{
    3004, LogLevel::Warning, "reader_silent",
    "A reader did not respond while another relay of its zone requested admission; its link was closed. "
    "Check the relay that did not respond."};
inline constexpr EventDefinition kSnapshotTooLarge{
    3005, LogLevel::Error, "snapshot_too_large",
    "The state exceeds the maximum size of a snapshot, so the log cannot be compacted and grows without "
    "bound. Delete configuration objects that are not needed."};
inline constexpr EventDefinition kUnexpectedPeer{
    3006, LogLevel::Warning, "unexpected_peer",
    "A peer sent a message that the role in its certificate does not permit; its link was closed. Check the "
    "certificate's role."};
inline constexpr EventDefinition kStopBegan{
    3007, LogLevel::Info, "store_stop_began",
    "A planned stop began; a leader transfers its leadership first. No action is needed."};
inline constexpr EventDefinition kReplacementDone{
    3008, LogLevel::Info, "replica_replaced",
    "The new replica votes in place of the old one, and both membership changes are committed. The repair is "
    "complete."};
inline constexpr EventDefinition kBootstrapRefused{
    3009, LogLevel::Error, "bootstrap_refused",
    "The data folder is empty although the cluster has been formed: this replica's disk was lost. Start it "
    "under a new id without bootstrap, add it with add replica, and let it replace the old id with replace "
    "replica."};
inline constexpr EventDefinition kFormationWaiting{
    3010, LogLevel::Warning, "formation_waiting",
    "Forming a cluster requires all initial voters, and some have not responded. Start them, and check "
    "store.replicas and the network."};

inline constexpr EventDefinition kMembershipStep{
    3011, LogLevel::Info, "membership_step",
    "The leader began a membership change: a replica is added, promoted to voter, replaced or removed. No "
    "action is needed."};
inline constexpr EventDefinition kNodeLinked{3012, LogLevel::Info, "node_linked",
                                             "A node connected to this replica. No action is needed."};
inline constexpr EventDefinition kNodeLost{
    3013, LogLevel::Info, "node_lost",
    "A node's link was closed. If the node does not reconnect, its endpoint is removed after a short lease."};
inline constexpr EventDefinition kRolloutOrdered{
    3014, LogLevel::Info, "rollout_ordered",
    "An operator ordered a roll-out of a service's version, or repeated the order. No action is needed."};
inline constexpr EventDefinition kRolloutStep{
    3015, LogLevel::Info, "rollout_step",
    "The leader took a step of a roll-out; the reason field gives the cause. After a rollback, investigate "
    "the route named in the reason."};

inline constexpr EventDefinition kCrashReported{
    3016, LogLevel::Warning, "crash_reported",
    "A node reported that its target ended while it was running requests, which are now suspected. Crashes "
    "with the same event number occurred together. The suspects are listed in the node's target_ended "
    "event."};
inline constexpr EventDefinition kContentQuarantined{
    3017, LogLevel::Error, "content_quarantined",
    "A request has crashed several targets and is now rejected by all nodes. Check the logs of the listed "
    "instances, and release the content once the service is fixed: see docs/OPERATIONS.md."};
inline constexpr EventDefinition kContentCleared{
    3018, LogLevel::Info, "content_cleared",
    "A suspected request completed without a crash and is no longer suspected. No action is needed."};
inline constexpr EventDefinition kContentReleased{
    3019, LogLevel::Warning, "content_released",
    "A suspicion or quarantine of a request is lifted. If final is false, the request stays suspected after "
    "its quarantine, and its next crash quarantines it again. Watch for content_quarantined."};

inline constexpr EventDefinition kEvacuationOrdered{
    3020, LogLevel::Info, "evacuation_ordered",
    "An operator ordered the evacuation of a zone or its end, or repeated such an order. If is_held is true, "
    "the order may be a delayed duplicate and takes effect only when it is repeated."};

inline constexpr EventDefinition kQuotaBegan{
    3021, LogLevel::Info, "quota_began",
    "This store now grants the tenants' quota tokens. Tokens of several leaderships, this one included, may "
    "be in use; the more leaderships there are, the fewer tokens are granted for a few seconds. No action is "
    "needed."};

inline constexpr EventDefinition kQuotaUnreadable{
    3022, LogLevel::Error, "quota_unreadable",
    "The current configuration cannot be decoded, so the tenants' limits of the previous one stay in force. "
    "Run the same release on all stores."};

inline constexpr EventDefinition kLeaveNoticeCommitted{
    3023, LogLevel::Info, "leave_notice_committed",
    "A target's announced shutdown is committed, and its node was told so. No action is needed."};

inline constexpr EventDefinition kLeaveNoticeInvalid{3024, LogLevel::Warning, "leave_notice_invalid",
                                                     "A node sent a leave notice whose id is empty or too "
                                                     "long, and it was ignored. Check that all machines run "
                                                     "the same release."};

inline constexpr EventDefinition kLossNotTolerable{
    3025, LogLevel::Warning, "loss_not_tolerable",
    "So few voters respond that the loss of one more would leave no quorum. The leader replaces voters that "
    "do not respond as soon as a learner has caught up; if learners_caught_up is 0, start another replica."};
inline constexpr EventDefinition kLossTolerable{
    3026, LogLevel::Info, "loss_tolerable",
    "Enough voters respond again that the quorum survives the loss of any one of them. No action is needed."};

inline constexpr EventDefinition kMembershipStepDeferred{
    3028, LogLevel::Debug, "membership_step_deferred",
    "A membership change cannot begin yet; the leader tries it again. No action is needed."};

inline constexpr EventDefinition kSeedLeftOut{
    3027, LogLevel::Warning, "seed_left_out",
    "A seed did not respond during the first start, so the cluster begins without it. Start it, or another "
    "replica in its place; it joins by itself."};

inline constexpr std::array kStoreEvents{kReaderAdmitted,
                                         kReaderLost,
                                         kReaderRefused,
                                         kReaderUnresponsive,
                                         kSnapshotTooLarge,
                                         kUnexpectedPeer,
                                         kStopBegan,
                                         kReplacementDone,
                                         kBootstrapRefused,
                                         kFormationWaiting,
                                         kMembershipStep,
                                         kNodeLinked,
                                         kNodeLost,
                                         kRolloutOrdered,
                                         kRolloutStep,
                                         kCrashReported,
                                         kContentQuarantined,
                                         kContentCleared,
                                         kContentReleased,
                                         kEvacuationOrdered,
                                         kQuotaBegan,
                                         kQuotaUnreadable,
                                         kLeaveNoticeCommitted,
                                         kLeaveNoticeInvalid,
                                         kLossNotTolerable,
                                         kLossTolerable,
                                         kSeedLeftOut,
                                         kMembershipStepDeferred};

}  // namespace cometstand::store
