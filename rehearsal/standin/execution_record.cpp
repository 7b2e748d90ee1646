#include "rehearsal/standin/execution_record.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "base/error.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

void ExecutionRecord::begin(const std::string& request_id, const std::string& idempotency_key) {
  auto& execution = executions_[request_id];
  execution.idempotency_key = idempotency_key;
  ++execution.begun;
}

void ExecutionRecord::finish(const std::string& request_id) { ++executions_[request_id].finished; }

json::value ExecutionRecord::toJson() const {
  json::array list;
  for (const auto& [id, execution] : executions_) {
    list.push_back(json::object{{"id", id},
                                {"key", execution.idempotency_key},
                                {"begun", execution.begun},
                                {"finished", execution.finished}});
  }
  return list;
}

void ExecutionRecord::addJson(const json::value& value) {
  try {
    for (const auto& item : value.as_array()) {
      auto& execution = executions_[json::value_to<std::string>(item.at("id"))];
      execution.idempotency_key = json::value_to<std::string>(item.at("key"));
      execution.begun += item.at("begun").to_number<std::uint32_t>();
      execution.finished += item.at("finished").to_number<std::uint32_t>();
    }
  } catch (const std::exception& error) {
    throw Error(ErrorKind::Malformed, fmt::format("cannot read an execution record: {}", error.what()),
                "pass the \"requests\" member of a back-end stand-in's GET /executed");
  }
}

}  // namespace cometstand::rehearsal
