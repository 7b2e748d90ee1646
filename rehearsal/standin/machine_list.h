#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"

namespace cometstand::rehearsal {

/// One machine as the platform lists it.
struct Machine {
  std::string address;
  std::uint16_t port = 0;
  /// "live" or "leaving"; a machine that is "gone" is not listed.
  std::string state;
};

/// The platform's list of machines, which shows each change only after a lag. A plain state machine.
class MachineList {
 public:
  explicit MachineList(Duration lag) : lag_(lag) {}

  /// Notes a machine's new state.
  void update(TimePoint now, Machine machine);

  /// Notes all machines of a JSON list [{"address", "port", "state"}].
  /// @throw Error(Malformed) if it has another form; nothing is noted then.
  void updateFromJson(TimePoint now, const boost::json::value& machines);

  /// @return the list as it was a lag ago, in the form that updateFromJson() reads.
  boost::json::value listed(TimePoint now);

 private:
  struct Change {
    TimePoint at;
    Machine machine;
  };

  Duration lag_;
  std::deque<Change> pending_;
  std::map<std::pair<std::string, std::uint16_t>, std::string> states_;
};

}  // namespace cometstand::rehearsal
