#include "rehearsal/relay_cost/relay_bench.h"

#include <utility>

#include "rehearsal/relay_cost/processor_clock.h"
#include "runtime/frame_encoder.h"

namespace cometstand::rehearsal {

using runtime::LinkId;

namespace {

/// Longer than any batch window.
constexpr Duration kQuietTime = std::chrono::milliseconds(200);

class NoFiles : public runtime::FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string& /*file*/) const override { return {}; }
  std::vector<std::string> list() const override { return {}; }
};

relay::RelayOptions benchOptions(const MeshSize& size) {
  relay::RelayOptions options;
  options.name = "relay-1";
  // Of no endpoint, so that no lease runs out while it is measured.
  options.zone = "zone-without-endpoints";
  options.stores = {{"10.0.0.1", 6001}};
  options.join_burst = size.proxies;
  return options;
}

}  // namespace

StepCost& StepCost::operator+=(const StepCost& other) {
  core_us += other.core_us;
  encode_us += other.encode_us;
  reports_us += other.reports_us;
  messages += other.messages;
  bytes += other.bytes;
  return *this;
}

RelayBench::RelayBench(const MeshSize& size, std::vector<unsigned> held)
    : size_(size), configuration_(size, std::move(held)), core_(benchOptions(size)) {
  core_.start(NoFiles(), now_);
  while (core_.nextTimer() != TimePoint::max() && store_ == LinkId()) {
    now_ = std::max(now_, core_.nextTimer());
    core_.onTimer(now_);
    for (const auto& order : core_.takeActions().connects) store_ = order.link;
  }
  core_.onLinkOpened(store_, {}, now_);
}

void RelayBench::receive(LinkId link, const wire::EnvelopeT& message) {
  core_.onMessage(link, message, now_);
}

/// Takes the core's actions and encodes its messages.
StepCost RelayBench::drain() {
  StepCost cost;
  const double began = processorMicroseconds();
  const runtime::Actions actions = core_.takeActions();
  const double taken = processorMicroseconds();
  runtime::FrameEncoder encoder;
  for (const auto& outgoing : actions.messages) cost.bytes += encoder.frameOf(outgoing.message)->size();
  cost.encode_us = processorMicroseconds() - taken;
  cost.core_us = taken - began;
  cost.messages = actions.messages.size();
  for (const auto& outgoing : actions.messages) {
    const auto& body = outgoing.message->body;
    if (const auto* delta = body.AsViewDelta())
      acknowledgements_.push_back({outgoing.link, delta->to_version});
    if (const auto* snapshot = body.AsViewSnapshot())
      acknowledgements_.push_back({outgoing.link, snapshot->version});
    if (body.AsFreshnessRequest() != nullptr) freshness_requests_.push_back(outgoing.message->request_id);
  }
  return cost;
}

void RelayBench::acknowledgeAll(StepCost& cost) {
  const auto acknowledgements = std::exchange(acknowledgements_, {});
  const double began = processorMicroseconds();
  for (const auto& acknowledgement : acknowledgements) {
    wire::ViewReportT report;
    report.view_version = acknowledgement.version;
    report.as_of = acknowledgement.version;
    receive(acknowledgement.link, runtime::makeEnvelope(report));
    cost += drain();
    (void)core_.nextTimer();
  }
  cost.reports_us += processorMicroseconds() - began;
}

void RelayBench::answerFreshness(StepCost& cost) {
  while (!freshness_requests_.empty()) {
    const auto requests = std::exchange(freshness_requests_, {});
    for (const auto request : requests) {
      wire::QuorumBeatT beat;
      beat.term = 1;
      beat.round = ++round_;
      beat.version = core_.version();
      const double began = processorMicroseconds();
      receive(store_, runtime::makeEnvelope(beat, request));
      cost.core_us += processorMicroseconds() - began;
      cost += drain();
    }
  }
}

StepCost RelayBench::follow() {
  wire::ConfigurationSnapshotT snapshot;
  snapshot.version = 1;
  snapshot.changes = configuration_.objects();
  const auto message = runtime::makeEnvelope(std::move(snapshot));
  const double began = processorMicroseconds();
  receive(store_, message);
  StepCost cost;
  cost.core_us = processorMicroseconds() - began;
  cost += drain();
  return cost;
}

StepCost RelayBench::joinAll() {
  StepCost cost;
  for (unsigned i = 0; i < size_.proxies; ++i) {
    const LinkId link{runtime::kFirstIncomingLink + i};
    wire::ProxyHelloT hello;
    hello.node = MeshConfiguration::nodeName(i);
    hello.zone = MeshConfiguration::zoneName(0);
    const auto message = runtime::makeEnvelope(std::move(hello));
    const double began = processorMicroseconds();
    core_.onLinkOpened(link, {}, now_);
    receive(link, message);
    cost.core_us += processorMicroseconds() - began;
    cost += drain();
    answerFreshness(cost);
    acknowledgeAll(cost);
  }
  return cost;
}

StepCost RelayBench::change(const std::string& tenant) {
  now_ += kQuietTime;
  wire::ConfigurationDeltaT delta;
  delta.from_version = core_.version();
  delta.to_version = delta.from_version + 1;
  delta.changes.push_back(configuration_.serviceChange(tenant, delta.to_version));
  const auto message = runtime::makeEnvelope(std::move(delta));
  const double began = processorMicroseconds();
  receive(store_, message);
  StepCost cost;
  cost.core_us = processorMicroseconds() - began;
  cost += drain();
  acknowledgeAll(cost);
  return cost;
}

StepCost RelayBench::beatRound() {
  wire::QuorumBeatT beat;
  beat.term = 1;
  beat.round = ++round_;
  beat.version = core_.version();
  receive(store_, runtime::makeEnvelope(beat));
  now_ += std::chrono::seconds(1);
  const double began = processorMicroseconds();
  core_.onTimer(now_);
  StepCost cost;
  cost.core_us = processorMicroseconds() - began;
  cost += drain();
  return cost;
}

}  // namespace cometstand::rehearsal
