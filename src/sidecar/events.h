#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::sidecar {

inline constexpr EventDefinition kStoreLinked{7001, LogLevel::Info, "store_linked",
                                              "A link to a store was opened. No action is needed."};
inline constexpr EventDefinition kStoreLost{7002, LogLevel::Warning, "store_lost",
                                            "A link to a store was closed. The sidecar continues with the "
                                            "other stores; check the store if the link is not reopened."};
inline constexpr EventDefinition kSourceChosen{
    7003, LogLevel::Info, "source_chosen",
    "The sidecar now receives configurations and endpoints from this store. No action is needed."};
inline constexpr EventDefinition kSourceLost{
    7004, LogLevel::Warning, "source_lost",
    "The store that sent configurations lost contact with its leader, or its link was closed, and no other "
    "store was found yet. The sidecar continues with its current data; check the stores if no source_chosen "
    "follows."};
inline constexpr EventDefinition kConfigurationInForce{
    7005, LogLevel::Info, "configuration_in_force",
    "Requests are now routed by this revision of the configuration. No action is needed."};
inline constexpr EventDefinition kTargetChanged{7006, LogLevel::Info, "target_changed",
                                                "The target beside this sidecar appeared, is leaving, or was "
                                                "replaced by another instance; cause names the source of the "
                                                "change. No action is needed."};
inline constexpr EventDefinition kCallEnded{7007, LogLevel::Info, "call_ended",
                                            "A caller's request ended without a response of the target. The "
                                            "fields contain the cause; see docs/OPERATIONS.md."};
inline constexpr EventDefinition kCallRetried{
    7008, LogLevel::Info, "call_retried",
    "A request was retried at another endpoint after an endpoint that may have run it. No action is needed."};
inline constexpr EventDefinition kGateRefused{7009, LogLevel::Info, "gate_refused",
                                              "The gate in front of the target refused a request, which was "
                                              "not run. The reason field contains the cause."};
inline constexpr EventDefinition kSidecarStopBegan{
    7010, LogLevel::Info, "sidecar_stop_began",
    "A planned stop began: the sidecar reports that it is not ready, serves its callers until the stop is "
    "complete, and exits. No action is needed."};

inline constexpr EventDefinition kUpdateRefused{
    7011, LogLevel::Warning, "update_refused",
    "A configuration update could not be applied, and the full configuration was requested. Check that all "
    "machines run the same release."};

inline constexpr EventDefinition kCallAnswered{
    7012, LogLevel::Info, "call_answered",
    "A caller's request ended with the response of the target. No action is needed."};
inline constexpr EventDefinition kRunEnded{
    7013, LogLevel::Info, "run_ended",
    "A request that the gate sent to the target ended there. The outcome field contains the result; the "
    "fault field tells why what the target sent was not accepted as its response."};

inline constexpr EventDefinition kRunCancelled{
    7014, LogLevel::Info, "run_given_up",
    "A request was cancelled while it ran at the target: its deadline passed, its caller disconnected, or "
    "the link was closed. A high took_ms means that the target was slow."};

inline constexpr EventDefinition kBodyRefused{
    7015, LogLevel::Info, "body_refused",
    "A request with an announced large body was refused before the body was received completely: the link to "
    "this sidecar was too slow for it, or the target is leaving. A high intake_wait_ms on all sidecars of a "
    "service means that the links of its machines are too narrow for the uploads."};

inline constexpr EventDefinition kTargetEnded{
    7016, LogLevel::Warning, "target_ended",
    "The target beside this sidecar terminated while it had requests; contents lists their digests. If the "
    "same digest occurs repeatedly in these events, that request crashes the targets that run it: see "
    "docs/OPERATIONS.md."};

inline constexpr EventDefinition kCallQuarantined{
    7017, LogLevel::Warning, "call_quarantined",
    "A caller's request was refused without being run, because requests with the same content or path "
    "crashed several targets. Search content_quarantined on the stores for the content or the path: see "
    "docs/OPERATIONS.md."};

inline constexpr EventDefinition kTargetPresumedCold{
    7018, LogLevel::Info, "target_doubted",
    "The target beside this sidecar may have restarted unnoticed and be cold. A health check is sent, and "
    "the rate limit for cold targets applies until the target has answered. No action is needed."};
inline constexpr EventDefinition kTargetHealthReceived{
    7019, LogLevel::Info, "target_asked",
    "The target beside this sidecar answered a health check; cold_ms is the time until it is considered "
    "warm. If says_cold is false, the target reported no cold time, and the full duration of a cold start "
    "applies."};

inline constexpr EventDefinition kEvacuationsChanged{
    7020, LogLevel::Info, "evacuations_changed",
    "The set of evacuated zones, whose targets get no requests, changed; own_zone is true if the target "
    "beside this sidecar is in one of them. Running requests continue. No action is needed."};

