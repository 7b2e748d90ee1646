#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/process_core.h"

namespace cometstand::rehearsal {

/// The data folder of a hollow proxy, kept in memory: it survives a restart of the proxy, not of its process.
class MemoryFolder : public runtime::FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string& file) const override {
    const auto found = files_.find(file);
    if (found == files_.end()) return std::nullopt;
    return found->second;
  }

  std::vector<std::string> list() const override {
    std::vector<std::string> names;
    names.reserve(files_.size());
    for (const auto& [name, bytes] : files_) names.push_back(name);
    return names;
  }

  void apply(runtime::FileWrite&& write) {
    auto& bytes = files_[write.file];
    switch (write.mode) {
      case runtime::FileWriteMode::Append:
        bytes.insert(bytes.end(), write.bytes.begin(), write.bytes.end());
        break;
      case runtime::FileWriteMode::Replace:
        bytes = std::move(write.bytes);
        break;
      case runtime::FileWriteMode::Remove:
        files_.erase(write.file);
        break;
    }
  }

  /// The disk is lost.
  void clear() { files_.clear(); }

 private:
  std::map<std::string, std::vector<std::uint8_t>> files_;
};

}  // namespace cometstand::rehearsal
