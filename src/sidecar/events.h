#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::sidecar {

inline constexpr EventDefinition kStoreLinked{7001, LogLevel::Info, "store_linked",
                                              "A link to a store is open. No action is needed."};
inline constexpr EventDefinition kStoreLost{7002, LogLevel::Warning, "store_lost",
                                            "A link to a store ended. The sidecar goes on with the others; "
                                            "check the store if it does not come back."};
inline constexpr EventDefinition kSourceChosen{
    7003, LogLevel::Info, "source_chosen",
    "Configurations and endpoints come from this store from now on. No action is needed."};
inline constexpr EventDefinition kSourceLost{
    7004, LogLevel::Warning, "source_lost",
    "The store that sent configurations no longer hears a leader, or its link ended, and no other one was "
    "found "
    "yet. The sidecar serves by what it has; check the stores if no source_chosen follows."};
inline constexpr EventDefinition kConfigurationInForce{
    7005, LogLevel::Info, "configuration_in_force",
    "Requests are routed by this revision from now on. No action is needed."};
inline constexpr EventDefinition kTargetChanged{
    7006, LogLevel::Info, "target_changed",
    "The target beside this sidecar came, said that it leaves, or is another instance. No action is needed."};
inline constexpr EventDefinition kCallEnded{7007, LogLevel::Info, "call_ended",
                                            "A caller's request ended without the target's answer. The "
                                            "fields say why; docs/OPERATIONS.md leads on from "
                                            "here."};
inline constexpr EventDefinition kCallRetried{
    7008, LogLevel::Info, "call_retried",
    "A request was sent to another endpoint after one that may have run it. No action is needed."};
inline constexpr EventDefinition kGateRefused{
    7009, LogLevel::Info, "gate_refused",
    "The gate before the target refused a request that was not run. The reason says why."};
inline constexpr EventDefinition kSidecarStopBegan{
    7010, LogLevel::Info, "sidecar_stop_began",
    "A planned stop began: the sidecar says that it is not ready, "
    "serves its callers for a while and ends. No action is needed."};

inline constexpr EventDefinition kUpdateRefused{7011, LogLevel::Warning, "update_refused",
                                                "A configuration could not be read and was asked for again "
                                                "in whole. Check that all machines run one release."};

inline constexpr EventDefinition kCallAnswered{
    7012, LogLevel::Info, "call_answered",
    "A caller's request ended with the target's own answer. No action is needed."};
inline constexpr EventDefinition kRunEnded{
    7013, LogLevel::Info, "run_ended",
    "A request that the gate passed to the target has ended there. The outcome says what is known of it."};

inline constexpr EventDefinition kRunGivenUp{7014, LogLevel::Info, "run_given_up",
                                             "A request was at the target when its asker gave it up: its "
                                             "time was up, its caller left, or the link ended. "
                                             "A long took_ms means that the target was slow."};

inline constexpr EventDefinition kBodyRefused{7015, LogLevel::Info, "body_refused",
                                              "A request whose large body was announced is refused before it "
                                              "was received whole: the link to this sidecar "
                                              "could not bring it in time, or the target leaves. A long "
                                              "intake_wait_ms on all sidecars of a service means "
                                              "that its machines' links are too narrow for the uploads."};

inline constexpr EventDefinition kTargetEnded{7016, LogLevel::Warning, "target_ended",
                                              "The target beside this sidecar ended while it had requests; "
                                              "contents names them by digest. If one digest "
                                              "comes again and again in these events, that request ends the "
                                              "targets that run it: see docs/OPERATIONS.md."};

inline constexpr EventDefinition kCallQuarantined{
    7017, LogLevel::Warning, "call_quarantined",
    "A caller's request was refused and has not run, since requests like it have ended several targets. Look "
    "for "
    "the content, or the path, in content_quarantined on the stores: see docs/OPERATIONS.md."};

inline constexpr EventDefinition kTargetDoubted{
    7018, LogLevel::Info, "target_doubted",
    "The target beside this sidecar may have become cold unseen. It is asked for its health, and gets no "
    "more "
    "than a cold target bears until it has answered. No action is needed."};
inline constexpr EventDefinition kTargetAsked{
    7019, LogLevel::Info, "target_asked",
    "The target beside this sidecar answered for its health; cold_ms is the time until it counts as warm. "
    "If says_cold is false, it does not tell, and the whole time of a cold start is waited."};

inline constexpr EventDefinition kEvacuationsChanged{
    7020, LogLevel::Info, "evacuations_changed",
    "The zones whose targets get no requests have changed; own_zone says whether the target beside this "
    "sidecar "
    "is among them. What runs there goes on. No action is needed."};

inline constexpr EventDefinition kCallKeyUnknown{
    7035, LogLevel::Info, "call_key_unknown",
    "A caller's request was refused and has not run: its route needs a key, and it has none, or one that no "
    "tenant holds in this revision. If it is a tenant's, compare the revision with the newest one."};

inline constexpr EventDefinition kZoneDark{
    7031, LogLevel::Warning, "zone_dark",
    "Several machines of a zone do not answer this sidecar any more, and none of that zone was heard since: "
    "its "
    "endpoints are avoided, and one request now and then goes there until one answers. If many sidecars say "
    "this of one zone, that zone is cut off or without power."};

inline constexpr EventDefinition kZoneHeard{
    7032, LogLevel::Info, "zone_heard",
    "A zone that was dark for this sidecar answered again. No action is "
    "needed."};

inline constexpr EventDefinition kRegionLinkReduced{
    7030, LogLevel::Info, "region_link_reduced",
    "The way to another region shows a queue, so this sidecar sends less there until that is gone. If it "
    "comes "
    "again and again on many sidecars, the link between the regions is too narrow for what crosses it."};

inline constexpr EventDefinition kUnreadableWord{
    7034, LogLevel::Warning, "unreadable_word",
    "A heartbeat or a deregistration could not be read. It changes nothing. If it repeats, look for "
    "who else sends to this sidecar's control address, or for a target of another release."};

inline constexpr EventDefinition kSidecarStopEnded{
    7033, LogLevel::Info, "sidecar_stop_ended",
    "The links of a sidecar that stops begin to close; the fields tell what is still under way. If "
    "the reason is time_limit, that is given up: see docs/OPERATIONS.md."};

inline constexpr std::array kSidecarEvents{
    kStoreLinked,   kStoreLost,       kSourceChosen,      kSourceLost,       kConfigurationInForce,
    kTargetChanged, kCallEnded,       kCallRetried,       kGateRefused,      kSidecarStopBegan,
    kUpdateRefused, kCallAnswered,    kRunEnded,          kRunGivenUp,       kBodyRefused,
    kTargetEnded,   kCallQuarantined, kTargetDoubted,     kTargetAsked,      kEvacuationsChanged,
    kZoneDark,      kZoneHeard,       kRegionLinkReduced, kSidecarStopEnded, kUnreadableWord,
    kCallKeyUnknown};

}  // namespace cometstand::sidecar
