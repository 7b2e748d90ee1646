#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::admin {

inline constexpr EventDefinition kProgramStarted{
    6001, LogLevel::Info, "program_started",
    "The program runs and accepts connections on these addresses. No action is needed."};
inline constexpr EventDefinition kTlsDisabled{
    6002, LogLevel::Warning, "tls_disabled",
    "Links are plain TCP and nobody's identity is checked. Set tls.enabled = true anywhere but in a test."};
inline constexpr EventDefinition kStopRequested{
    6003, LogLevel::Info, "stop_requested",
    "A planned stop began by a signal or an operator's command. No action is needed."};
inline constexpr EventDefinition kProgramStopped{
    6004, LogLevel::Info, "program_stopped",
    "The planned stop is complete and the program exits. No action is needed."};
inline constexpr EventDefinition kAdminAcceptFailed{
    6005, LogLevel::Warning, "admin_accept_failed",
    "A connection to the admin pages could not be accepted. Raise the limit on open files if this repeats."};

inline constexpr EventDefinition kSettingsReloaded{
    6006, LogLevel::Info, "settings_reloaded",
    "The settings were read again and what can change meanwhile was taken over. No action is needed."};
inline constexpr EventDefinition kSettingsRefused{6007, LogLevel::Error, "settings_refused",
                                                  "The settings could not be read again; the program goes on "
                                                  "with what it had. Correct the file; it is read again "
                                                  "once its text changes."};

inline constexpr std::array kAdminEvents{kProgramStarted, kTlsDisabled,       kStopRequested,
                                         kProgramStopped, kAdminAcceptFailed, kSettingsReloaded,
                                         kSettingsRefused};

}  // namespace cometstand::admin
