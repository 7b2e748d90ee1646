#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "runtime/process_core.h"

namespace cometstand::consensus {

/// An in-memory data folder. File operations are queued until finishNext(). A crash discards the queued
/// operations, except that the oldest one may be applied: as a whole or, if it is an append, in part.
class SimulatedDisk : public runtime::FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string& file) const override {
    const auto found = files_.find(file);
    if (found == files_.end()) return std::nullopt;
    return found->second;
  }

  std::vector<std::string> list() const override {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : files_) names.push_back(name);
    return names;
  }

  void enqueue(runtime::FileWrite write) { pending_.push_back(std::move(write)); }
  bool isIdle() const { return pending_.empty(); }

  /// Applies the oldest queued operation.
  /// @return the id of the operation.
  runtime::WriteId finishNext() {
    const auto write = std::move(pending_.front());
    pending_.pop_front();
    apply(write, write.bytes.size());
    return write.id;
  }

  void crash(RandomSource& random) {
    if (!pending_.empty() && random.chance(0.7)) {
      const auto& write = pending_.front();
      const bool can_be_torn = write.mode == runtime::FileWriteMode::Append;
      apply(write, can_be_torn ? random.uniform(0, write.bytes.size()) : write.bytes.size());
    }
    pending_.clear();
  }

  void erase() {
    files_.clear();
    pending_.clear();
  }

  std::map<std::string, std::vector<std::uint8_t>>& files() { return files_; }

  /// While true, the simulation finishes no file operation.
  bool is_blocked = false;

 private:
  void apply(const runtime::FileWrite& write, std::size_t bytes) {
    if (write.mode == runtime::FileWriteMode::Remove) {
      files_.erase(write.file);
      return;
    }
    auto& file = files_[write.file];
    if (write.mode == runtime::FileWriteMode::Replace) file.clear();
    file.insert(file.end(), write.bytes.begin(), write.bytes.begin() + static_cast<std::ptrdiff_t>(bytes));
  }

  std::map<std::string, std::vector<std::uint8_t>> files_;
  std::deque<runtime::FileWrite> pending_;
};

}  // namespace cometstand::consensus
