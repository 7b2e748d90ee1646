#include "rehearsal/replay/trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

#include "base/error.h"

namespace cometstand::replay {

namespace json = boost::json;

namespace {

[[noreturn]] void throwMalformed(unsigned line, const std::string& reason) {
  throw Error(ErrorKind::Malformed, fmt::format("line {} of the trace: {}", line, reason),
              "see docs/REHEARSAL.md for the form of a trace");
}

TraceLine parseLine(const std::string& text, unsigned number) {
  boost::system::error_code error;
  const auto value = json::parse(text, error);
  if (error || !value.is_object()) throwMalformed(number, "not a JSON object");
  TraceLine line;
  line.number = number;
  line.fields = value.get_object();
  line.is_expectation = line.fields.contains("expect");
  line.what = line.text(line.is_expectation ? "expect" : "event");
  if (line.what.empty()) throwMalformed(number, "it has neither \"event\" nor \"expect\"");
  if (!line.fields.contains("at_ms")) throwMalformed(number, "it has no \"at_ms\"");
  line.at = line.milliseconds("at_ms");
  return line;
}

}  // namespace

std::string TraceLine::text(std::string_view name) const {
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t TraceLine::numberOf(std::string_view name, std::uint64_t otherwise) const {
  const auto* value = fields.if_contains(name);
  if (value == nullptr) return otherwise;
  boost::system::error_code error;
  const auto found = value->to_number<std::uint64_t>(error);
  if (error) throwMalformed(number, fmt::format("\"{}\" is not a whole number", name));
  return found;
}

Duration TraceLine::milliseconds(std::string_view name) const {
  return std::chrono::milliseconds(numberOf(name, 0));
}

std::vector<std::string> TraceLine::texts(std::string_view name) const {
  std::vector<std::string> found;
  const auto* value = fields.if_contains(name);
  if (value == nullptr || !value->is_array()) return found;
  for (const auto& each : value->get_array()) {
    if (each.is_string()) found.emplace_back(each.get_string());
  }
  return found;
}

Trace parseTrace(const std::string& content) {
  Trace trace;
  std::istringstream stream(content);
  unsigned number = 0;
  for (std::string text; std::getline(stream, text);) {
    ++number;
    if (text.empty() || text.front() == '#') continue;
    trace.lines.push_back(parseLine(text, number));
  }
  if (trace.lines.empty() || trace.lines.front().what != "fleet") {
    throwMalformed(number, "a trace begins with the event \"fleet\"");
  }
  trace.deployment = trace.lines.front().text("deployment");
  trace.seed = trace.lines.front().numberOf("seed", 1);
  trace.lines.erase(trace.lines.begin());
  std::stable_sort(trace.lines.begin(), trace.lines.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return trace;
}

}  // namespace cometstand::replay
