#include "rehearsal/standin/machine_list.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <vector>

#include "base/error.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

void MachineList::update(TimePoint now, Machine machine) { pending_.push_back({now, std::move(machine)}); }

void MachineList::updateFromJson(TimePoint now, const json::value& machines) {
  std::vector<Machine> parsed;
  try {
    for (const auto& item : machines.as_array()) {
      parsed.push_back({json::value_to<std::string>(item.at("address")),
                        item.at("port").to_number<std::uint16_t>(),
                        json::value_to<std::string>(item.at("state"))});
    }
  } catch (const std::exception& error) {
    throw Error(ErrorKind::Malformed, fmt::format("cannot read the machines: {}", error.what()),
                R"(send [{"address": "127.0.0.1", "port": 9001, "state": "live"}])");
  }
  for (auto& machine : parsed) update(now, std::move(machine));
}

json::value MachineList::listed(TimePoint now) {
  while (!pending_.empty() && pending_.front().at <= now - lag_) {
    const Machine& machine = pending_.front().machine;
    states_[{machine.address, machine.port}] = machine.state;
    pending_.pop_front();
  }
  json::array list;
  for (const auto& [key, state] : states_) {
    if (state == "gone") continue;
    list.push_back(json::object{{"address", key.first}, {"port", key.second}, {"state", state}});
  }
  return list;
}

}  // namespace cometstand::rehearsal
