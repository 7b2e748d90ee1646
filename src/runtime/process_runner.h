#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/link.h"
#include "runtime/data_folder.h"
#include "runtime/process_core.h"

namespace cometstand::runtime {

/// How long a stopping process waits for its last messages to be written.
inline constexpr Duration kLastWritesTimeLimit = std::chrono::milliseconds(200);

struct RunnerOptions {
  /// Where the process accepts links; port 0 lets the system pick one. No listener if the host is empty.
  Address listen;
  /// Empty for a process that keeps nothing.
  std::string data_folder;
  /// nullptr for plain TCP. Must outlive the runner.
  boost::asio::ssl::context* tls = nullptr;
};

/// Runs one ProcessCore on an io_context: links, timer, and files, which one separate thread writes so that a
/// slow disk never delays heartbeats. All core calls happen on the io_context's one thread.
class ProcessRunner {
 public:
  /// @throw Error(InputOutput) if the address or the data folder cannot be used.
  ProcessRunner(boost::asio::io_context& io, ProcessCore& core, RunnerOptions options);
  ~ProcessRunner();

  ProcessRunner(const ProcessRunner&) = delete;
  ProcessRunner& operator=(const ProcessRunner&) = delete;

  /// Recovers the core and begins to accept links.
  /// @throw Error(Corrupt) from the core.
  void start();

  /// Begins the core's planned stop. The io_context is stopped once the core says that it has stopped, also
  /// if the core began the stop itself, on an operator's order.
  void beginStop();

  /// Carries out the core's pending actions. Call it after calling the core from outside the runner.
  void flush();

  /// @return the address in use, with the port that the system picked.
  Address listenAddress() const;

  /// @return bytes sent over all links so far, frame headers included.
  std::uint64_t bytesSent() const;
  /// @return bytes received over all links so far, frame headers included.
  std::uint64_t bytesReceived() const;

 private:
  void acceptNext();
  void addLink(LinkId id, const std::shared_ptr<net::Link>& link);
  net::LinkHandlers handlersFor(LinkId id);
  void openLink(const ConnectOrder& order);
  void forgetLink(LinkId id);
  void runWrites(std::vector<FileWrite> writes);
  void armTimer();
  void finishStop();

  boost::asio::io_context& io_;
  ProcessCore& core_;
  RunnerOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  /// The core's time for which timer_ is set; max() if it is not.
  TimePoint armed_for_ = TimePoint::max();
  std::unique_ptr<DataFolder> folder_;
  boost::asio::thread_pool disk_thread_;
  std::map<LinkId, std::shared_ptr<net::Link>> links_;
  std::uint64_t next_incoming_ = kFirstIncomingLink;
  std::uint64_t closed_bytes_sent_ = 0;
  std::uint64_t closed_bytes_received_ = 0;
  bool finishing_ = false;
};

}  // namespace cometstand::runtime
