#include "platform_processes/stand_in_target.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

#include "platform/names.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kSlots = 8;
constexpr Duration kBeatInterval = std::chrono::milliseconds(200);

/// While it drains; a sidecar that restarts learns of it only after some time.
constexpr Duration kDrainingBeatInterval = std::chrono::milliseconds(1'500);
/// A response that comes later than this acknowledges nothing.
constexpr Duration kAcknowledgementTime = std::chrono::seconds(1);

std::uint64_t unixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// @return where the target's server listens. One that is not to answer gets a port that the system picks,
/// which must not be one that the sidecar of the machine is about to use.
runtime::Address serverAddress(const TargetPlan& plan) {
  return plan.answers ? plan.listen : runtime::Address{"127.0.0.1", 0};
}

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

StandInTarget::StandInTarget(boost::asio::io_context& io, TargetPlan plan)
    : plan_(std::move(plan)),
      server_(io, serverAddress(plan_), *this, {memory_}),
      client_(io, plan_.sidecar),
      timer_(io),
      born_ms_(unixMilliseconds()) {}

void StandInTarget::start() {
  if (plan_.answers) server_.start();
  beat();
}

void StandInTarget::turnCold() {
  const std::scoped_lock lock(mutex_);
  cold_until_ = TimePoint::max();
}

void StandInTarget::warmUp() {
  const std::scoped_lock lock(mutex_);
  cold_until_ = SteadyClock::now() + kColdTime;
}

void StandInTarget::nameLimit(const std::string& limit) {
  const std::scoped_lock lock(mutex_);
  limit_ = limit;
}

void StandInTarget::sayLeaving() {
  const std::scoped_lock lock(mutex_);
  is_leaving_ = true;
}

void StandInTarget::announceDraining() {
  const std::scoped_lock lock(mutex_);
  announcement_ = Announcement::Draining;
}

void StandInTarget::deregister() {
  const std::scoped_lock lock(mutex_);
  announcement_ = Announcement::Deregistered;
}

void StandInTarget::startAgain() {
  const std::scoped_lock lock(mutex_);
  announcement_ = Announcement::Ready;
  is_leaving_ = false;
  sequence_ = 0;
  born_ms_ = unixMilliseconds();
  leave_acknowledged_at_.reset();
}

void StandInTarget::sendDelayedHeartbeat() {
  boost::asio::post(timer_.get_executor(), [this] {
    const std::scoped_lock lock(mutex_);
    sendHeartbeat("ready", last_ready_sequence_);
  });
}

std::optional<TimePoint> StandInTarget::leaveAcknowledgedAt() const {
  const std::scoped_lock lock(mutex_);
  return leave_acknowledged_at_;
}

void StandInTarget::waitForHeartbeat() const {
  // The one under way may have been sent before.
  const std::uint64_t enough = acknowledged_beats_ + 2;
  rehearsal::waitUntil("the sidecar takes heartbeats", [&] { return acknowledged_beats_ >= enough; });
}

std::vector<TimePoint> StandInTarget::arrivals() const {
  const std::scoped_lock lock(mutex_);
  return arrivals_;
}

std::vector<TimePoint> StandInTarget::coldArrivals() const {
  const std::scoped_lock lock(mutex_);
  return cold_arrivals_;
}

std::vector<TimePoint> StandInTarget::arrivalsSince(TimePoint begin) const {
  const std::scoped_lock lock(mutex_);
  return {std::lower_bound(arrivals_.begin(), arrivals_.end(), begin), arrivals_.end()};
}

bool StandInTarget::hasRun(const std::string& request_id) const {
  const std::scoped_lock lock(mutex_);
  return request_ids_.contains(request_id);
}

std::string StandInTarget::seenFields() const {
  const std::scoped_lock lock(mutex_);
  return seen_fields_;
}

void StandInTarget::onRequest(web::ExchangeId id, web::Request request) {
  auto response = respondTo(request);
  if (plan_.work_time > Duration::zero() && request.target() != kHealthPath) {
    respondAfterWork(id, std::move(response));
  } else {
    server_.respond(id, std::move(response));
  }
}

web::Response StandInTarget::respondTo(const http::request_header<>& request) {
  const std::scoped_lock lock(mutex_);
  web::Response response;
  response.result(http::status::ok);
  if (request.target() == kHealthPath) {
    if (announcement_ == Announcement::Draining) response.result(http::status::service_unavailable);
    response.set(kInstanceId, plan_.instance);
    response.set(kServerLoad, fmt::format("0,0,{}", kSlots));
    response.set(kColdRemaining, std::to_string(ceilMilliseconds(coldRemaining())));
    return response;
  }
  response.set(kRequestId, request[kRequestId]);
  response.body() = bodyFor(request);
  const bool is_cold = coldRemaining() > Duration::zero();
  arrivals_.push_back(SteadyClock::now());
  request_ids_.insert(std::string(request[kRequestId]));
  if (!limit_.empty()) response.set(kServerLimit, limit_);
  if (is_leaving_) response.set(kServerLeaving, "1");
  for (const auto& field : request) {
    seen_fields_ +=
        fmt::format("{}: {}\n", std::string_view(field.name_string()), std::string_view(field.value()));
  }
  if (is_cold) cold_arrivals_.push_back(arrivals_.back());
  return response;
}

void StandInTarget::respondAfterWork(web::ExchangeId id, web::Response response) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(timer_.get_executor(), plan_.work_time);
  timer->async_wait([this, id, timer, response = std::move(response)](boost::system::error_code error) {
    if (!error) server_.respond(id, response);
  });
}

