#pragma once

#include <functional>
#include <string>

#include "base/time.h"

namespace cometstand::rehearsal {

/// How long any single condition of a fleet may take to come true. Wide, so that a slow machine does not fail
/// a rehearsal; a rehearsal that passes never waits for it.
inline constexpr Duration kConditionLimit = std::chrono::seconds(60);

/// Asks the condition again and again until it holds.
/// @param what names the condition in the error, for example "a leader is elected".
/// @throw Error(Timeout) if it does not hold within the limit.
void waitUntil(const std::string& what, const std::function<bool()>& condition,
               Duration limit = kConditionLimit);

/// Lets real time pass, for load to run or leases to end.
void pauseFor(Duration duration);

}  // namespace cometstand::rehearsal
