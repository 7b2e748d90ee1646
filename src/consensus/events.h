#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::consensus {

inline constexpr EventDefinition kRoleChanged{
    2001, LogLevel::Info, "consensus_role_changed",
    "The role, term or known leader of this replica changed. No action is needed unless this is logged "
    "every few seconds; in that case check the network between the replicas."};
inline constexpr EventDefinition kTornTailDropped{
    2002, LogLevel::Warning, "log_torn_tail_dropped",
    "The last log file ended with an incomplete record, which was discarded; it was never acknowledged. No "
    "action is needed after a power loss; otherwise check the disk."};
inline constexpr EventDefinition kDiskFailed{
    2003, LogLevel::Error, "consensus_disk_failed",
    "A write to the data folder failed and the replica stopped participating. Replace the disk and start the "
    "replica with an empty folder under a new id, or free disk space and restart it."};
inline constexpr EventDefinition kWrongIncarnation{
    2004, LogLevel::Error, "wrong_incarnation",
    "A peer expects a different data folder incarnation of this replica: its disk was lost or swapped, so it "
    "must not vote. Start it under a new id, add it as a learner and replace the old id with it."};
inline constexpr EventDefinition kWaitingToJoin{
    2005, LogLevel::Info, "waiting_to_join",
    "The data folder is empty. Add this replica as a learner, or bootstrap a new cluster."};
inline constexpr EventDefinition kJoined{
    2006, LogLevel::Info, "joined_as_learner",
    "This replica received its first request from a leader and joined the cluster. "
    "No action is needed."};
inline constexpr EventDefinition kQuorumLost{
    2007, LogLevel::Warning, "quorum_lost",
    "The leader had no contact with a quorum for an election timeout and stepped down. Check the other "
    "replicas and the network between them."};
inline constexpr EventDefinition kSnapshotInstalled{2008, LogLevel::Info, "snapshot_installed",
                                                    "This replica needed log entries that the leader no "
                                                    "longer holds and installed the snapshot of the leader. "
                                                    "No action is needed."};
inline constexpr EventDefinition kMembershipChanged{
    2009, LogLevel::Info, "membership_changed", "A membership change was committed. No action is needed."};
inline constexpr EventDefinition kMalformedMessage{
    2010, LogLevel::Warning, "consensus_message_malformed",
    "A consensus message from a peer was malformed and was dropped. Check that "
    "all replicas run compatible versions."};

inline constexpr std::array kConsensusEvents{
    kRoleChanged, kTornTailDropped, kDiskFailed,        kWrongIncarnation,  kWaitingToJoin,
    kJoined,      kQuorumLost,      kSnapshotInstalled, kMembershipChanged, kMalformedMessage};

}  // namespace cometstand::consensus
