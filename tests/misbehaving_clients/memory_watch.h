#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cometstand::platform {

/// A process of a test and the memory of its machine.
struct WatchedProcess {
  std::string name;
  pid_t id = 0;
  /// IP address of its machine, to which its sockets are bound.
  std::string host;
  std::size_t limit_bytes = 0;
};

/// Most memory that a process used, in bytes.
struct MemoryPeak {
  std::size_t resident = 0;
  /// The resident memory and the bytes in the receive queues of its sockets, which count as well.
  std::size_t with_queues = 0;
};

/// Reads the memory of child processes from a thread of its own, some hundred times a second. A process that
/// passes the memory of its machine is killed, so that a test cannot take the memory of the computer.
class MemoryWatch {
 public:
  explicit MemoryWatch(std::vector<WatchedProcess> processes);
  /// From now on these processes are watched, after some have been started again.
  void follow(std::vector<WatchedProcess> processes);
  ~MemoryWatch();
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  MemoryPeak peakOf(const std::string& name) const;
  /// @return the processes that were killed, a line each.
  std::vector<std::string> exceeded() const;
  /// Forgets the peaks so far.
  void reset();

 private:
  void run();
  void measure(bool with_queues);

  mutable std::mutex mutex_;
  std::vector<WatchedProcess> processes_;
  std::map<std::string, MemoryPeak> peaks_;
  /// By the process's id.
  std::map<pid_t, std::string> exceeded_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

/// @return the resident memory of a process in bytes; 0 if it has ended.
std::size_t residentBytes(pid_t process);
/// @return the bytes in the receive queues of all TCP sockets, by the local address in host byte order.
std::map<std::uint32_t, std::size_t> receiveQueues();

}  // namespace cometstand::platform