inline constexpr EventDefinition kCallKeyUnknown{
    7035, LogLevel::Info, "call_key_unknown",
    "A caller's request was refused without being run: its route requires a key, and the request has none, "
    "or one that belongs to no tenant in this revision. If a tenant owns the key, compare the revision with "
    "the newest one."};

inline constexpr EventDefinition kZoneUnresponsive{
    7031, LogLevel::Warning, "zone_dark",
    "Several machines of a zone stopped answering this sidecar, and no machine of the zone has answered "
    "since. The endpoints of the zone are avoided, except for occasional requests that check whether one "
    "answers again. If many sidecars log this event for one zone, the zone is disconnected or without "
    "power."};

inline constexpr EventDefinition kZoneResponsive{
    7032, LogLevel::Info, "zone_heard",
    "A zone that had stopped answering this sidecar answered again. No action is needed."};

inline constexpr EventDefinition kRegionLinkReduced{
    7030, LogLevel::Info, "region_link_reduced",
    "The link to another region is congested, so this sidecar reduces its rate to that region until the "
    "congestion ends. If the event repeats on many sidecars, the link between the regions is too narrow for "
    "the traffic."};

inline constexpr EventDefinition kUnreadableMessage{
    7034, LogLevel::Warning, "unreadable_word",
    "A heartbeat or a deregistration could not be parsed and was ignored. If the event repeats, check for "
    "other senders to this sidecar's control address, or for a target of another release."};

inline constexpr EventDefinition kSidecarStopEnded{
    7033, LogLevel::Info, "sidecar_stop_ended",
    "A stopping sidecar begins to close its links; the fields contain what is still in progress. If the "
    "reason is time_limit, the remaining requests are cancelled: see docs/OPERATIONS.md."};

inline constexpr EventDefinition kTargetLimitChanged{
    7036, LogLevel::Info, "target_limit_changed",
    "The target beside this sidecar states another limit on its requests per second; limit is none if it "
    "states none. The request field names the request whose response said so or, with source sender, whose "
    "sender knew. If targets of a service stay limited, the service lacks capacity: see docs/OPERATIONS.md."};

inline constexpr EventDefinition kTargetLeavingStated{
    7037, LogLevel::Info, "target_leaving_stated",
    "The target beside this sidecar stated in a response that it is shutting down. No action is needed."};

inline constexpr EventDefinition kStatementMalformed{
    7038, LogLevel::Warning, "statement_malformed",
    "A response of the target beside this sidecar names a limit that is no decimal number, or several. The "
    "limit in force was kept. If the event repeats, correct the target."};

inline constexpr EventDefinition kLeaveNotice{
    7039, LogLevel::Info, "leave_notice",
    "A heartbeat, a deregistration or a response announced the shutdown of an incarnation of the target. The "
    "effect is applied if it changed the target's state, repeated if the shutdown was known, and "
    "not_accepted "
    "if the notice may be an outdated one; it is then not acknowledged, and the target must repeat it."};

inline constexpr EventDefinition kLeaveNoticeAnswered{
    7040, LogLevel::Info, "leave_notice_answered",
    "The sender of a leave notice got its response: an acknowledgement if committed is true. If it is often "
    "false, check that the stores have a leader."};

inline constexpr EventDefinition kLeaveNoticesRecovered{
    7041, LogLevel::Info, "leave_notices_recovered",
    "After its start, the sidecar got the committed leave notices of its targets from the stores, and may "
    "now "
    "send requests to the target beside it. No action is needed."};

inline constexpr std::array kSidecarEvents{kStoreLinked,
                                           kStoreLost,
                                           kSourceChosen,
                                           kSourceLost,
                                           kConfigurationInForce,
                                           kTargetChanged,
                                           kCallEnded,
                                           kCallRetried,
                                           kGateRefused,
                                           kSidecarStopBegan,
                                           kUpdateRefused,
                                           kCallAnswered,
                                           kRunEnded,
                                           kRunCancelled,
                                           kBodyRefused,
                                           kTargetEnded,
                                           kCallQuarantined,
                                           kTargetPresumedCold,
                                           kTargetHealthReceived,
                                           kEvacuationsChanged,
                                           kZoneUnresponsive,
                                           kZoneResponsive,
                                           kRegionLinkReduced,
                                           kSidecarStopEnded,
                                           kUnreadableMessage,
                                           kCallKeyUnknown,
                                           kTargetLimitChanged,
                                           kTargetLeavingStated,
                                           kStatementMalformed,
                                           kLeaveNotice,
                                           kLeaveNoticeAnswered,
                                           kLeaveNoticesRecovered};

}  // namespace cometstand::sidecar
