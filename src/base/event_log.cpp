#include "base/event_log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>

#include "base/log_budget.h"

namespace cometstand {
namespace {

std::atomic<LogLevel> minimum_level{LogLevel::Info};

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

bool needsQuotes(std::string_view text) {
  const auto is_plain = [](unsigned char c) { return c > ' ' && c != '"' && c != '\\' && c < 0x7f; };
  return text.empty() || !std::all_of(text.begin(), text.end(), is_plain);
}

std::atomic<LogFormat> log_format{LogFormat::Text};

std::string_view levelName(const EventDefinition& event) {
  return kLevelNames.at(static_cast<std::size_t>(event.level));
}

std::string timeNow() {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  return fmt::format("{:%Y-%m-%dT%H:%M:}{:%S}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     now.time_since_epoch());
}

/// @return false if the reader does not keep up: a pipe that can be written takes a line without waiting.
bool writeAtOnce(const std::string& line) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  constexpr int kNoWait = 0;
  if (::poll(&output, 1, kNoWait) != 1 || (output.revents & POLLOUT) == 0) return false;
  return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void writeJson(const EventDefinition& event, std::initializer_list<EventField> fields) {
  static std::mutex mutex;
  static std::map<std::uint16_t, LogBudget> budgets;
  const std::scoped_lock lock(mutex);
  auto& budget = budgets[event.number];
  if (!budget.take(SteadyClock::now())) return;
  const auto dropped = budget.takeDropped();
  if (writeAtOnce(formatJson(event, fields, timeNow(), dropped) + "\n")) return;
  for (std::uint64_t i = 0; i <= dropped; ++i) budget.drop();
}

void writeText(const EventDefinition& event, std::initializer_list<EventField> fields) {
  auto line = fmt::format("{} {} E{} {}", timeNow(), levelName(event), event.number, event.name);
  for (const auto& field : fields) line += " " + formatField(field);
  line += '\n';
  // One write per line, so that lines of several threads never mix.
  std::fwrite(line.data(), 1, line.size(), stderr);
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

void setLogFormat(LogFormat format) { log_format = format; }

std::string formatJson(const EventDefinition& event, std::initializer_list<EventField> fields,
                       std::string_view time, std::uint64_t dropped) {
  std::string line = fmt::format(R"({{"time":"{}","level":"{}","event":{},"name":"{}")", time,
                                 levelName(event), event.number, event.name);
  for (const auto& field : fields) {
    const auto value =
        field.is_number ? field.value : boost::json::serialize(boost::json::string(field.value));
    line += fmt::format(R"(,"{}":{})", field.key, value);
  }
  if (dropped > 0) line += fmt::format(R"(,"dropped":{})", dropped);
  return line + "}";
}

void logEvent(const EventDefinition& event, std::initializer_list<EventField> fields) {
  if (event.level < minimum_level.load()) return;
  if (log_format.load() == LogFormat::Json) {
    writeJson(event, fields);
  } else {
    writeText(event, fields);
  }
}

}  // namespace cometstand
