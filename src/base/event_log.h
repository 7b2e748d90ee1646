#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace cometstand {

enum class LogLevel : std::uint8_t { Debug = 0, Info = 1, Warning = 2, Error = 3 };

/// A numbered kind of log event. Each subsystem declares its events in its own events.h and lists them in
/// docs/EVENTS.md; a test compares the two. Numbers are never reused.
struct EventDefinition {
  std::uint16_t number;
  LogLevel level;
  /// snake_case, unique.
  std::string_view name;
  /// What happened and what an operator should do, one sentence each.
  std::string_view description;
};

/// One key=value pair of an event. Never put secret values or tokens into fields.
struct EventField {
  template <typename Value>
  EventField(std::string_view field_key, const Value& field_value)
      : key(field_key),
        value(fmt::format("{}", field_value)),
        is_number(std::is_arithmetic_v<Value> && !std::is_same_v<Value, bool>) {}

  std::string_view key;
  std::string value;
  bool is_number;
};

enum class LogFormat : std::uint8_t {
  /// One line of text for each event, on standard error: for tools and tests.
  Text,
  /// One JSON object for each event, on standard output: for programs that serve. Each kind of event has a
  /// budget
  /// of lines, and a line that cannot be written at once is dropped; the next line of the kind tells how many
  /// were.
  Json,
};

/// The default is Text.
void setLogFormat(LogFormat format);

/// Writes one line: time, level, number, name, fields. Thread-safe. Never waits for the reader of the log in
/// the format Json.
void logEvent(const EventDefinition& event, std::initializer_list<EventField> fields);

/// @return one event as a JSON object, without a line end.
/// @param dropped events of the kind that were not written since the last one that was.
std::string formatJson(const EventDefinition& event, std::initializer_list<EventField> fields,
                       std::string_view time, std::uint64_t dropped);

/// Events below this level are dropped. The default is Info.
void setLogLevel(LogLevel level);

/// @return one key=value text; a value with spaces, quotes or control characters is quoted and escaped.
std::string formatField(const EventField& field);

}  // namespace cometstand
