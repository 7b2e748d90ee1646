#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "rehearsal/standin/backend_behavior.h"
#include "rehearsal/standin/execution_record.h"
#include "rehearsal/standin/load_report.h"
#include "rehearsal/standin/service_time.h"
#include "rehearsal/standin/work_queue.h"

namespace cometstand::rehearsal {

/// Fixed properties of one back-end stand-in.
struct BackendOptions {
  std::string name = "backend";
  boost::asio::ip::tcp::endpoint listen;
  std::uint32_t slots = 6;
  /// Requests that may wait for a slot; more are shed.
  std::uint32_t queue_limit = 12;
  std::uint32_t max_connections = 130;
  /// Time that each new connection takes, one at a time.
  Duration connection_cost = std::chrono::milliseconds(1);
  /// Time that a probe keeps a slot.
  Duration probe_cost = Duration::zero();
  ServiceTimeOptions service_time;
  /// After its start the back end is cold for this long: service times shrink from `cold_factor` to 1.
  Duration cold_time = Duration::zero();
  double cold_factor = 3;
  /// A leaving back end refuses new requests for this long before it ends.
  Duration linger_time = std::chrono::seconds(3);
  std::uint64_t seed = 1;
};

struct BackendCounters {
  std::uint64_t connections = 0;
  std::uint64_t connections_refused = 0;
  std::uint64_t probes = 0;
  std::uint64_t begun = 0;
  std::uint64_t finished = 0;
  std::uint64_t shed = 0;
  /// Requests refused because the back end is leaving.
  std::uint64_t refused_leaving = 0;
  /// Requests whose connection closed before their answer.
  std::uint64_t cancelled = 0;
  std::uint64_t deadline_passed = 0;
  /// Requests that arrived after `leaving`, refused or not.
  std::uint64_t arrived_leaving = 0;
  /// Of those, the requests whose work began.
  std::uint64_t begun_leaving = 0;
  /// How long after `leaving` the last request arrived.
  Duration last_arrival_leaving = Duration::zero();
};

/// A back end that is an HTTP/1.1 server in the one thread of its io_context: it serves every path with work
/// that does nothing but last, and records what ran. GET /healthz, /load, /executed, /stats and POST /control
/// are its own. An answer's body is
/// answerBody() of the request's X-Request-Id and the target's parameter `bytes`.
class Backend {
 public:
  /// @throw Error(InputOutput) if it cannot listen.
  Backend(boost::asio::io_context& io, BackendOptions options);

  /// Accepts connections until the drain is over.
  void start();

  /// Replaces the behavior, as POST /control does.
  void setBehavior(const BackendBehavior& behavior);

  /// Begins the drain; the io_context is stopped once it is over.
  void beginLeaving();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  const BackendCounters& counters() const { return counters_; }

  /// @return the answer to GET /executed: {"name", "incarnation", "requests", "counters"}.
  boost::json::value executedJson() const;

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Session;
  enum class WaitResult : std::uint8_t { Elapsed, PeerClosed };
  enum class SlotResult : std::uint8_t { Acquired, Shed, DeadlinePassed, PeerClosed };

  // Connections: backend.cpp.
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> runSession(std::shared_ptr<Session> session);
  boost::asio::awaitable<void> serveRequests(Session& session);
  boost::asio::awaitable<WaitResult> waitUnlessClosed(Session& session);
  boost::asio::awaitable<SlotResult> acquireSlot(Session& session, WorkId id, Admission admission);
  boost::asio::awaitable<bool> sendAnswer(Session& session, Response response);
  void release(WorkId id);
  void endWhenDrained();

  // Answers: backend_answers.cpp. No answer means that the peer closed the connection.
  boost::asio::awaitable<std::optional<Response>> answer(Session& session, const Request& request);
  boost::asio::awaitable<std::optional<Response>> answerWork(Session& session, const Request& request);
  boost::asio::awaitable<std::optional<Response>> runWork(Session& session, const Request& request);
  boost::asio::awaitable<std::optional<Response>> answerProbe(Session& session, const Request& request);
  Response answerControl(const Request& request);
  Response jsonAnswer(const Request& request, const boost::json::value& body) const;
  Response refusal(const Request& request, const char* not_run);
  Response completedAnswer(const Request& request);
  void noteArrivalWhileLeaving();
  Duration nextServiceTime();
  bool strikesFault();

  boost::asio::io_context& io_;
  BackendOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer linger_timer_;
  BackendBehavior behavior_;
  BackendCounters counters_;
  ExecutionRecord executed_;
  WorkQueue queue_;
  LoadReport load_report_;
  ServiceTimeSource service_times_;
  boost::random::mt19937_64 fault_engine_;
  std::uint64_t incarnation_;
  TimePoint started_;
  std::optional<TimePoint> leaving_since_;
  std::uint64_t next_work_ = 1;
  std::uint32_t open_sessions_ = 0;
  std::uint32_t open_requests_ = 0;
  /// Sessions whose request waits for a slot.
  std::map<WorkId, Session*> waiting_;
};

}  // namespace cometstand::rehearsal
