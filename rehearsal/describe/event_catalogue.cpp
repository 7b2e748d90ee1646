#include "rehearsal/describe/event_catalogue.h"

#include <fmt/format.h>

#include "admin/events.h"
#include "consensus/events.h"
#include "overload/events.h"
#include "proxy/control_events.h"
#include "proxy/events.h"
#include "rehearsal/fleet/events.h"
#include "rehearsal/scale/events.h"
#include "rehearsal/standin/events.h"
#include "relay/events.h"
#include "runtime/events.h"
#include "sidecar/events.h"
#include "store/events.h"
#include "web/events.h"

namespace cometstand::rehearsal {
namespace {

constexpr std::string_view kIntroduction = R"(# Events

Every line of a log is one event: time (UTC), level, number, name, and `key=value` fields.

    2026-01-01T12:00:00.000Z warning E4002 upstream_lost upstream=127.0.0.1:7001

Numbers are never reused. `log.level` drops what is below it. No field ever holds a secret or a token. What to do on
each alarm stands with the event; [OPERATIONS.md](OPERATIONS.md) says more.

This page is printed by `cometstand-describe events`; a test compares it with the code.
)";

std::string_view levelName(LogLevel level) {
  switch (level) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

template <typename Events>
EventGroup makeGroup(std::string_view title, const Events& events) {
  return {title, {events.begin(), events.end()}};
}

}  // namespace

std::vector<EventGroup> allEvents() {
  return {makeGroup("Every program: links and files", runtime::kRuntimeEvents),
          makeGroup("Store: consensus", consensus::kConsensusEvents),
          makeGroup("Store", store::kStoreEvents),

          makeGroup("Relay", relay::kRelayEvents),
          makeGroup("Proxy: views and relays", proxy::kControlEvents),
          makeGroup("Proxy: requests", proxy::kDataPathEvents),
          makeGroup("Sidecar", sidecar::kSidecarEvents),
          makeGroup("Every program: HTTP servers", web::kWebEvents),
          makeGroup("Every program: overload", overload::kOverloadEvents),
          makeGroup("Every program: start, stop, admin pages", admin::kAdminEvents),
          makeGroup("Rehearsal: stand-ins", kStandinEvents),
          makeGroup("Rehearsal: fleet", kFleetEvents),
          makeGroup("Rehearsal: scale run", kScaleEvents)};
}

std::string eventsPage() {
  std::string page(kIntroduction);
  for (const auto& group : allEvents()) {
    page += fmt::format("\n## {}\n\n| number | level | name | meaning |\n|---|---|---|---|\n", group.title);
    for (const auto& event : group.events) {
      page += fmt::format("| E{:04} | {} | `{}` | {} |\n", event.number, levelName(event.level), event.name,
                          event.description);
    }
  }
  return page;
}

}  // namespace cometstand::rehearsal
