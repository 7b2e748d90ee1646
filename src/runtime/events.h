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

inline constexpr EventDefinition kDiskFull{1004, LogLevel::Error, "disk_full",
                                           "The data folder's disk has no room. The process goes on and "
                                           "tries again; nothing that waits for this write "
                                           "is acknowledged. Free space on the disk."};
inline constexpr EventDefinition kDiskHasRoom{
    1005, LogLevel::Info, "disk_has_room",
    "A write that found the disk full has succeeded. No action is needed."};

inline constexpr EventDefinition kStopCutShort{
    1006, LogLevel::Warning, "stop_cut_short",
    "A planned stop ran out of time: answers on so many connections were not delivered, and so many "
    "links were still open, with so many bytes unsent. Look for slow callers and for a link of this "
    "machine that is full."};

inline constexpr std::array kRuntimeEvents{kAcceptFailed, kLinkClosed,  kFileWriteFailed,
                                           kDiskFull,     kDiskHasRoom, kStopCutShort};

}  // namespace cometstand::runtime
