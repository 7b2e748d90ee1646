#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"

namespace cometstand::rehearsal {

/// The events of one folder.
struct EventGroup {
  /// Heading in the catalogue.
  std::string_view title;
  std::vector<EventDefinition> events;
};

/// @return every event of the product and of the rehearsal kit. A folder's array of events joins the
///   catalogue here; a test counts the definitions in all events headers.
std::vector<EventGroup> allEvents();

/// @return the page docs/EVENTS.md.
std::string eventsPage();

}  // namespace cometstand::rehearsal
