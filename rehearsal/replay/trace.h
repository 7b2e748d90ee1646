#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cometstand::replay {

/// One line of a trace: an event, or an outcome that is stated for that moment.
struct TraceLine {
  unsigned number = 0;
  /// Since the mesh was set up.
  Duration at{};
  /// Of "event" or "expect".
  std::string what;
  bool is_expectation = false;
  /// The whole line.
  boost::json::object fields;

  /// @return the member as text; empty if there is none.
  std::string text(std::string_view name) const;
  /// @return the member, or the default if there is none.
  std::uint64_t numberOf(std::string_view name, std::uint64_t otherwise) const;
  /// @return the member, in milliseconds; zero if there is none.
  Duration milliseconds(std::string_view name) const;
  std::vector<std::string> texts(std::string_view name) const;
};

struct Trace {
  std::string deployment;
  std::uint64_t seed = 1;
  /// In the order of their times.
  std::vector<TraceLine> lines;
};

/// Reads a trace: one JSON object a line; empty lines and lines that begin with # are left out. The first
/// line is the event "fleet", with "deployment" and "seed".
/// @throw Error(Malformed) naming the line.
Trace parseTrace(const std::string& content);

}  // namespace cometstand::replay
