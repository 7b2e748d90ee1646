#pragma once

#include <tclap/CmdLine.h>

#include <string>

#include "base/time.h"

namespace cometstand::rehearsal {

/// Version of the kit's programs, for --version.
inline constexpr const char* kKitVersion = "0.1.0";

/// Adds an option that takes one value.
template <typename Value>
class Option {
 public:
  Option(TCLAP::CmdLine& line, const char* name, const char* help, Value initial, const char* type)
      : argument_("", name, help, false, std::move(initial), type, line) {}

  const Value& operator*() { return argument_.getValue(); }

 private:
  TCLAP::ValueArg<Value> argument_;
};

/// @return a duration of that many milliseconds, fractions included.
inline Duration fromMilliseconds(double milliseconds) {
  return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

}  // namespace cometstand::rehearsal
