#include "rehearsal/standin/workload.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "base/error.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

void applyMember(RequestKind& kind, std::string_view name, const json::value& value) {
  if (name == "name") {
    kind.name = json::value_to<std::string>(value);
  } else if (name == "method") {
    kind.method = json::value_to<std::string>(value);
  } else if (name == "host") {
    kind.host = json::value_to<std::string>(value);
  } else if (name == "path") {
    kind.path = json::value_to<std::string>(value);
  } else if (name == "weight") {
    kind.weight = value.to_number<double>();
  } else if (name == "deadline_ms") {
    kind.deadline = std::chrono::milliseconds(value.to_number<std::int64_t>());
  } else if (name == "repeatable") {
    kind.repeatable = value.as_bool();
  } else if (name == "keyed") {
    kind.keyed = value.as_bool();
  } else if (name == "request_bytes") {
    kind.request_bytes = value.to_number<std::uint64_t>();
  } else if (name == "answer_bytes") {
    kind.answer_bytes = value.to_number<std::uint64_t>();
  } else {
    throw Error(ErrorKind::Invalid, fmt::format("unknown member '{}' of a request kind", name),
                "use the members that parseWorkload() documents");
  }
}

}  // namespace

Workload parseWorkload(const json::value& value) {
  Workload workload;
  try {
    for (const auto& item : value.at("kinds").as_array()) {
      RequestKind kind;
      for (const auto& member : item.as_object()) applyMember(kind, member.key(), member.value());
      workload.kinds.push_back(std::move(kind));
    }
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::Malformed, fmt::format("cannot read the workload: {}", error.what()),
                "see parseWorkload() for the form");
  }
  if (workload.kinds.empty()) {
    throw Error(ErrorKind::Invalid, "the workload has no request kinds", "name at least one in \"kinds\"");
  }
  return workload;
}

json::value toJson(const Workload& workload) {
  json::array kinds;
  for (const auto& kind : workload.kinds) {
    kinds.push_back(json::object{{"name", kind.name},
                                 {"method", kind.method},
                                 {"host", kind.host},
                                 {"path", kind.path},
                                 {"weight", kind.weight},
                                 {"deadline_ms", ceilMilliseconds(kind.deadline)},
                                 {"repeatable", kind.repeatable},
                                 {"keyed", kind.keyed},
                                 {"request_bytes", kind.request_bytes},
                                 {"answer_bytes", kind.answer_bytes}});
  }
  return json::object{{"kinds", kinds}};
}

}  // namespace cometstand::rehearsal
