#pragma once

#include <string>

namespace cometstand::rehearsal {

/// @return the page docs/SETTINGS.md: the settings that all programs share, then those of each program.
std::string settingsPage();

}  // namespace cometstand::rehearsal
