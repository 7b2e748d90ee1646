#include "mesh_soak/soak_callers.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/steady_timer.hpp>

#include "broken_responses/faulty_targets.h"
#include "mesh_soak/soak_configuration.h"
#include "platform/names.h"

namespace cometstand::platform {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr unsigned kFirstFailure = 400;
/// With which the bodies of targets begin.
constexpr const char* kInstancePrefix = "i-zone-";
constexpr std::size_t kPatientCallersPerSidecar = 3;
constexpr Duration kPatientDeadline = milliseconds(3'000);
constexpr Duration kPatientPause = milliseconds(10);
constexpr Duration kMinLateDeadline = milliseconds(1);
constexpr Duration kMaxLateDeadline = milliseconds(12);
constexpr Duration kMaxLatePause = milliseconds(60);
constexpr Duration kMaxTimeToLeave = milliseconds(150);
constexpr Duration kMaxLeavingPause = milliseconds(150);
constexpr std::array<const char*, 7> kMethods{"GET", "POST", "PUT", "DELETE", "OPTIONS", "TRACE", "OWN"};
/// None, one that goes with its request, and one that is announced and granted in parts.
constexpr std::array<std::size_t, 3> kBodyBytes{0, 1'000, 100'000};
constexpr std::size_t kLargeAnswerBytes = 300'000;

}  // namespace

SoakCallers::SoakCallers(PlatformMesh& mesh, std::uint64_t seed, unsigned pause_factor)
    : pause_factor_(pause_factor), random_(seed), served_(mesh.sidecarCount()) {
  for (std::size_t sidecar = 0; sidecar < mesh.sidecarCount(); ++sidecar) {
    const auto endpoint = mesh.callerEndpoint(sidecar);
    const runtime::Address address{endpoint.address().to_string(), endpoint.port()};
    for (auto* clients : {&patient_clients_, &late_clients_, &leaving_clients_})
      clients->emplace_back(io_, address);
    for (std::size_t caller = 0; caller < kPatientCallersPerSidecar; ++caller) sendPatient(sidecar);
    sendLate(sidecar);
    sendAndLeave(sidecar);
  }
  thread_ = std::thread([this] { io_.run(); });
}

SoakCallers::~SoakCallers() {
  io_.stop();
  thread_.join();
}

std::vector<UnansweredRequest> SoakCallers::unanswered() const {
  const std::scoped_lock lock(mutex_);
  return unanswered_;
}

std::vector<std::string> SoakCallers::wrongResponses() const {
  const std::scoped_lock lock(mutex_);
  return wrong_responses_;
}

/// A success is a target's whole response to this request. A failure is the sidecar's own: no target gives
/// one.
void SoakCallers::checkResponse(const std::string& id, const web::Response& response) {
  const bool is_success = response.result_int() == kOk;
  const bool is_whole = response[kRequestId] == id && response[kSeal] == sealOf(id) &&
                        std::string_view(response.body()).starts_with(kInstancePrefix);
  const bool is_own_failure = response.result_int() >= kFirstFailure && response.count(kSeal) == 0;
  if (is_success ? is_whole : is_own_failure) return;
  const std::scoped_lock lock(mutex_);
  wrong_responses_.push_back(fmt::format("{} got {} with {} bytes and the seal '{}'", id,
                                         response.result_int(), response.body().size(),
                                         std::string_view(response[kSeal])));
}

web::Request SoakCallers::makeRequest(const std::string& id, const std::string& key,
                                      Duration deadline) const {
  web::Request request;
  request.version(11);
  request.method(boost::beast::http::verb::get);
  request.target("/");
  request.set(boost::beast::http::field::host, kSoakHost);
  request.set(kRequestId, id);
  request.set(kDeadline, fmt::format("{}", ceilMilliseconds(deadline)));
  request.set(kAuthorization, fmt::format("{} {}", kKeyScheme, key));
  return request;
}

void SoakCallers::after(Duration pause, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, pause * pause_factor_);
  timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
    if (!error) action();
  });
}

void SoakCallers::sendPatient(std::size_t sidecar) {
  const auto send_id = nextId();
  const auto id = fmt::format("patient-{}", sends_);
  patient_clients_.at(sidecar).send(
      send_id, makeRequest(id, kKeptKey, kPatientDeadline), [](const web::Response&) { return true; },
      [this, sidecar, id, sent_at = SteadyClock::now()](const web::SendResult& result) {
        if (result.outcome == web::SendOutcome::Answered) checkResponse(id, result.response);
        if (result.outcome == web::SendOutcome::Answered && result.response.result_int() == kOk)
          ++served_[sidecar];
        if (result.outcome == web::SendOutcome::Broken) {
          const std::scoped_lock lock(mutex_);
          unanswered_.push_back({id, sidecar, sent_at, SteadyClock::now()});
        }
        after(kPatientPause, [this, sidecar] { sendPatient(sidecar); });
      });
}

void SoakCallers::sendLate(std::size_t sidecar) {
  const auto send_id = nextId();
  const auto key = smallTenantKey(random_.uniform(std::uint64_t{0}, kSmallTenants - 1));
  const auto deadline = random_.uniform(kMinLateDeadline, kMaxLateDeadline);
  late_clients_.at(sidecar).send(
      send_id, makeRequest(fmt::format("late-{}", sends_), key, deadline),
      [](const web::Response&) { return true; },
      [this](const web::SendResult& result) {
        if (result.outcome == web::SendOutcome::Answered) ++late_and_left_;
      });
  // The next one does not wait for the answer: several of a tenant's requests wait at once.
  after(random_.uniform(Duration::zero(), kMaxLatePause), [this, sidecar] { sendLate(sidecar); });
}

/// Of any method, with a body or a large answer at times: the caller leaves in any phase of the request.
web::Request SoakCallers::drawRequest(const std::string& id) {
  const bool has_limit = random_.uniform(0, 1) == 0;
  const auto tenant = random_.uniform(std::uint64_t{0}, kSmallTenants - 1);
  auto request = makeRequest(id, has_limit ? smallTenantKey(tenant) : kKeptKey, kPatientDeadline);
  request.method_string(kMethods.at(random_.uniform(std::uint64_t{0}, kMethods.size() - 1)));
  if (random_.uniform(0, 2) == 0) request.target(fmt::format("{}{}", kLargePath, kLargeAnswerBytes));
  const auto body_bytes = kBodyBytes.at(random_.uniform(std::uint64_t{0}, kBodyBytes.size() - 1));
  request.body().assign(body_bytes, 'b');
  request.content_length(body_bytes);
  return request;
}

void SoakCallers::sendAndLeave(std::size_t sidecar) {
  const auto send_id = nextId();
  leaving_clients_.at(sidecar).send(
      send_id, drawRequest(fmt::format("leaving-{}", sends_)), [](const web::Response&) { return true; },
      [](const web::SendResult&) {});
  after(random_.uniform(Duration::zero(), kMaxTimeToLeave), [this, sidecar, send_id] {
    leaving_clients_.at(sidecar).cancel(send_id);
    ++late_and_left_;
    after(random_.uniform(Duration::zero(), kMaxLeavingPause), [this, sidecar] { sendAndLeave(sidecar); });
  });
}

}  // namespace cometstand::platform
