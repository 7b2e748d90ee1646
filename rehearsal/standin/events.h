#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::rehearsal {

inline constexpr EventDefinition kStandinListening{7101, LogLevel::Info, "standin_listening",
                                                   "A stand-in accepts connections. No action is needed."};
inline constexpr EventDefinition kStandinLeaving{
    7102, LogLevel::Info, "standin_leaving",
    "A back-end stand-in began its drain and refuses new requests. No action is needed."};
inline constexpr EventDefinition kStandinStopped{
    7103, LogLevel::Info, "standin_stopped",
    "A stand-in finished its requests and ends. No action is needed."};
inline constexpr EventDefinition kStandinFailed{
    7104, LogLevel::Error, "standin_failed",
    "A stand-in cannot run. Follow the remedy in the message, then start it again."};
inline constexpr EventDefinition kConnectionLimitReached{
    7105, LogLevel::Debug, "standin_connection_limit_reached",
    "A back-end stand-in closed a new connection because it holds its limit. No action is needed."};

inline constexpr std::array kStandinEvents{kStandinListening, kStandinLeaving, kStandinStopped,
                                           kStandinFailed, kConnectionLimitReached};

}  // namespace cometstand::rehearsal
