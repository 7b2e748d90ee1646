#include "misbehaving_clients/ordinary_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "platform/names.h"

namespace cometstand::platform {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kOk = 200;
constexpr std::size_t kCallersPerSidecar = 4;
constexpr Duration kPause = std::chrono::milliseconds(80);
constexpr Duration kPatience = std::chrono::seconds(2);
constexpr unsigned kMaxAttempts = 4;
constexpr std::uint64_t kBodyEvery = 8;
constexpr std::size_t kBodyBytes = 100'000;
constexpr Duration kRetryPause = std::chrono::milliseconds(20);

/// @return how long to wait before the next attempt: what the answer says, up to a third of the time left.
Duration retryPause(const web::SendResult& result, Duration time_left) {
  const auto field = result.response.find(http::field::retry_after);
  if (field == result.response.end()) return kRetryPause;
  const std::chrono::duration<double> told(std::stod(std::string(field->value())));
  return std::min(std::chrono::duration_cast<Duration>(told), time_left / 3);
}

}  // namespace

double OrdinaryCallers::Count::share() const {
  return ended == 0 ? 1 : static_cast<double>(served) / static_cast<double>(ended);
}

OrdinaryCallers::OrdinaryCallers(PlatformMesh& mesh) : body_(kBodyBytes, 'b') {
  for (std::size_t sidecar = 0; sidecar < mesh.sidecarCount(); ++sidecar) {
    const auto endpoint = mesh.callerEndpoint(sidecar);
    clients_.emplace_back(io_, runtime::Address{endpoint.address().to_string(), endpoint.port()});
    counts_.emplace_back();
    for (std::size_t caller = 0; caller < kCallersPerSidecar; ++caller) begin(sidecar);
  }
  thread_ = std::thread([this] { io_.run(); });
}

OrdinaryCallers::~OrdinaryCallers() {
  io_.stop();
  thread_.join();
}

OrdinaryCallers::Count OrdinaryCallers::countOf(std::size_t sidecar) const {
  const auto& count = counts_.at(sidecar);
  return {count.served, count.ended};
}

void OrdinaryCallers::reset() {
  ++round_;
  for (auto& count : counts_) {
    count.served = 0;
    count.ended = 0;
  }
}

void OrdinaryCallers::begin(std::size_t sidecar) {
  Request request;
  request.sidecar = sidecar;
  request.has_body = ++sends_ % kBodyEvery == 0;
  request.deadline = SteadyClock::now() + kPatience;
  request.round = round_;
  attempt(std::move(request));
}

void OrdinaryCallers::attempt(Request request) {
  request.id = fmt::format("ordinary-{}", ++sends_);
  ++request.attempts;
  web::Request message;
  message.version(11);
  message.method(request.has_body ? http::verb::post : http::verb::get);
  message.target("/");
  message.set(http::field::host, kTestHost);
  message.set(kRequestId, request.id);
  message.set(kDeadline, std::to_string(ceilMilliseconds(request.deadline - SteadyClock::now())));
  if (request.has_body) message.body().assign(body_.begin(), body_.end());
  message.prepare_payload();
  const web::SendId id{sends_};
  auto& client = clients_.at(request.sidecar);
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, request.deadline - SteadyClock::now());
  // The deadline and the result may be due in one turn of the loop.
  const auto has_ended = std::make_shared<bool>(false);
  timer->async_wait([this, id, request, has_ended](boost::system::error_code error) {
    if (error || std::exchange(*has_ended, true)) return;
    clients_.at(request.sidecar).cancel(id);
    finish(request, false);
  });
  client.send(
      id, std::move(message), [](const web::Response&) { return true; },
      [this, timer, request, has_ended](const web::SendResult& result) {
        if (std::exchange(*has_ended, true)) return;
        timer->cancel();
        onResult(request, result);
      });
}

void OrdinaryCallers::onResult(const Request& request, const web::SendResult& result) {
  const bool is_served = result.outcome == web::SendOutcome::Answered && result.response.result_int() == kOk;
  const Duration time_left = request.deadline - SteadyClock::now();
  if (is_served || request.attempts == kMaxAttempts || time_left <= kRetryPause) {
    finish(request, is_served);
    return;
  }
  after(retryPause(result, time_left), [this, request] { attempt(request); });
}

void OrdinaryCallers::finish(const Request& request, bool is_served) {
  if (request.round == round_) {
    auto& count = counts_.at(request.sidecar);
    ++count.ended;
    if (is_served) ++count.served;
  }
  after(kPause, [this, sidecar = request.sidecar] { begin(sidecar); });
}

void OrdinaryCallers::after(Duration pause, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, pause);
  timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
    if (!error) action();
  });
}

}  // namespace cometstand::platform
