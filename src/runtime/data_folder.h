#pragma once

#include <atomic>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "runtime/process_core.h"

namespace cometstand::runtime {

/// Result of one FileWrite; the error is empty on success.
struct FileWriteResult {
  WriteId id;
  std::string error;
};

/// A process's data folder on a real disk. Used by one thread at a time, but for interrupt().
class DataFolder : public FileReader {
 public:
  /// Creates the folder if it is missing and takes an exclusive lock on it.
  /// @throw Error(InputOutput) if it cannot be created, or another process holds the lock.
  explicit DataFolder(std::filesystem::path path);
  ~DataFolder() override;

  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  std::optional<std::vector<std::uint8_t>> read(const std::string& file) const override;
  std::vector<std::string> list() const override;

  /// Carries out the operations in order. Neighbouring appends to one file are synced together. While the
  /// disk is full, the operation that found it full is tried again and the call does not return: the folder
  /// is then no worse than one on a disk that hangs. After any other failure the remaining operations are not
  /// tried and reported as failed, now and in later calls.
  std::vector<FileWriteResult> apply(const std::vector<FileWrite>& writes);

  /// From now on a full disk is a failure like any other: apply() returns soon. For the end of the process;
  /// any thread.
  void interrupt() { interrupted_ = true; }

 private:
  void applyWhenThereIsRoom(const FileWrite& write, bool sync_now);
  void applyOne(const FileWrite& write, bool sync_now);
  void append(const FileWrite& write, bool sync_now) const;
  void replace(const FileWrite& write) const;
  void remove(const FileWrite& write) const;
  void syncFolder() const;

  std::filesystem::path path_;
  int lock_descriptor_ = -1;
  std::string first_failure_;
  std::atomic<bool> interrupted_ = false;
};

/// The data folder of a process that keeps nothing.
class EmptyFileReader : public FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string& /*file*/) const override {
    return std::nullopt;
  }
  std::vector<std::string> list() const override { return {}; }
};

}  // namespace cometstand::runtime
