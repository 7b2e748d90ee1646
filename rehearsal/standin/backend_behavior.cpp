#include "rehearsal/standin/backend_behavior.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <string_view>

#include "base/error.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

template <typename Value>
std::optional<Value> optionalNumber(const json::value& value) {
  if (value.is_null()) return std::nullopt;
  return value.to_number<Value>();
}

void applyMember(BackendBehavior& behavior, std::string_view name, const json::value& value) {
  if (name == "slow_factor") {
    behavior.slow_factor = value.to_number<double>();
  } else if (name == "fault_share") {
    behavior.fault_share = value.to_number<double>();
  } else if (name == "truncate_after") {
    behavior.truncate_after = optionalNumber<std::uint64_t>(value);
  } else if (name == "reset_after") {
    behavior.reset_after = optionalNumber<std::uint64_t>(value);
  } else if (name == "load_lag_ms") {
    behavior.load_lag = std::chrono::milliseconds(value.to_number<std::int64_t>());
  } else if (name == "load_lie") {
    behavior.load_lie = optionalNumber<double>(value);
  } else if (name == "refuse_while_leaving") {
    behavior.refuse_while_leaving = value.as_bool();
  } else if (name == "probes_hang") {
    behavior.probes_hang = value.as_bool();
  } else if (name == "shed_all") {
    behavior.shed_all = value.as_bool();
  } else if (name == "leaving") {
    behavior.leaving = behavior.leaving || value.as_bool();
  } else {
    throw Error(ErrorKind::Invalid, fmt::format("unknown member '{}'", name),
                "use the field names of BackendBehavior");
  }
}

}  // namespace

BackendBehavior applyControl(BackendBehavior behavior, const json::value& control) {
  if (!control.is_object()) {
    throw Error(ErrorKind::Malformed, "the control body is not a JSON object", "send one JSON object");
  }
  for (const auto& member : control.get_object()) {
    try {
      applyMember(behavior, member.key(), member.value());
    } catch (const boost::system::system_error& error) {
      throw Error(ErrorKind::Invalid,
                  fmt::format("bad value of '{}': {}", std::string(member.key()), error.what()),
                  "see BackendBehavior for the type");
    }
  }
  if (behavior.slow_factor < 0 || behavior.fault_share < 0 || behavior.fault_share > 1) {
    throw Error(ErrorKind::Invalid, "slow_factor or fault_share is out of range",
                "use slow_factor of 0 or more and fault_share from 0 to 1");
  }
  return behavior;
}

}  // namespace cometstand::rehearsal
