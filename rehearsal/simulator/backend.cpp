#include "rehearsal/simulator/backend.h"

#include <fmt/format.h>

#include <algorithm>

namespace cometstand::simulator {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;
/// Requests that wait for each slot before more are shed.
constexpr std::size_t kQueueBySlot = 2;
constexpr std::size_t kSamplesKept = 256;
constexpr std::size_t kHeadBytes = 150;

std::string headerOf(const proxy::CallerRequest& request, std::string_view name) {
  return std::string(proxy::findHeader(request.headers, name).value_or(""));
}

}  // namespace

Backend::Backend(EventQueue& queue, Network& network, HostId host, unsigned slots, std::uint64_t seed,
                 BackendObserver& observer)
    : queue_(queue), network_(network), host_(host), slots_(slots), random_(seed), observer_(observer) {}

void Backend::start() {
  if (running_) return;
  running_ = true;
  leaving_ = false;
  ++incarnation_;
  started_ = queue_.now();
  samples_.clear();
  network_.attach(host_, this);
  sample();
}

void Backend::kill() {
  if (!running_) return;
  running_ = false;
  ++incarnation_;
  busy_ = 0;
  waiting_.clear();
  network_.detach(host_, false);
}

void Backend::beginLeaving() {
  leaving_ = true;
  sample();
}

const char* Backend::state() const {
  if (leaving_) return "leaving";
  return queue_.now() < started_ + behavior_.cold_time ? "cold" : "live";
}

double Backend::load() const {
  return static_cast<double>(busy_ + waiting_.size()) / static_cast<double>(slots_);
}

void Backend::sample() {
  samples_.push_back({queue_.now(), state(), load()});
  if (samples_.size() > kSamplesKept) samples_.pop_front();
}

Backend::Sample Backend::reported() const {
  if (behavior_.lies) return {queue_.now(), "live", 0};
  if (behavior_.lag == Duration::zero()) return {queue_.now(), state(), load()};
  const TimePoint then = queue_.now() - behavior_.lag;
  Sample found = samples_.front();
  for (const auto& each : samples_) {
    if (each.when <= then) found = each;
  }
  return found;
}

void Backend::onPacket(ConnectionId connection, const Packet& packet) {
  const auto* request = std::get_if<std::shared_ptr<const HttpRequest>>(&packet);
  if (request == nullptr || !running_) return;
  if ((*request)->message->target == "/healthz") {
    answerHealth(connection);
    return;
  }
  takeWork({connection, *request, queue_.now() + (*request)->time_left});
}

void Backend::answerHealth(ConnectionId connection) {
  if (behavior_.probes_hang) return;
  proxy::BackendResponse response;
  response.status = kStatusOk;
  response.body = fmt::format(R"({{"state":"{}","incarnation":{}}})", reported().state, incarnation_);
  queue_.after(behavior_.probe_cost, [this, connection, response, run = incarnation_] {
    if (run == incarnation_) respond(connection, response);
  });
}

void Backend::takeWork(Work work) {
  observer_.onWorkArrived(name(), network_.nameOf(network_.peerOf(work.connection, host_)),
                          *work.request->message);
  if (leaving_ && !behavior_.runs_while_leaving) return refuse(work.connection, "leaving");
  const bool full = busy_ >= slots_ && waiting_.size() >= kQueueBySlot * slots_;
  if (behavior_.shed_all || full) return refuse(work.connection, "shed");
  if (busy_ < slots_) {
    run(std::move(work));
  } else {
    waiting_.push_back(std::move(work));
  }
  sample();
}

void Backend::run(Work work) {
  ++busy_;
  observer_.onWorkBegun(name(), *work.request);
  auto time = random_.uniform(behavior_.service_minimum, behavior_.service_maximum);
  if (queue_.now() < started_ + behavior_.cold_time) {
    time = Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * behavior_.cold_factor));
  }
  queue_.after(time, [this, work = std::move(work), run = incarnation_] {
    if (run == incarnation_) finish(work);
  });
}

void Backend::finish(const Work& work) {
  --busy_;
  const auto& message = *work.request->message;
  proxy::BackendResponse response;
  response.status = kStatusOk;
  response.headers.push_back({"Content-Type", "text/plain"});
  response.headers.push_back({std::string(proxy::kLoadHeader), fmt::format("{:.2f}", reported().load)});
  response.body =
      fmt::format("{} {} {} end", message.target, headerOf(message, "X-Request-Id"), message.idempotency_key);
  respond(work.connection, std::move(response));
  startWaiting();
  sample();
}

void Backend::startWaiting() {
  while (!waiting_.empty() && busy_ < slots_) {
    Work next = std::move(waiting_.front());
    waiting_.pop_front();
    if (next.deadline <= queue_.now()) {
      refuse(next.connection, "shed");
    } else {
      run(std::move(next));
    }
  }
}

void Backend::refuse(ConnectionId connection, const char* reason) {
  proxy::BackendResponse response;
  response.status = kStatusUnavailable;
  response.headers.push_back({std::string(proxy::kNotRunHeader), reason});
  response.headers.push_back({std::string(proxy::kRetryAfterMsHeader), "50"});
  respond(connection, std::move(response));
}

void Backend::respond(ConnectionId connection, proxy::BackendResponse response) {
  auto packet = std::make_shared<HttpResponse>();
  packet->response = std::move(response);
  const auto bytes = packet->response.body.size() + kHeadBytes;
  network_.send(connection, host_, std::shared_ptr<const HttpResponse>(std::move(packet)), bytes);
}

/// A closed connection is a cancellation: work that has begun goes on, work that waits is dropped.
void Backend::onClosed(ConnectionId connection) {
  std::erase_if(waiting_, [&](const Work& work) { return work.connection == connection; });
}

}  // namespace cometstand::simulator
