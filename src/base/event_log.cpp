#include "base/event_log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>

namespace cometstand {
namespace {

std::atomic<LogLevel> minimum_level{LogLevel::Info};

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

bool needsQuotes(std::string_view text) {
  const auto is_plain = [](unsigned char c) { return c > ' ' && c != '"' && c != '\\' && c < 0x7f; };
  return text.empty() || !std::all_of(text.begin(), text.end(), is_plain);
}

}  // namespace

std::string formatField(const EventField& field) {
  if (!needsQuotes(field.value)) return fmt::format("{}={}", field.key, field.value);
  std::string quoted;
  for (const unsigned char c : field.value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += static_cast<char>(c);
    } else if (c < ' ' || c == 0x7f) {
      quoted += fmt::format("\\x{:02x}", c);
    } else {
      quoted += static_cast<char>(c);
    }
  }
  return fmt::format("{}=\"{}\"", field.key, quoted);
}

void setLogLevel(LogLevel level) { minimum_level = level; }

void logEvent(const EventDefinition& event, std::initializer_list<EventField> fields) {
  if (event.level < minimum_level.load()) return;
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto level = kLevelNames.at(static_cast<std::size_t>(event.level));
  auto line = fmt::format("{:%Y-%m-%dT%H:%M:}{:%S}Z {} E{} {}",
                          fmt::gmtime(std::chrono::system_clock::to_time_t(now)), now.time_since_epoch(),
                          level, event.number, event.name);
  for (const auto& field : fields) line += " " + formatField(field);
  line += '\n';
  // One write per line, so that lines of several threads never mix.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace cometstand
