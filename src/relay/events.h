#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::relay {

inline constexpr EventDefinition kUpstreamInUse{
    4001, LogLevel::Info, "upstream_in_use",
    "The relay reads the configuration from this address from now on. No action is needed."};
inline constexpr EventDefinition kUpstreamLost{4002, LogLevel::Warning, "upstream_lost",
                                               "The upstream fell silent or closed. The relay serves on and "
                                               "looks for another; check the store if it repeats."};
inline constexpr EventDefinition kUpstreamRefused{
    4003, LogLevel::Info, "upstream_refused",
    "The upstream refused this relay and said when or where to go. Follow the remedy if it repeats."};
inline constexpr EventDefinition kProxyRefused{
    4004, LogLevel::Warning, "proxy_refused",
    "A proxy was refused. Follow the remedy in the event; the proxy comes back by itself."};
inline constexpr EventDefinition kConfigurationGap{
    4005, LogLevel::Warning, "configuration_gap",
    "The upstream left out changes. The relay asks anew; report it if it repeats."};
inline constexpr EventDefinition kEndpointChanged{
    4006, LogLevel::Info, "endpoint_changed",
    "An endpoint's liveness changed. No action is needed if it matches what the platform does."};
inline constexpr EventDefinition kUnexpectedMessage{4007, LogLevel::Warning, "unexpected_message",
                                                    "A link sent a message that does not fit its role and "
                                                    "was closed. Run the same release on all processes."};
inline constexpr EventDefinition kStopBegan{
    4008, LogLevel::Info, "relay_stop_began",
    "A planned stop began; proxies are sent to other relays. No action is needed."};

inline constexpr std::array kRelayEvents{kUpstreamInUse,     kUpstreamLost,     kUpstreamRefused,
                                         kProxyRefused,      kConfigurationGap, kEndpointChanged,
                                         kUnexpectedMessage, kStopBegan};

}  // namespace cometstand::relay
