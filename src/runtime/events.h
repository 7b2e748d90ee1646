#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::runtime {

inline constexpr EventDefinition kAcceptFailed{
    1001, LogLevel::Warning, "accept_failed",
    "A connection could not be accepted. Raise the limit on open files if this repeats."};
inline constexpr EventDefinition kLinkClosed{1002, LogLevel::Debug, "link_closed",
                                             "A connection to another process ended. No action is needed."};
inline constexpr EventDefinition kFileWriteFailed{
    1003, LogLevel::Error, "file_write_failed",
    "The data folder could not be written. Free space or replace the disk, then restart the process."};

inline constexpr std::array kRuntimeEvents{kAcceptFailed, kLinkClosed, kFileWriteFailed};

}  // namespace cometstand::runtime
