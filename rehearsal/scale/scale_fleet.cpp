#include "rehearsal/scale/scale_fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <limits>
#include <thread>

#include "base/error.h"
#include "rehearsal/scale/administrator.h"

namespace cometstand::rehearsal {

namespace json = boost::json;
namespace filesystem = std::filesystem;

namespace {

constexpr std::size_t kRegions = 6;

/// Probes that may go wrong before an endpoint's lease runs out.
constexpr int kProbesPerLease = 4;

/// How long processes may take over their planned stop at the end of a run.
constexpr Duration kStopLimit = std::chrono::seconds(10);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);

std::string addressText(const runtime::Address& address) {
  return fmt::format("{}:{}", address.host, address.port);
}

std::string addressList(const std::vector<runtime::Address>& addresses) {
  std::string list;
  for (const auto& address : addresses)
    list += fmt::format("{}\"{}\"", list.empty() ? "" : ", ", addressText(address));
  return "[" + list + "]";
}

filesystem::path makeFolder(const std::string& wish) {
  if (!wish.empty()) {
    filesystem::create_directories(wish);
    return wish;
  }
  std::string pattern = filesystem::temp_directory_path() / "cometstand-scale-XXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw Error(ErrorKind::InputOutput, "cannot make a temporary folder", "give --work-folder");
  }
  return pattern;
}

/// The text of a duration setting.
std::string durationText(Duration duration) { return fmt::format("\"{}us\"", duration.count()); }

}  // namespace

ScaleFleet::ScaleFleet(const ScaleOptions& options)
    : options_(options),
      folder_(makeFolder(options.work_folder)),
      remove_folder_(options.work_folder.empty()) {
  for (std::size_t i = 0; i < options_.stores; ++i) stores_.push_back(ports_.take());
  for (std::size_t i = 0; i < options_.relayCount(); ++i) relays_.push_back(ports_.take());
}

ScaleFleet::~ScaleFleet() {
  hollow_.clear();
  for (const auto& child : control_) child->interrupt();
  const TimePoint deadline = SteadyClock::now() + kStopLimit;
  const auto is_running = [](const auto& child) { return child->running(); };
  while (std::any_of(control_.begin(), control_.end(), is_running) && SteadyClock::now() < deadline) {
    std::this_thread::sleep_for(kStopPoll);
  }
  control_.clear();
  std::error_code ignored;
  if (remove_folder_) filesystem::remove_all(folder_, ignored);
}

void ScaleFleet::start() {
  startStores();
  startRelays();
  startHollow();
}

std::string ScaleFleet::program(const char* name) const {
  return filesystem::path(options_.program_folder) / name;
}

std::string ScaleFleet::logOf(const std::string& name) const { return folder_ / (name + ".log"); }

std::string ScaleFleet::writeFile(const std::string& name, const std::string& text) const {
  const auto path = folder_ / name;
  std::ofstream(path) << text;
  return path;
}

void ScaleFleet::startStores() {
  for (std::size_t i = 0; i < stores_.size(); ++i) {
    const auto name = fmt::format("store-{}", i + 1);
    if (options_.store_mode == StoreMode::Memory) {
      control_.push_back(std::make_unique<ChildProcess>(
          ProcessRole::Store, program("cometstand-memory-store"),
          std::vector<std::string>{"--port", std::to_string(stores_[i].port)}, logOf(name)));
      continue;
    }
    const auto settings = writeFile(name + ".toml", storeSettings(i));
    control_.push_back(std::make_unique<ChildProcess>(ProcessRole::Store, program("cometstand-store"),
                                                      std::vector<std::string>{"--settings", settings},
                                                      logOf(name)));
  }
}

std::string ScaleFleet::storeSettings(std::size_t index) const {
  std::string replicas;
  for (std::size_t i = 0; i < stores_.size(); ++i) {
    replicas += fmt::format(R"(
[[store.replicas]]
id = {0}
name = "store-{0}"
address = "{1}"
region = "region-{2}"
)",
                            i + 1, addressText(stores_[i]), i % kRegions);
  }
  const auto name = fmt::format("store-{}", index + 1);
  return fmt::format(R"(data.folder = "{}"
listen.address = "{}"
region = "region-{}"
tls.enabled = false
log.level = "warning"
[store]
id = {}
name = "{}"
bootstrap = true
bootstrap_salt = "{}"
bootstrap_token_hash = "{}"
{})",
                     (folder_ / name).string(), addressText(stores_[index]), index % kRegions, index + 1,
                     name, kAdministratorSalt, kAdministratorTokenHash, replicas);
}

