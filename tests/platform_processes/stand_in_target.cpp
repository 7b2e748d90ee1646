#include "platform_processes/stand_in_target.h"

#include <fmt/format.h>

#include <algorithm>

#include "platform/names.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kSlots = 8;
constexpr Duration kBeatInterval = std::chrono::milliseconds(200);

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

StandInTarget::StandInTarget(boost::asio::io_context& io, TargetPlan plan)
    : plan_(std::move(plan)), server_(io, plan_.listen, *this), client_(io, plan_.sidecar), timer_(io) {}

void StandInTarget::start() {
  server_.start();
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

std::string StandInTarget::seenFields() const {
  const std::scoped_lock lock(mutex_);
  return seen_fields_;
}

void StandInTarget::onRequest(web::ExchangeId id, web::Request request) {
  web::Response response;
  response.result(http::status::ok);
  if (request.target() == kHealthPath) {
    response.set(kInstanceId, plan_.instance);
    response.set(kServerLoad, fmt::format("0,0,{}", kSlots));
    response.set(kColdRemaining, std::to_string(ceilMilliseconds(coldRemaining())));
  } else {
    response.set(kRequestId, request[kRequestId]);
    response.body() = bodyFor(request);
    const bool is_cold = coldRemaining() > Duration::zero();
    const std::scoped_lock lock(mutex_);
    arrivals_.push_back(SteadyClock::now());
    if (!limit_.empty()) response.set(kServerLimit, limit_);
    if (is_leaving_) response.set(kServerLeaving, "1");
    for (const auto& field : request) {
      seen_fields_ +=
          fmt::format("{}: {}\n", std::string_view(field.name_string()), std::string_view(field.value()));
    }
    if (is_cold) cold_arrivals_.push_back(arrivals_.back());
  }
  server_.respond(id, std::move(response));
}

std::string StandInTarget::bodyFor(const web::Request& request) const {
  const std::string_view target = request.target();
  if (!target.starts_with(kLargePath)) return plan_.instance;
  const std::string bytes(target.substr(std::string_view(kLargePath).size()));
  return std::string(std::stoul(bytes), 'x');
}

void StandInTarget::beat() {
  web::Request request;
  request.version(11);
  request.method(http::verb::post);
  request.target(kHeartbeatPath + plan_.instance);
  request.set(http::field::host, plan_.sidecar.host);
  request.body() =
      fmt::format(R"({{"address":"{}:{}","info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},)"
                  R"("status":{{"state":"ready","sequence":{},"cold_remaining_s":{}}}}})",
                  plan_.listen.host, plan_.listen.port, kTestService, plan_.zone, kSlots, ++beats_,
                  secondsOf(coldRemaining()));
  request.prepare_payload();
  client_.send(
      web::SendId{beats_}, std::move(request), [](const web::Response&) { return true; },
      [this](const web::SendResult& result) {
        const bool is_taken =
            result.outcome == web::SendOutcome::Answered && result.response.result() == http::status::ok;
        if (is_taken) ++acknowledged_beats_;
      });
  timer_.expires_after(kBeatInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) beat();
  });
}

Duration StandInTarget::coldRemaining() const {
  const auto now = SteadyClock::now();
  const std::scoped_lock lock(mutex_);
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
