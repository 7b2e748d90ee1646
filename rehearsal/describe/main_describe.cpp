// cometstand-describe: prints the pages of the documentation that come from the code.
#include <fmt/format.h>

#include <string_view>

#include "rehearsal/describe/event_catalogue.h"
#include "rehearsal/describe/settings_page.h"

int main(int argc, char** argv) {
  const std::string_view page = argc == 2 ? argv[1] : "";
  if (page == "events") {
    fmt::print("{}", cometstand::rehearsal::eventsPage());
  } else if (page == "settings") {
    fmt::print("{}", cometstand::rehearsal::settingsPage());
  } else {
    fmt::print(stderr, "usage: cometstand-describe events|settings\n");
    return page == "--help" ? 0 : 2;
  }
  return 0;
}
