/// cometstand-relay-cost: measures what one change, one beat and one join cost a relay, and prints JSON.
#include <fmt/format.h>
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <boost/json.hpp>
#include <exception>

#include "base/event_log.h"
#include "rehearsal/relay_cost/relay_bench.h"

using namespace cometstand;
using namespace cometstand::rehearsal;

namespace {

constexpr unsigned kChanges = 41;
constexpr unsigned kBeatRounds = 11;

/// Heap bytes in use.
std::size_t heapBytes() { return mallinfo2().uordblks; }

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// @return the medians over the steps.
boost::json::object summary(const std::vector<StepCost>& steps) {
  const auto median_of = [&](auto member) {
    std::vector<double> values;
    values.reserve(steps.size());
    for (const auto& step : steps) values.push_back(static_cast<double>(step.*member));
    return median(std::move(values));
  };
  return {{"core_us", median_of(&StepCost::core_us)},
          {"encode_us", median_of(&StepCost::encode_us)},
          {"reports_us", median_of(&StepCost::reports_us)},
          {"messages", median_of(&StepCost::messages)},
          {"bytes", median_of(&StepCost::bytes)}};
}

boost::json::object measure(const MeshSize& size) {
  std::vector<unsigned> held;
  for (const unsigned holders : {20U, 200U, 2000U, 10000U}) {
    if (holders <= size.proxies) held.push_back(holders);
  }
  if (held.empty() || held.back() != size.proxies) held.push_back(size.proxies);

  const std::size_t heap_at_start = heapBytes();
  RelayBench bench(size, held);
  bench.follow();
  const std::size_t heap_after_follow = heapBytes();
  const StepCost join = bench.joinAll();
  const std::size_t heap_after_join = heapBytes();

  boost::json::array changes;
  for (const unsigned holders : held) {
    std::vector<StepCost> steps;
    for (unsigned i = 0; i < kChanges; ++i)
      steps.push_back(bench.change(MeshConfiguration::heldTenant(holders)));
    auto row = summary(steps);
    row["interested"] = holders;
    changes.push_back(std::move(row));
  }
  std::vector<StepCost> beats;
  for (unsigned i = 0; i < kBeatRounds; ++i) beats.push_back(bench.beatRound());

  return {{"proxies", size.proxies},
          {"nodes_per_tenant_set", size.nodes_per_tenant_set},
          {"configuration_bytes", heap_after_follow - heap_at_start},
          {"memory_per_proxy_bytes", (heap_after_join - heap_after_follow) / size.proxies},
          {"join_us", (join.core_us + join.encode_us) / size.proxies},
          {"join_bytes", join.bytes / size.proxies},
          {"change", std::move(changes)},
          {"beat", summary(beats)}};
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command_line("Measures what changes, beats and joins cost a relay; prints JSON lines.",
                                ' ', "0.1.0");
    TCLAP::MultiArg<unsigned> proxies("", "proxies", "Number of proxies (100, 1000, 10000)", false, "N",
                                      command_line);
    TCLAP::ValueArg<unsigned> services("", "services", "Number of services (1600)", false, 1600, "N",
                                       command_line);
    TCLAP::ValueArg<unsigned> set_size("", "nodes-per-tenant-set",
                                       "Nodes in a row that name the same tenants (20)", false, 20, "N",
                                       command_line);
    command_line.parse(argc, argv);
    setLogLevel(LogLevel::Error);
    auto counts = proxies.getValue();
    if (counts.empty()) counts = {100, 1000, 10000};
    for (const unsigned count : counts) {
      MeshSize size;
      size.proxies = count;
      size.services = services.getValue();
      size.nodes_per_tenant_set = set_size.getValue();
      fmt::print("{}\n", boost::json::serialize(measure(size)));
    }
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "cometstand-relay-cost: {}\n", error.what());
    return 1;
  }
}