std::string StandInTarget::bodyFor(const http::request_header<>& request) const {
  const std::string_view target = request.target();
  if (!target.starts_with(kLargePath)) return plan_.instance;
  const std::string bytes(target.substr(std::string_view(kLargePath).size()));
  return std::string(std::stoul(bytes), 'x');
}

void StandInTarget::beat() {
  Duration interval = kBeatInterval;
  {
    const std::scoped_lock lock(mutex_);
    if (announcement_ == Announcement::Draining && leave_acknowledged_at_) interval = kDrainingBeatInterval;
    switch (announcement_) {
      case Announcement::Ready:
        last_ready_sequence_ = ++sequence_;
        sendHeartbeat("ready", sequence_);
        break;
      case Announcement::Draining:
        sendHeartbeat("draining", ++sequence_);
        break;
      case Announcement::Deregistered:
        if (!leave_acknowledged_at_) sendDeregistration();
        break;
    }
  }
  timer_.expires_after(interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) beat();
  });
}

void StandInTarget::sendHeartbeat(const char* state, std::uint64_t sequence) {
  auto body = fmt::format(
      R"({{"address":"{}:{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},)"
      R"("status":{{"state":"{}","sequence":{},"cold_remaining_s":{}}}}})",
      plan_.listen.host, plan_.listen.port, born_ms_, kTestService, plan_.zone, kSlots, state, sequence,
      secondsOf(coldRemaining()));
  send(kHeartbeatPath + plan_.instance, std::move(body), announcement_ == Announcement::Draining);
}

void StandInTarget::sendDeregistration() {
  send(kDeregisterPath + plan_.instance, fmt::format(R"({{"born":{}}})", born_ms_), true);
}

void StandInTarget::send(const std::string& path, std::string body, bool is_leave_notice) {
  web::Request request;
  request.version(11);
  request.method(http::verb::post);
  request.target(path);
  request.set(http::field::host, plan_.sidecar.host);
  request.body().assign(body.begin(), body.end());
  request.prepare_payload();
  client_.send(
      web::SendId{++sends_}, std::move(request), [](const web::Response&) { return true; },
      [this, is_leave_notice, sent_at = SteadyClock::now()](const web::SendResult& result) {
        const bool is_taken =
            result.outcome == web::SendOutcome::Answered && result.response.result() == http::status::ok;
        if (!is_taken) return;
        ++acknowledged_beats_;
        const TimePoint now = SteadyClock::now();
        const std::scoped_lock lock(mutex_);
        if (is_leave_notice && !leave_acknowledged_at_ && now < sent_at + kAcknowledgementTime)
          leave_acknowledged_at_ = now;
      });
}

Duration StandInTarget::coldRemaining() const {
  const auto now = SteadyClock::now();
  if (cold_until_ <= now) return Duration::zero();
  return std::min(kColdTime, std::chrono::duration_cast<Duration>(cold_until_ - now));
}

std::size_t mostInWindow(const std::vector<TimePoint>& times, Duration window) {
  std::size_t most = 0;
  auto first = times.begin();
  for (auto last = times.begin(); last != times.end(); ++last) {
    while (*last - *first >= window) ++first;
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

}  // namespace cometstand::platform
