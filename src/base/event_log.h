#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

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
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

/// Writes one line to standard error: time, level, number, name, fields. Thread-safe.
void logEvent(const EventDefinition& event, std::initializer_list<EventField> fields);

/// Events below this level are dropped. The default is Info.
void setLogLevel(LogLevel level);

/// @return one key=value text; a value with spaces, quotes or control characters is quoted and escaped.
std::string formatField(const EventField& field);

}  // namespace cometstand
