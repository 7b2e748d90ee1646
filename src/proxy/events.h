#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::proxy {

inline constexpr EventDefinition kServing{5501, LogLevel::Info, "proxy_serving",
                                          "The proxy accepts callers' connections. No action is needed."};
inline constexpr EventDefinition kDrainBegun{
    5502, LogLevel::Info, "proxy_drain_begun",
    "A planned stop began; requests in flight are finished. No action is needed."};
inline constexpr EventDefinition kDrainFinished{
    5503, LogLevel::Info, "proxy_drain_finished",
    "Nothing is in flight any more, or the drain limit passed. The process exits; no action is needed."};
inline constexpr EventDefinition kCallerAcceptFailed{
    5504, LogLevel::Warning, "caller_accept_failed",
    "A caller's connection could not be accepted. Raise the limit on open files if this repeats."};
inline constexpr EventDefinition kRequestMalformed{
    5505, LogLevel::Debug, "request_malformed",
    "A caller sent a request that cannot be read, or is too large or too slow; it got a typed answer."};

inline constexpr EventDefinition kResponseRejected{
    5506, LogLevel::Info, "response_rejected",
    "What a back end sent is not a whole final response; the attempt failed. The fault field tells why. "
    "Look into the back end if this repeats."};

inline constexpr std::array kDataPathEvents{
    kServing, kDrainBegun, kDrainFinished, kCallerAcceptFailed, kRequestMalformed, kResponseRejected};

}  // namespace cometstand::proxy
