#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "web/client.h"
#include "web/server.h"

namespace cometstand::platform {

/// Service of all stand-in targets, and where they answer health questions.
inline constexpr const char* kTestService = "shop";
inline constexpr const char* kHealthPath = "/health";
/// With a number of bytes behind it: an answer of that size.
inline constexpr const char* kLargePath = "/large/";
/// Time for which a target is cold after a start.
inline constexpr Duration kColdTime = std::chrono::seconds(3);

/// Where a stand-in target is and what it speaks to.
struct TargetPlan {
  std::string instance;
  std::string zone;
  runtime::Address listen;
  /// Control address of the sidecar beside it.
  runtime::Address sidecar;
  /// How long it works on each request.
  Duration work_time{};
  /// It answers requests itself. Otherwise it only sends heartbeats, and the test serves its address.
  bool answers = true;
};

/// A target inside the test process: answers every request after its work time, notes when each came, and
/// sends heartbeats to the sidecar beside it. Serves on the io_context's thread; all else may be called on
/// any.
class StandInTarget : public web::RequestHandler {
 public:
  /// @throw Error(InputOutput) if the address cannot be used.
  StandInTarget(boost::asio::io_context& io, TargetPlan plan);

  void start();
  /// From now on it says that it is cold, and will be for kColdTime; without an end until warmUp().
  void turnCold();
  /// It is still cold for kColdTime, and warm then.
  void warmUp();
  /// From now on its responses to requests name this limit, as it stands; none if it is empty.
  void nameLimit(const std::string& limit);
  /// From now on its responses to requests say that it leaves; its heartbeats still say that it is ready.
  void sayLeaving();
  /// From now on its heartbeats say that it drains, and its health checks fail. Heartbeats come less often
  /// once it is acknowledged.
  void announceDraining();
  /// Sends no more heartbeats but a deregistration, again until one is acknowledged. Its health checks still
  /// pass.
  void deregister();
  /// Starts again under its id, and knows nothing of before.
  void startAgain();
  /// Sends one heartbeat that says ready, as it was sent before the shutdown was announced.
  void sendDelayedHeartbeat();
  /// @return when the first response came that acknowledged the announced shutdown.
  std::optional<TimePoint> leaveAcknowledgedAt() const;
  /// Waits until the sidecar has taken a heartbeat that was sent after this call began.
  void waitForHeartbeat() const;

  /// @return when requests came, health questions left out; oldest first.
  std::vector<TimePoint> arrivals() const;
  /// @return those that came while it said that it was cold.
  std::vector<TimePoint> coldArrivals() const;
  std::vector<TimePoint> arrivalsSince(TimePoint begin) const;
  /// @return true if the request of this id came.
  bool hasRun(const std::string& request_id) const;
  /// @return the header fields of all requests that came, a line each.
  std::string seenFields() const;

  Duration workTime() const { return plan_.work_time; }
  /// Notes the request. @return the response that is due after the work time, at once to a health question.
  web::Response respondTo(const boost::beast::http::request_header<>& request);

  void onRequest(web::ExchangeId id, web::Request request) override;
  void onCallerGone(web::ExchangeId) override {}

 private:
  /// What the target tells its sidecar about itself.
  enum class Announcement : std::uint8_t { Ready, Draining, Deregistered };

  /// Sends what is due, and again after a pause.
  void beat();
  /// To be called with mutex_ held, as is sendDeregistration().
  void sendHeartbeat(const char* state, std::uint64_t sequence);
  void sendDeregistration();
  void send(const std::string& path, std::string body, bool is_leave_notice);
  void respondAfterWork(web::ExchangeId id, web::Response response);
  std::string bodyFor(const boost::beast::http::request_header<>& request) const;
  /// To be called with mutex_ held.
  Duration coldRemaining() const;

  const TargetPlan plan_;
  overload::MemoryBudget memory_{std::numeric_limits<std::size_t>::max()};
  web::Server server_;
  web::Client client_;
  boost::asio::steady_timer timer_;
  std::uint64_t sends_ = 0;
  std::atomic<std::uint64_t> acknowledged_beats_ = 0;

  /// Guards what follows.
  mutable std::mutex mutex_;
  TimePoint cold_until_;
  std::vector<TimePoint> arrivals_;
  std::vector<TimePoint> cold_arrivals_;
  std::set<std::string> request_ids_;
  std::string seen_fields_;
  std::string limit_;
  bool is_leaving_ = false;
  Announcement announcement_ = Announcement::Ready;
  std::uint64_t sequence_ = 0;
  /// Sequence of the last heartbeat that said ready.
  std::uint64_t last_ready_sequence_ = 0;
  std::uint64_t born_ms_ = 0;
  std::optional<TimePoint> leave_acknowledged_at_;
};

/// @param times in rising order.
/// @return the most of them in any sliding window of that length.
std::size_t mostInWindow(const std::vector<TimePoint>& times, Duration window);

}  // namespace cometstand::platform
