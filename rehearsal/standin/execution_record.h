#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace cometstand::rehearsal {

/// How often one request ran on a back end.
struct Execution {
  std::string idempotency_key;
  /// Times that work on it began: what "ran" means to every check.
  std::uint32_t begun = 0;
  std::uint32_t finished = 0;
};

/// What a back end truly ran, by request identifier (header X-Request-Id).
class ExecutionRecord {
 public:
  void begin(const std::string& request_id, const std::string& idempotency_key);
  void finish(const std::string& request_id);

  const std::map<std::string, Execution>& executions() const { return executions_; }

  /// @return [{"id", "key", "begun", "finished"}], ordered by id.
  boost::json::value toJson() const;

  /// Adds the counts of a toJson() value to this record.
  /// @throw Error(Malformed) if the value has another form.
  void addJson(const boost::json::value& value);

 private:
  std::map<std::string, Execution> executions_;
};

}  // namespace cometstand::rehearsal
