#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::web {

inline constexpr EventDefinition kRequestTooLarge{
    8001, LogLevel::Warning, "request_too_large",
    "A request within the configured limits could not be held and was refused: a header field has 64 KiB or "
    "more, "
    "or the announced body exceeds the memory. Lower the limits for callers."};

inline constexpr EventDefinition kAcceptFailed{
    8002, LogLevel::Warning, "http_accept_failed",
    "A connection could not be accepted; the server pauses and goes on. If descriptors have run out, find "
    "the "
    "clients that hold connections, or allow the process more of them."};

inline constexpr EventDefinition kTooManyConnections{
    8003, LogLevel::Warning, "too_many_connections",
    "An address has as many connections as it may: those that have sent no request are closed for new ones. "
    "Find the clients that hold connections, or raise overload.max_descriptors if the process is allowed "
    "more."};

inline constexpr EventDefinition kSlowClientsShed{
    8004, LogLevel::Warning, "slow_clients_shed",
    "Connections were closed because memory ran short and they sent or read slowly. Find these clients."};

inline constexpr std::array kWebEvents{kRequestTooLarge, kAcceptFailed, kTooManyConnections,
                                       kSlowClientsShed};

}  // namespace cometstand::web
