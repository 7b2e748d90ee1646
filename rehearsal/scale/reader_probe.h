#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "runtime/process_core.h"

namespace cometstand::rehearsal {

/// Reads the store as a relay of a zone of its own would, and counts the bytes: what one reader costs. Runs
/// in a thread of its own.
class ReaderProbe {
 public:
  explicit ReaderProbe(std::vector<runtime::Address> stores);
  ~ReaderProbe();

  ReaderProbe(const ReaderProbe&) = delete;
  ReaderProbe& operator=(const ReaderProbe&) = delete;

  std::uint64_t bytesReceived() const { return bytes_received_.load(); }
  std::uint64_t messagesReceived() const { return messages_received_.load(); }

 private:
  class Reader;

  std::atomic<std::uint64_t> bytes_received_ = 0;
  std::atomic<std::uint64_t> messages_received_ = 0;
  boost::asio::io_context io_;
  std::unique_ptr<Reader> reader_;
  std::thread thread_;
};

}  // namespace cometstand::rehearsal
