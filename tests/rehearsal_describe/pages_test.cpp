#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "rehearsal/describe/event_catalogue.h"
#include "rehearsal/describe/settings_page.h"

namespace cometstand::rehearsal {
namespace {

namespace filesystem = std::filesystem;

std::string readFile(const filesystem::path& path) {
  std::ifstream stream(path);
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

/// @return how often the events headers below the folder define an event.
std::size_t countDefinitions(const filesystem::path& folder) {
  const std::string definition = "constexpr EventDefinition k";
  std::size_t count = 0;
  for (const auto& entry : filesystem::recursive_directory_iterator(folder)) {
    const auto extension = entry.path().extension();
    if (extension != ".h" && extension != ".cpp") continue;
    const std::string text = readFile(entry.path());
    for (auto found = text.find(definition); found != std::string::npos;
         found = text.find(definition, found + 1)) {
      ++count;
    }
  }
  return count;
}

TEST_CASE("docs/EVENTS.md is what cometstand-describe events prints", "[describe]") {
  INFO("write it anew: cometstand-describe events > docs/EVENTS.md");
  CHECK(readFile(SOURCE_FOLDER "/docs/EVENTS.md") == eventsPage());
}

TEST_CASE("docs/SETTINGS.md is what cometstand-describe settings prints", "[describe]") {
  INFO("write it anew: cometstand-describe settings > docs/SETTINGS.md");
  CHECK(readFile(SOURCE_FOLDER "/docs/SETTINGS.md") == settingsPage());
}

TEST_CASE("the catalogue holds every event once", "[describe]") {
  std::set<std::uint16_t> numbers;
  std::set<std::string_view> names;
  std::size_t count = 0;
  for (const auto& group : allEvents()) {
    for (const auto& event : group.events) {
      INFO(event.number << " " << event.name);
      CHECK(numbers.insert(event.number).second);
      CHECK(names.insert(event.name).second);
      CHECK_FALSE(event.description.empty());
      ++count;
    }
  }
  INFO("an event that is missing here belongs in its folder's array and in event_catalogue.cpp");
  CHECK(count == countDefinitions(SOURCE_FOLDER "/src") + countDefinitions(SOURCE_FOLDER "/rehearsal"));
}

}  // namespace
}  // namespace cometstand::rehearsal
