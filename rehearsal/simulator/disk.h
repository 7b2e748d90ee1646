#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "rehearsal/simulator/event_queue.h"
#include "runtime/process_core.h"

namespace cometstand::simulator {

/// How a disk behaves.
struct DiskBehavior {
  Duration sync_minimum = std::chrono::microseconds(200);
  Duration sync_maximum = std::chrono::milliseconds(2);
  /// Every operation fails: the disk is full.
  bool full = false;
};

/// One machine's data folder, with the promises of runtime::DataFolder: operations run one at a time, appends
/// to one file that are asked for together share a sync, and after a failure nothing more is tried until the
/// process starts anew. Holds what a crash leaves behind.
class Disk : public runtime::FileReader {
 public:
  using Bytes = std::vector<std::uint8_t>;
  /// Called for each finished operation; the reason is empty if it is synced.
  using Finished = std::function<void(runtime::WriteId, const std::string& reason)>;
  /// Called for each operation whose effect is on the disk for good.
  using Observer = std::function<void(const std::string& file, const Bytes& content)>;

  Disk(EventQueue& queue, std::uint64_t seed) : queue_(queue), random_(seed) {}

  std::optional<Bytes> read(const std::string& file) const override;
  std::vector<std::string> list() const override;

  /// Begins a new run of the process on this disk.
  void open(Finished finished);
  void write(std::vector<runtime::FileWrite> writes);
  void setBehavior(const DiskBehavior& behavior) { behavior_ = behavior; }
  void setObserver(Observer observer) { observer_ = std::move(observer); }

  /// The process is gone. What was asked for but not synced may be lost, and the last append may be torn.
  void crash();
  /// A new, empty disk.
  void lose();

  std::uint64_t bytesWritten() const { return bytes_written_; }

 private:
  void startNext();
  void finishGroup(std::size_t count);
  void apply(const runtime::FileWrite& write);

  EventQueue& queue_;
  RandomSource random_;
  DiskBehavior behavior_;
  Finished finished_;
  Observer observer_;
  std::map<std::string, Bytes> files_;
  /// Not synced yet; the first of them are being written.
  std::deque<runtime::FileWrite> waiting_;
  bool busy_ = false;
  bool failed_ = false;
  std::uint64_t run_ = 0;
  std::uint64_t bytes_written_ = 0;
};

}  // namespace cometstand::simulator
