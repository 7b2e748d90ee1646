#include "rehearsal/simulator/trace_writer.h"

#include <boost/json.hpp>

namespace cometstand::simulator {

std::string traceOf(const RunOptions& options, const RunReport& report) {
  namespace json = boost::json;
  const auto whole_milliseconds = [](Duration duration) { return duration.count() / 1000; };
  std::string text;
  const auto add = [&text](const json::object& line) { text += json::serialize(line) + "\n"; };
  add({{"at_ms", 0}, {"event", "fleet"}, {"deployment", options.deployment.name}, {"seed", options.seed}});
  for (const auto& fault : report.plan) {
    add({{"at_ms", whole_milliseconds(fault.at)},
         {"event", faultName(fault.kind)},
         {"target", fault.target},
         {"for_ms", whole_milliseconds(fault.duration)}});
  }
  add({{"at_ms", whole_milliseconds(options.fault_window + options.settle_limit)}, {"expect", "converged"}});
  return text;
}

}  // namespace cometstand::simulator
