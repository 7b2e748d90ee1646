#include "rehearsal/simulator/prober.h"

#include "relay/prober.h"

namespace cometstand::simulator {

RelayProber::RelayProber(EventQueue& queue, Network& network, HostId host, Process& relay,
                         const MachineList& machines)
    : queue_(queue), client_(queue, network, host), relay_(relay), machines_(machines) {}

relay::RelayCore* RelayProber::core() { return dynamic_cast<relay::RelayCore*>(relay_.core()); }

void RelayProber::start() { beginRound(); }

void RelayProber::beginRound() {
  const relay::ProberOptions options;
  queue_.after(options.interval, [this] { beginRound(); });
  if (!relay_.running() || relay_.frozen()) return;
  if (run_ != relay_.run()) {
    run_ = relay_.run();
    waiting_.clear();
    in_flight_ = 0;
  }
  if (!waiting_.empty() || in_flight_ != 0) return;
  const auto targets = core()->probeTargets();
  waiting_.assign(targets.begin(), targets.end());
  while (!waiting_.empty() && in_flight_ < options.concurrency) probeNext();
  if (targets.empty()) return;
  relay_.execute([this](TimePoint now) { core()->onMachineList(machines_.listed(), now); });
}

void RelayProber::probeNext() {
  const relay::ProberOptions options;
  const auto target = waiting_.front();
  waiting_.pop_front();
  ++in_flight_;
  auto message = std::make_shared<proxy::CallerRequest>();
  message->method = "GET";
  message->target = "/healthz";
  client_.request(
      target.address, {message, 1, options.time_limit, ""}, options.time_limit,
      [this, id = target.endpoint, run = run_](ExchangeEnd end, const HttpResponse* response) {
        if (run != relay_.run()) return;
        --in_flight_;
        const auto result =
            end == ExchangeEnd::Answered ? relay::parseHealth(response->response.body) : relay::ProbeResult();
        relay_.execute([this, id, result](TimePoint now) { core()->onProbeResult(id, result, now); });
        if (!waiting_.empty()) probeNext();
      });
}

}  // namespace cometstand::simulator
