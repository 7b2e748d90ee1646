#include "rehearsal/scale/hollow_host.h"

#include <algorithm>
#include <limits>
#include <sstream>

#include "rehearsal/scale/catalog_plan.h"

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

std::int64_t microseconds(TimePoint time) { return time.time_since_epoch().count(); }

json::array versionsToJson(const InForceTracker& tracker) {
  json::array versions;
  for (const auto& [version, record] : tracker.versions()) {
    versions.push_back(json::array{version, record.in_force_count, microseconds(record.in_force_last),
                                   record.applied_count, microseconds(record.applied_last)});
  }
  return versions;
}

}  // namespace

HollowHost::HollowHost(boost::asio::io_context& io, const HollowHostOptions& options)
    : random_(options.seed), backends_(io, options.backends) {
  for (std::size_t i = options.first; i < options.first + options.count; ++i) {
    proxy::ControlOptions proxy_options;
    proxy_options.node = nodeName(i);
    proxy_options.zone = zoneName(i % options.zones);
    proxy_options.relays = options.relays;
    proxy_options.seed = options.seed + i;
    proxies_.push_back(std::make_unique<HollowProxy>(io, std::move(proxy_options), tracker_, counters_));
  }
  claims_ = std::make_unique<ClaimLoad>(proxies_, options.seed + options.first);
}

json::object HollowHost::execute(const std::string& line) {
  std::istringstream words(line);
  std::string command;
  double first = 0;
  double second = 0;
  words >> command >> first >> second;
  if (command == "start") return start();
  if (command == "status") return status();
  if (command == "restart") return restart(first, second);
  if (command == "sight") return sight(static_cast<std::size_t>(first));
  if (command == "churn") return churn(static_cast<std::size_t>(first));
  if (command == "claims") return claims(static_cast<std::size_t>(first));
  if (command == "claim-report") return claims_->report();
  if (command == "report") return report();
  return {{"error", "unknown command: " + command}};
}

json::object HollowHost::start() {
  for (auto& proxy : proxies_) proxy->start();
  return {{"started", proxies_.size()}};
}

json::object HollowHost::status() const {
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  std::size_t connected = 0;
  std::size_t ready = 0;
  std::size_t recovering = 0;
  for (const auto& proxy : proxies_) {
    lowest = std::min(lowest, proxy->asOf());
    connected += proxy->connected() ? 1 : 0;
    ready += proxy->ready() ? 1 : 0;
    recovering += proxy->recovering() ? 1 : 0;
  }
  return {{"proxies", proxies_.size()},
          {"connected", connected},
          {"ready", ready},
          {"recovering", recovering},
          {"lowest_as_of", lowest}};
}

json::object HollowHost::restart(double share, double without_disk) {
  std::size_t restarted = 0;
  for (auto& proxy : proxies_) {
    if (!random_.chance(share)) continue;
    proxy->restart(!random_.chance(without_disk));
    ++restarted;
  }
  return {{"restarted", restarted}};
}

json::object HollowHost::sight(std::size_t count) {
  std::size_t sighted = 0;
  for (std::size_t i = 0; i < count; ++i) {
    auto& proxy = *proxies_[random_.uniform(0, proxies_.size() - 1)];
    sighted += proxy.sightLeaving(random_.uniform(0, std::numeric_limits<std::uint32_t>::max())) ? 1 : 0;
  }
  return {{"sighted", sighted}};
}

json::object HollowHost::churn(std::size_t count) {
  const auto backends = backends_.ports().size();
  for (std::size_t i = 0; i < count && backends > 0; ++i) backends_.restart(random_.uniform(0, backends - 1));
  return {{"restarted", count}};
}

json::object HollowHost::claims(std::size_t in_flight) {
  claims_->setInFlight(in_flight);
  return {{"in_flight", in_flight}};
}

json::object HollowHost::report() const {
  std::size_t objects = 0;
  for (const auto& proxy : proxies_) objects += proxy->viewObjects();
  return {{"proxies", proxies_.size()},
          {"view_objects", objects},
          {"bytes_sent", counters_.bytes_sent},
          {"bytes_received", counters_.bytes_received},
          {"messages_sent", counters_.messages_sent},
          {"messages_received", counters_.messages_received},
          {"file_writes", counters_.file_writes},
          {"file_bytes", counters_.file_bytes},
          {"views_in_force", counters_.views_in_force},
          {"endpoint_records", counters_.endpoint_records},
          {"links_opened", counters_.links_opened},
          {"views_moved_back", counters_.views_moved_back},
          {"recovered", counters_.recovered},
          {"recovered_last_us", microseconds(counters_.recovered_last)},
          {"probes_answered", backends_.probesAnswered()},
          {"versions", versionsToJson(tracker_)}};
}

}  // namespace cometstand::rehearsal
