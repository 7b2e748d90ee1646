#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rehearsal/standin/caller_report.h"
#include "rehearsal/standin/connection_pool.h"
#include "rehearsal/standin/workload.h"

namespace cometstand::rehearsal {

struct CallerOptions {
  /// Proxies, or back ends, that the requests are spread over at random.
  std::vector<boost::asio::ip::tcp::endpoint> servers;
  /// Arrivals a second.
  double rate = 50;
  Duration duration = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  /// Starts each request identifier; must differ between callers of one fleet.
  std::string name = "caller";
  /// Attempts for one request, the first included. Only attempts whose answer was lost are followed by
  /// another.
  std::uint32_t max_attempts = 4;
  /// For how long after its deadline a keyed request whose answer was lost is sent again.
  Duration resend_window = std::chrono::seconds(5);
};

/// Makes requests at a given arrival rate, no matter how fast they are answered (open loop), with exponential
/// times between arrivals. Latencies count from the intended start, so that a stall of the caller or the
/// server is not left out. Runs in the one thread of its io_context.
class Caller {
 public:
  Caller(boost::asio::io_context& io, CallerOptions options, Workload workload);

  /// Begins the arrivals.
  void start();

  /// Ends the arrivals early; requests in flight go on to their outcome.
  void stop();

  /// Calls the handler once, when the arrivals are over and the last request has its outcome.
  void whenDone(std::function<void()> handler) { on_done_ = std::move(handler); }

  const CallerReport& report() const { return report_; }

 private:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Attempt;

  boost::asio::awaitable<void> arrivals();
  boost::asio::awaitable<void> call(const RequestKind& kind, CallRecord record, TimePoint intended);
  boost::asio::awaitable<bool> tryOnce(const RequestKind& kind, CallRecord& record, TimePoint due,
                                       std::size_t server);
  boost::asio::awaitable<Attempt> attempt(const Endpoint& server, const Request& request,
                                          Duration time_limit);
  boost::asio::awaitable<std::unique_ptr<CallerConnection>> connect(const Endpoint& server);
  boost::asio::awaitable<void> pause(Duration duration);
  Request makeRequest(const RequestKind& kind, const CallRecord& record, Duration time_left) const;
  CallRecord newRecord(const RequestKind& kind);
  const RequestKind& pickKind();
  void finishOne();

  boost::asio::io_context& io_;
  CallerOptions options_;
  Workload workload_;
  boost::random::mt19937_64 engine_;
  boost::asio::steady_timer arrival_timer_;
  ConnectionPool pool_;
  CallerReport report_;
  std::uint64_t next_request_ = 1;
  /// Arrivals that go on, and requests in flight.
  std::uint64_t running_ = 0;
  std::function<void()> on_done_;
  bool stopping_ = false;
};

}  // namespace cometstand::rehearsal
