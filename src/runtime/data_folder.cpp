#include "runtime/data_folder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <span>
#include <utility>

#include "base/error.h"

namespace cometstand::runtime {
namespace {

constexpr const char* kLockFile = "lock";
constexpr const char* kTemporarySuffix = ".tmp";
constexpr mode_t kPrivateFile = 0600;

[[noreturn]] void throwSystemError(const std::string& what, const std::string& remedy) {
  throw Error(ErrorKind::InputOutput, fmt::format("{}: {}", what, std::strerror(errno)), remedy);
}

/// Closes its file descriptor when it goes out of scope.
class Descriptor {
 public:
  Descriptor(const std::filesystem::path& path, int flags)
      : value_(::open(path.c_str(), flags | O_CLOEXEC, kPrivateFile)) {
    if (value_ < 0) throwSystemError("cannot open " + path.string(), "check the data folder's permissions");
  }
  ~Descriptor() { ::close(value_); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  void writeAll(std::span<const std::uint8_t> bytes) const {
    while (!bytes.empty()) {
      const auto written = ::write(value_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) throwSystemError("cannot write", "free space on the data folder's disk");
      bytes = bytes.subspan(static_cast<std::size_t>(written));
    }
  }

  void sync() const {
    if (::fsync(value_) != 0) throwSystemError("cannot sync", "replace the data folder's disk");
  }

 private:
  int value_;
};

}  // namespace

DataFolder::DataFolder(std::filesystem::path path) : path_(std::move(path)) {
  std::error_code error;
  std::filesystem::create_directories(path_, error);
  if (error) {
    throw Error(ErrorKind::InputOutput, fmt::format("cannot create {}: {}", path_.string(), error.message()),
                "name a data folder that this user may write");
  }
  const auto lock_path = path_ / kLockFile;
  lock_descriptor_ = ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kPrivateFile);
  if (lock_descriptor_ < 0) {
    throwSystemError("cannot open " + lock_path.string(), "name a data folder that this user may write");
  }
  if (::flock(lock_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock_descriptor_);
    throw Error(ErrorKind::InputOutput, fmt::format("data folder {} is in use", path_.string()),
                "stop the other process or name another folder");
  }
}

DataFolder::~DataFolder() { ::close(lock_descriptor_); }

std::optional<std::vector<std::uint8_t>> DataFolder::read(const std::string& file) const {
  const auto path = path_ / file;
  if (!std::filesystem::exists(path)) return std::nullopt;
  std::ifstream stream(path, std::ios::binary);
  std::vector<std::uint8_t> bytes{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream) {
    throw Error(ErrorKind::InputOutput, "cannot read " + path.string(),
                "check the disk and the file's permissions");
  }
  return bytes;
}

std::vector<std::string> DataFolder::list() const {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(path_)) {
    const auto name = entry.path().filename().string();
    const bool is_own = name != kLockFile && !name.ends_with(kTemporarySuffix);
    if (is_own && entry.is_regular_file()) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<FileWriteResult> DataFolder::apply(const std::vector<FileWrite>& writes) {
  std::vector<FileWriteResult> results;
  std::size_t first_unsynced = 0;
  for (std::size_t i = 0; i < writes.size(); ++i) {
    const bool appends = writes[i].mode == FileWriteMode::Append;
    const bool next_joins = appends && i + 1 < writes.size() && writes[i + 1].mode == FileWriteMode::Append &&
                            writes[i + 1].file == writes[i].file;
    if (first_failure_.empty()) {
      try {
        applyOne(writes[i], !next_joins);
      } catch (const Error& error) {
        first_failure_ = error.what();
        // Earlier appends of this run may not be synced either.
        for (std::size_t k = first_unsynced; k < results.size(); ++k) results[k].error = first_failure_;
      }
    }
    results.push_back({writes[i].id, first_failure_});
    if (!next_joins) first_unsynced = results.size();
  }
  return results;
}

void DataFolder::applyOne(const FileWrite& write, bool sync_now) {
  switch (write.mode) {
    case FileWriteMode::Append:
      append(write, sync_now);
      return;
    case FileWriteMode::Replace:
      replace(write);
      return;
    case FileWriteMode::Remove:
      remove(write);
      return;
  }
}

void DataFolder::append(const FileWrite& write, bool sync_now) const {
  const auto path = path_ / write.file;
  const bool is_new = !std::filesystem::exists(path);
  const Descriptor descriptor(path, O_WRONLY | O_APPEND | O_CREAT);
  descriptor.writeAll(write.bytes);
  if (sync_now) descriptor.sync();
  if (is_new) syncFolder();
}

void DataFolder::replace(const FileWrite& write) const {
  const auto path = path_ / write.file;
  auto temporary = path;
  temporary += kTemporarySuffix;
  {
    const Descriptor descriptor(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    descriptor.writeAll(write.bytes);
    descriptor.sync();
  }
  std::error_code error;
  std::filesystem::rename(temporary, path, error);
  if (error) {
    throw Error(ErrorKind::InputOutput, "cannot rename to " + path.string() + ": " + error.message(),
                "check the data folder's permissions");
  }
  syncFolder();
}

void DataFolder::remove(const FileWrite& write) const {
  const auto path = path_ / write.file;
  std::error_code error;
  std::filesystem::remove(path, error);
  if (error) {
    throw Error(ErrorKind::InputOutput, "cannot remove " + path.string() + ": " + error.message(),
                "check the data folder's permissions");
  }
  syncFolder();
}

void DataFolder::syncFolder() const { Descriptor(path_, O_RDONLY | O_DIRECTORY).sync(); }

}  // namespace cometstand::runtime
