#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::store {

inline constexpr EventDefinition kReaderAdmitted{
    3001, LogLevel::Info, "reader_admitted",
    "A relay reads the configuration from this replica from now on. No action is needed."};
inline constexpr EventDefinition kReaderLost{3002, LogLevel::Info, "reader_lost",
                                             "A reader's link ended. Another relay of its zone takes over; "
                                             "check the zone's relays if no reader_admitted follows."};
inline constexpr EventDefinition kReaderRefused{
    3003, LogLevel::Info, "reader_refused",
    "A relay was refused and told when or where to go. Follow the remedy in the event if it repeats."};
inline constexpr EventDefinition kReaderSilent{3004, LogLevel::Warning, "reader_silent",
                                               "A reader did not answer while another relay of its zone "
                                               "asked to read; its link was closed. Check that relay."};
inline constexpr EventDefinition kSnapshotTooLarge{3005, LogLevel::Error, "snapshot_too_large",
                                                   "The state does not fit a snapshot, so the log grows "
                                                   "without bound. Delete configuration objects that are "
                                                   "not needed."};
inline constexpr EventDefinition kUnexpectedPeer{
    3006, LogLevel::Warning, "unexpected_peer",
    "A link sent what its certificate does not allow and was closed. Check the certificate's role."};
inline constexpr EventDefinition kStopBegan{
    3007, LogLevel::Info, "store_stop_began",
    "A planned stop began; a leader hands leadership over first. No action "
    "is needed."};
inline constexpr EventDefinition kReplacementDone{
    3008, LogLevel::Info, "replica_replaced",
    "The new replica votes in place of the old one, and both membership changes are committed. The repair is "
    "complete."};
inline constexpr EventDefinition kBootstrapRefused{
    3009, LogLevel::Error, "bootstrap_refused",
    "The folder is empty, but the cluster runs already: this replica's disk was lost. Start it under a new "
    "id "
    "without bootstrap, add it with add replica, and let it replace the old id with replace replica."};
inline constexpr EventDefinition kFormationWaiting{
    3010, LogLevel::Warning, "formation_waiting",
    "The first start of a cluster needs all first voters, and some have not answered. Start them, and check "
    "store.replicas and the network."};

inline constexpr EventDefinition kMembershipStep{3011, LogLevel::Info, "membership_step",
                                                 "The leader began a change of the membership: a replica "
                                                 "joins, votes, replaces another or is removed. No action "
                                                 "is needed."};
inline constexpr EventDefinition kNodeLinked{3012, LogLevel::Info, "node_linked",
                                             "A node linked itself to this replica. No action is needed."};
inline constexpr EventDefinition kNodeLost{
    3013, LogLevel::Info, "node_lost",
    "A node's link ended. If it does not come back, its endpoint is taken out after a short lease."};
inline constexpr EventDefinition kRolloutOrdered{
    3014, LogLevel::Info, "rollout_ordered",
    "An operator orders a roll-out of a service's version, or sends the order again. No action is needed."};
inline constexpr EventDefinition kRolloutStep{
    3015, LogLevel::Info, "rollout_step",
    "The leader decided a step of a roll-out; the reason names what decided it. After a rollback, look into "
    "the route that the reason names."};

inline constexpr EventDefinition kCrashReported{
    3016, LogLevel::Warning, "crash_reported",
    "A node reports that its target ended while it had requests, each of which is a suspect now. Crashes "
    "with one "
    "event number came together. Look for the suspects in the node's target_ended."};
inline constexpr EventDefinition kContentQuarantined{
    3017, LogLevel::Error, "content_quarantined",
    "A request has ended several targets and is refused from now on, wherever it comes. Look into the named "
    "instances' own logs; release the content once the service is mended: see docs/OPERATIONS.md."};
inline constexpr EventDefinition kContentCleared{
    3018, LogLevel::Info, "content_cleared",
    "A suspected request has run to its end, so nothing is held against it any more. No action is needed."};
inline constexpr EventDefinition kContentReleased{
    3019, LogLevel::Warning, "content_released",
    "What is held against a request ends, or after a quarantine is eased: then the next crash under it "
    "quarantines it again. Watch for content_quarantined."};

inline constexpr EventDefinition kEvacuationOrdered{
    3020, LogLevel::Info, "evacuation_ordered",
    "An operator orders that a zone's targets get no requests, or get them again, or sends such an order "
    "again. If is_held is true it may be a late copy, and is taken when it comes once more."};

inline constexpr EventDefinition kQuotaBegan{
    3021, LogLevel::Info, "quota_began",
    "This store hands out the tokens of tenants. Of so many leaderships, this one among them, tokens may be "
    "in "
    "use: the more there are, the fewer it gives, for a few seconds. No action is needed."};

inline constexpr EventDefinition kQuotaUnreadable{3022, LogLevel::Error, "quota_unreadable",
                                                  "The configuration that is in force cannot be read, so "
                                                  "tenants keep the limits of the one before. Run the "
                                                  "same release on all stores."};

inline constexpr std::array kStoreEvents{
    kReaderAdmitted, kReaderLost,         kReaderRefused,   kReaderSilent,     kSnapshotTooLarge,
    kUnexpectedPeer, kStopBegan,          kReplacementDone, kBootstrapRefused, kFormationWaiting,
    kMembershipStep, kNodeLinked,         kNodeLost,        kRolloutOrdered,   kRolloutStep,
    kCrashReported,  kContentQuarantined, kContentCleared,  kContentReleased,  kEvacuationOrdered,
    kQuotaBegan,     kQuotaUnreadable};

}  // namespace cometstand::store
