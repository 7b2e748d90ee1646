#include "rehearsal/simulator/disk.h"

namespace cometstand::simulator {

using runtime::FileWrite;
using runtime::FileWriteMode;

std::optional<Disk::Bytes> Disk::read(const std::string& file) const {
  const auto found = files_.find(file);
  if (found == files_.end()) return std::nullopt;
  return found->second;
}

std::vector<std::string> Disk::list() const {
  std::vector<std::string> names;
  for (const auto& [name, bytes] : files_) names.push_back(name);
  return names;
}

void Disk::open(Finished finished) {
  finished_ = std::move(finished);
  ++run_;
  busy_ = false;
  failed_ = false;
  waiting_.clear();
}

void Disk::write(std::vector<FileWrite> writes) {
  for (auto& write : writes) waiting_.push_back(std::move(write));
  if (!busy_) startNext();
}

void Disk::startNext() {
  if (waiting_.empty()) return;
  busy_ = true;
  std::size_t count = 1;
  while (count < waiting_.size() && waiting_[count].mode == FileWriteMode::Append &&
         waiting_[count - 1].mode == FileWriteMode::Append && waiting_[count].file == waiting_[0].file) {
    ++count;
  }
  const auto delay = random_.uniform(behavior_.sync_minimum, behavior_.sync_maximum);
  queue_.after(delay, [this, count, run = run_] {
    if (run == run_) finishGroup(count);
  });
}

void Disk::finishGroup(std::size_t count) {
  failed_ = failed_ || behavior_.full;
  const std::string reason = failed_ ? "no space left on device" : "";
  std::vector<runtime::WriteId> done;
  for (std::size_t i = 0; i < count; ++i) {
    if (!failed_) apply(waiting_.front());
    done.push_back(waiting_.front().id);
    waiting_.pop_front();
  }
  busy_ = false;
  const auto run = run_;
  for (const auto id : done) {
    // The callee may end the process.
    if (run == run_) finished_(id, reason);
  }
  if (run == run_ && !busy_) startNext();
}

void Disk::apply(const FileWrite& write) {
  bytes_written_ += write.bytes.size();
  auto& content = files_[write.file];
  switch (write.mode) {
    case FileWriteMode::Append:
      content.insert(content.end(), write.bytes.begin(), write.bytes.end());
      break;
    case FileWriteMode::Replace:
      content = write.bytes;
      break;
    case FileWriteMode::Remove:
      files_.erase(write.file);
      return;
  }
  if (observer_) observer_(write.file, content);
}

void Disk::crash() {
  ++run_;
  // The operations reach the disk in their order; the crash strikes somewhere among them.
  const auto survivors = waiting_.empty() ? 0 : random_.uniform(0, waiting_.size());
  for (std::size_t i = 0; i < survivors && !failed_ && !behavior_.full; ++i) {
    FileWrite write = std::move(waiting_.front());
    waiting_.pop_front();
    const bool last = i + 1 == survivors;
    if (last && write.mode == FileWriteMode::Append && !write.bytes.empty()) {
      write.bytes.resize(random_.uniform(0, write.bytes.size()));
    }
    apply(write);
  }
  waiting_.clear();
  busy_ = false;
}

void Disk::lose() {
  crash();
  files_.clear();
}

}  // namespace cometstand::simulator
