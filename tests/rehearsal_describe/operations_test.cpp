#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
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

std::set<std::string> findAll(const std::string& text, const std::string& expression) {
  const std::regex pattern(expression);
  std::set<std::string> found;
  for (auto match = std::sregex_iterator(text.begin(), text.end(), pattern); match != std::sregex_iterator();
       ++match) {
    found.insert(match->str(1));
  }
  return found;
}

/// @return the sources that name metrics.
std::string metricSources() {
  std::string text;
  for (const auto& entry : filesystem::recursive_directory_iterator(SOURCE_FOLDER "/src")) {
    const std::string name = entry.path().filename();
    const bool names_metrics =
        name.ends_with("_pages.cpp") || name == "program_host.cpp" || name == "process_usage.cpp";
    if (names_metrics) text += readFile(entry.path());
  }
  return text;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("docs/OPERATIONS.md names only what there is", "[describe]") {
  const std::string page = readFile(SOURCE_FOLDER "/docs/OPERATIONS.md");

  const auto events = findAll(page, R"(\bE(\d{4})\b)");
  CHECK(events.size() > 5);
  const std::string catalogue = eventsPage();
  for (const auto& event : events) {
    INFO("event E" << event);
    CHECK(contains(catalogue, "| E" + event + " |"));
  }

  const auto settings = findAll(page, R"(`((store|relay|proxy|admin|tls|log)\.[a-z_]+)`)");
  CHECK(settings.size() > 20);
  const std::string settings_page = settingsPage();
  for (const auto& setting : settings) {
    INFO("setting " << setting);
    CHECK(contains(settings_page, "| `" + setting + "` |"));
  }

  const auto metrics = findAll(page, R"(`((cometstand|process)_[a-z_]+))");
  CHECK(metrics.size() > 15);
  const std::string sources = metricSources();
  const std::string store_prefix = "cometstand_store_";
  for (const auto& metric : metrics) {
    INFO("metric " << metric);
    const bool is_whole = contains(sources, "\"" + metric + "\"");
    // The store's pages put the prefix before each name.
    const bool is_of_store = metric.starts_with(store_prefix) &&
                             contains(sources, "\"" + metric.substr(store_prefix.size()) + "\"");
    CHECK((is_whole || is_of_store));
  }
}

}  // namespace
}  // namespace cometstand::rehearsal
