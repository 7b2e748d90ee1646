#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::proxy {

inline constexpr EventDefinition kViewFileDamaged{
    5001, LogLevel::Warning, "view_file_damaged",
    "The stored view could not be used. The proxy serves once a relay has sent it a view; check the disk."};
inline constexpr EventDefinition kViewInForce{5002, LogLevel::Info, "view_in_force",
                                              "A newer view is synced and in force. No action is needed."};
inline constexpr EventDefinition kViewRefused{5003, LogLevel::Warning, "view_refused",
                                              "A view from the relay failed its checks and was dropped; the "
                                              "one in force is kept. Report it if it repeats."};
inline constexpr EventDefinition kRelayInUse{
    5004, LogLevel::Info, "relay_in_use", "The proxy follows this relay from now on. No action is needed."};
inline constexpr EventDefinition kRelayLost{
    5005, LogLevel::Warning, "relay_lost",
    "The link to the relay ended or fell silent. The proxy serves on and looks for another relay."};
inline constexpr EventDefinition kRelayRefused{
    5006, LogLevel::Warning, "relay_refused",
    "A relay refused the proxy. Follow the remedy of the refusal; the proxy comes back by itself."};
inline constexpr EventDefinition kViewNotStored{
    5007, LogLevel::Error, "view_not_stored",
    "A newer view could not be written. The one in force is kept; mend the disk and restart the proxy."};

inline constexpr std::array kControlEvents{kViewFileDamaged, kViewInForce,  kViewRefused,  kRelayInUse,
                                           kRelayLost,       kRelayRefused, kViewNotStored};

}  // namespace cometstand::proxy
