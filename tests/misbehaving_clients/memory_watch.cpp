#include "misbehaving_clients/memory_watch.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

constexpr auto kInterval = std::chrono::milliseconds(4);
/// Reading the receive queues costs more than reading the resident memory.
constexpr unsigned kQueueInterval = 8;
constexpr int kHexadecimal = 16;
constexpr std::size_t kMebibyte = 1024 * 1024;

/// @return the number behind the colon of a field like 0100007F:1F90.
std::uint32_t addressOf(const std::string& field) {
  // The kernel prints the bytes of the address as they lie in memory.
  return __builtin_bswap32(static_cast<std::uint32_t>(std::stoul(field, nullptr, kHexadecimal)));
}

}  // namespace

std::size_t residentBytes(pid_t process) {
  std::ifstream file(fmt::format("/proc/{}/statm", process));
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::map<std::uint32_t, std::size_t> receiveQueues() {
  std::map<std::uint32_t, std::size_t> queues;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string bytes;
    fields >> number >> local >> remote >> state >> bytes;
    constexpr const char* kListening = "0A";
    const auto colon = bytes.find(':');
    if (state == kListening || colon == std::string::npos) continue;
    queues[addressOf(local)] += std::stoul(bytes.substr(colon + 1), nullptr, kHexadecimal);
  }
  return queues;
}

MemoryWatch::MemoryWatch(std::vector<WatchedProcess> processes) : processes_(std::move(processes)) {
  thread_ = std::thread([this] { run(); });
}

MemoryWatch::~MemoryWatch() {
  stopping_ = true;
  thread_.join();
}

void MemoryWatch::follow(std::vector<WatchedProcess> processes) {
  const std::scoped_lock lock(mutex_);
  processes_ = std::move(processes);
}

void MemoryWatch::run() {
  for (unsigned turn = 0; !stopping_; ++turn) {
    measure(turn % kQueueInterval == 0);
    rehearsal::pauseFor(kInterval);
  }
}

void MemoryWatch::measure(bool with_queues) {
  const auto queues = with_queues ? receiveQueues() : std::map<std::uint32_t, std::size_t>();
  const std::scoped_lock lock(mutex_);
  for (const auto& process : processes_) {
    if (exceeded_.contains(process.id)) continue;
    const std::size_t resident = residentBytes(process.id);
    std::size_t total = resident;
    const auto queue = queues.find(boost::asio::ip::make_address_v4(process.host).to_uint());
    if (queue != queues.end()) total += queue->second;
    auto& peak = peaks_[process.name];
    peak.resident = std::max(peak.resident, resident);
    peak.with_queues = std::max({peak.with_queues, resident, total});
    if (total <= process.limit_bytes) continue;
    ::kill(process.id, SIGKILL);
    exceeded_[process.id] =
        fmt::format("{} used {} MiB, {} MiB with its receive queues, of {} MiB", process.name,
                    resident / kMebibyte, total / kMebibyte, process.limit_bytes / kMebibyte);
  }
}

MemoryPeak MemoryWatch::peakOf(const std::string& name) const {
  const std::scoped_lock lock(mutex_);
  const auto found = peaks_.find(name);
  return found == peaks_.end() ? MemoryPeak() : found->second;
}

std::vector<std::string> MemoryWatch::exceeded() const {
  const std::scoped_lock lock(mutex_);
  std::vector<std::string> lines;
  for (const auto& [process, line] : exceeded_) lines.push_back(line);
  return lines;
}

void MemoryWatch::reset() {
  const std::scoped_lock lock(mutex_);
  peaks_.clear();
}

}  // namespace cometstand::platform
