#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/link.h"
#include "runtime/data_folder.h"
#include "runtime/deliveries.h"
#include "runtime/intake.h"
#include "runtime/process_core.h"

namespace cometstand::runtime {

/// Once a core has stopped, what it handed out and its links get so much time, unless the program sets a
/// limit for the whole stop.
inline constexpr Duration kDeliveryTimeLimit = std::chrono::seconds(2);
/// Of the time limit of a stop, what is left for the links' last messages.
inline constexpr Duration kLastWritesTime = std::chrono::milliseconds(100);

struct RunnerOptions {
  /// Where the process accepts links; port 0 lets the system pick one. No listener if the host is empty.
  Address listen;
  /// Empty for a process that keeps nothing.
  std::string data_folder;
  /// nullptr for plain TCP. Must outlive the runner.
  boost::asio::ssl::context* tls = nullptr;
  /// Where the unread parts of frames of incoming links are charged; nullptr for no limit. Must outlive the
  /// runner.
  overload::MemoryBudget* memory = nullptr;
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

  /// Begins the core's planned stop, which the core may also begin itself on an operator's order. It ends in
  /// this order, as each step may still need the ones after it:
  /// 1. the core says that it has stopped; it goes on meanwhile, and may take back its word;
  /// 2. what was handed to the added Deliveries has come;
  /// 3. the core hears that its stop ends, and callers' connections that rest are closed;
  ///    the links close once their peers have all messages;
  /// 4. nobody can connect any more, and who had connected has an answer;
  /// 5. the io_context is stopped.
  /// At the time limit the io_context is stopped whatever is left, and steps 3 and 4 begin kLastWritesTime
  /// before that.
  void beginStop();
  /// @param time from beginStop() to the end at the latest. Without it a stop lasts until the core says that
  /// it has stopped, and kDeliveryTimeLimit besides.
  void setStopTimeLimit(Duration time) { stop_time_limit_ = time; }
  /// A planned stop waits for them.
  /// @param deliveries must live as long as the runner's io_context runs.
  void addDeliveries(const Deliveries& deliveries) { deliveries_.push_back(&deliveries); }
  /// A planned stop ends it.
  /// @param intake must live as long as the runner's io_context runs.
  void addIntake(Intake& intake) { intakes_.push_back(&intake); }

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
  void continueStop();
  void beginLastSteps(TimePoint now);
  void endIntakes();
  std::size_t undelivered() const;
  void armStopCheck();
  void logWhatIsLeft() const;

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
  std::optional<Duration> stop_time_limit_;
  std::vector<const Deliveries*> deliveries_;
  std::vector<Intake*> intakes_;
  boost::asio::steady_timer stop_timer_;
  bool stop_check_armed_ = false;
  /// Of the planned stop that is under way.
  std::optional<TimePoint> stop_ends_by_;
  /// The links are closing.
  bool finishing_ = false;
  bool intakes_ended_ = false;
};

}  // namespace cometstand::runtime