void ScaleFleet::startRelays() {
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    const auto name = fmt::format("relay-{:02}", i);
    const auto settings = writeFile(name + ".toml", relaySettings(i));
    control_.push_back(std::make_unique<ChildProcess>(ProcessRole::Relay, program("cometstand-relay"),
                                                      std::vector<std::string>{"--settings", settings},
                                                      logOf(name)));
  }
}

std::string ScaleFleet::relaySettings(std::size_t index) const {
  const auto zone = index % options_.shape.zones;
  return fmt::format(R"(listen.address = "{}"
zone = "{}"
region = "region-{}"
tls.enabled = false
log.level = "warning"
[relay]
name = "relay-{:02}"
stores = {}
peers = {}
batch_window = {}
beat_interval = {}
probe_interval = {}
endpoint_lease = {}
)",
                     addressText(relays_[index]), zoneName(zone), zone % kRegions, index,
                     addressList(stores_), addressList(relays_), durationText(options_.batch_window),
                     durationText(options_.beat_interval), durationText(options_.probe_interval),
                     durationText(kProbesPerLease * options_.probe_interval));
}

void ScaleFleet::startHollow() {
  std::string relays;
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    relays += fmt::format("{} {} {}\n", zoneName(i % options_.shape.zones), relays_[i].host, relays_[i].port);
  }
  const auto relays_file = writeFile("relays.txt", relays);
  const std::size_t per_process = options_.proxies_per_process;
  for (std::size_t first = 0; first < options_.hollowProxies(); first += per_process) {
    const auto count = std::min(per_process, options_.hollowProxies() - first);
    const auto backends = (count + options_.targets_per_backend - 1) / options_.targets_per_backend;
    const std::vector<std::string> arguments{"--first",    std::to_string(first),
                                             "--count",    std::to_string(count),
                                             "--zones",    std::to_string(options_.shape.zones),
                                             "--backends", std::to_string(backends),
                                             "--relays",   relays_file,
                                             "--seed",     std::to_string(options_.seed)};
    hollow_.push_back(std::make_unique<ChildProcess>(ProcessRole::Hollow, program("cometstand-hollow"),
                                                     arguments, logOf(fmt::format("hollow-{}", first))));
  }
  for (const auto& child : hollow_) {
    const auto answer = child->readAnswer();
    for (const auto& port : answer.at("backend_ports").as_array())
      backend_ports_.push_back(port.to_number<std::uint16_t>());
  }
}

void ScaleFleet::startRealProxies() {
  for (std::size_t node = options_.hollowProxies(); node < options_.shape.proxies; ++node) {
    const auto settings = writeFile(nodeName(node) + ".toml", proxySettings(node));
    control_.push_back(std::make_unique<ChildProcess>(ProcessRole::Proxy, program("cometstand-proxy"),
                                                      std::vector<std::string>{"--settings", settings},
                                                      logOf(nodeName(node))));
  }
}

std::string ScaleFleet::proxySettings(std::size_t node) {
  std::string relays;
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    relays += fmt::format(R"(
[[proxy.relays]]
address = "{}"
zone = "{}"
)",
                          addressText(relays_[i]), zoneName(i % options_.shape.zones));
  }
  return fmt::format(R"(data.folder = "{}"
zone = "{}"
tls.enabled = false
log.level = "warning"
[proxy]
node = "{}"
listen = "{}"
{})",
                     (folder_ / nodeName(node)).string(), zoneName(node % options_.shape.zones),
                     nodeName(node), addressText(ports_.take()), relays);
}

CommandClient ScaleFleet::makeClient() const {
  return {stores_, {kAdministratorTenant, kAdministratorName, kAdministratorToken}};
}

std::vector<json::object> ScaleFleet::askAll(const std::string& line) {
  for (const auto& child : hollow_) child->tell(line);
  std::vector<json::object> answers;
  for (const auto& child : hollow_) answers.push_back(child->readAnswer());
  return answers;
}

json::object ScaleFleet::ask(std::size_t process, const std::string& line) {
  hollow_.at(process)->tell(line);
  return hollow_.at(process)->readAnswer();
}

HollowStatus ScaleFleet::status() {
  HollowStatus sum;
  sum.lowest_as_of = std::numeric_limits<std::uint64_t>::max();
  for (const auto& answer : askAll("status")) {
    sum.connected += answer.at("connected").to_number<std::uint64_t>();
    sum.ready += answer.at("ready").to_number<std::uint64_t>();
    sum.recovering += answer.at("recovering").to_number<std::uint64_t>();
    sum.lowest_as_of = std::min(sum.lowest_as_of, answer.at("lowest_as_of").to_number<std::uint64_t>());
  }
  return sum;
}

}  // namespace cometstand::rehearsal
