#include "runtime/data_folder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <span>
#include <thread>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "base/time.h"
#include "runtime/events.h"

namespace cometstand::runtime {
namespace {

constexpr const char* kLockFile = "lock";
constexpr const char* kTemporarySuffix = ".tmp";
constexpr mode_t kPrivateFile = 0600;
/// Pause before an operation is tried again that found the disk full.
constexpr auto kFullDiskPause = std::chrono::milliseconds(100);

/// The disk has no room; nothing of the operation is left behind.
class DiskFullError : public Error {
 public:
  using Error::Error;
};

[[noreturn]] void throwSystemError(const std::string& what, const std::string& remedy) {
  const int reason = errno;
  const std::string text = fmt::format("{}: {}", what, std::strerror(reason));
  if (reason == ENOSPC || reason == EDQUOT) throw DiskFullError(ErrorKind::InputOutput, text, remedy);
  throw Error(ErrorKind::InputOutput, text, remedy);
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

  /// After a failure the system may have dropped what earlier operations wrote, so it is never a
  /// DiskFullError.
  void sync() const {
    if (::fsync(value_) == 0) return;
    throw Error(ErrorKind::InputOutput, fmt::format("cannot sync: {}", std::strerror(errno)),
                "replace the data folder's disk");
  }

  /// Appends all of the bytes or, on failure, none.
  void appendAll(std::span<const std::uint8_t> bytes) const {
    const off_t size = sizeNow();
    try {
      writeAll(bytes);
    } catch (const DiskFullError&) {
      cutTo(size);
      throw;
    }
  }

 private:
  off_t sizeNow() const {
    struct stat status {};
    if (::fstat(value_, &status) != 0)
      throwSystemError("cannot read the size", "replace the data folder's disk");
    return status.st_size;
  }

  /// @throw Error, never a DiskFullError, if the file cannot be cut: a torn record would stay before the
  /// next.
  void cutTo(off_t size) const {
    if (sizeNow() == size || ::ftruncate(value_, size) == 0) return;
    throw Error(ErrorKind::InputOutput, fmt::format("cannot cut a torn record off: {}", std::strerror(errno)),
                "replace the data folder's disk");
  }

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
        applyWhenThereIsRoom(writes[i], !next_joins);
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

void DataFolder::applyWhenThereIsRoom(const FileWrite& write, bool sync_now) {
  bool was_full = false;
  while (true) {
    try {
      applyOne(write, sync_now);
      if (was_full) logEvent(kDiskHasRoom, {{"file", write.file}});
      return;
    } catch (const DiskFullError& error) {
      if (interrupted_) throw;
      if (!was_full) logEvent(kDiskFull, {{"file", write.file}, {"reason", error.what()}});
      was_full = true;
    }
    std::this_thread::sleep_for(kFullDiskPause);
  }
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
  descriptor.appendAll(write.bytes);
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
