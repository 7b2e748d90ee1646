#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mesh/configuration.h"
#include "runtime/data_folder.h"
#include "sidecar/sidecar_core.h"

namespace cometstand::sidecar::test {

using std::chrono::milliseconds;

/// Records what a sidecar sends to its target.
class RecordingTarget : public TargetPort {
 public:
  void run(RunRequest order) override { orders.push_back(std::move(order)); }
  void requestHealth(const std::string& path) override { health_checks.push_back(path); }
  void probe() override { ++probes; }
  void cancel(RunId id) override { cancelled.push_back(id); }

  std::vector<RunRequest> orders;
  std::vector<RunId> cancelled;
  std::vector<std::string> health_checks;
  unsigned probes = 0;
};

/// Records the responses to callers.
class RecordingCallers : public CallerPort {
 public:
  void answer(CallId id, CallAnswer answer) override {
    const bool is_first = answers.emplace(id, std::move(answer)).second;
    REQUIRE(is_first);
  }

  std::map<CallId, CallAnswer> answers;
};

/// A sidecar whose stores, peers, target and callers are simulated by the test.
class SidecarFixture {
 public:
  static inline const runtime::Address kSelf{"10.0.0.1", 7000};
  static inline const runtime::Address kStore{"10.0.0.9", 7000};
  static inline const runtime::Address kPeer{"10.0.0.2", 7000};
  static inline const runtime::Address kOtherPeer{"10.0.0.3", 7000};

  explicit SidecarFixture(SidecarOptions options = makeOptions())
      : SidecarFixture(std::move(options), callers) {}

  /// @param recovered leave notices that earlier processes of the sidecar have committed.
  explicit SidecarFixture(wire::LeaveNoticeListT recovered)
      : leave_notices(std::move(recovered)), core(makeOptions(), 1, target, callers) {
    begin();
  }

  /// @param other_callers receives the responses instead of `callers`.
  SidecarFixture(SidecarOptions options, CallerPort& other_callers)
      : core(std::move(options), 1, target, other_callers) {
    begin();
  }

  static SidecarOptions makeOptions() {
    SidecarOptions options;
    options.node = "node-1";
    options.service = "shop";
    options.zone = "zone-a";
    options.advertise = kSelf;
    options.seeds = {kStore};
    return options;
  }

  void begin() {
    core.start(runtime::EmptyFileReader(), now);
    step();
    REQUIRE(links.contains(kStore));
  }

  /// Executes the actions of the core; every connect succeeds at once.
  void step() {
    auto actions = core.takeActions();
    const bool is_queried = std::any_of(
        actions.messages.begin(), actions.messages.end(),
        [](const auto& message) { return message.message->body.AsLeaveNoticeQuery() != nullptr; });
    std::erase_if(actions.messages,
                  [](const auto& message) { return message.message->body.AsLeaveNoticeQuery() != nullptr; });
    for (auto& message : actions.messages) sent.push_back(std::move(message));
    for (const auto& order : actions.connects) {
      links[order.address] = order.link;
      core.onLinkOpened(order.link, {}, now);
      step();
    }
    if (is_queried) deliver(kStore, wire::LeaveNoticeListT(leave_notices));
  }

  /// Advances the time and fires the timers that are due.
  void advance(Duration time) {
    const TimePoint end = now + time;
    while (core.nextTimer() <= end) {
      now = std::max(now, core.nextTimer());
      core.onTimer(now);
      step();
    }
    now = end;
  }

  /// Delivers a message to the sidecar over the link of `from`.
  template <typename Message>
  void deliver(const runtime::Address& from, Message message, std::uint64_t request_id = 0) {
    core.onMessage(links.at(from), runtime::makeEnvelope(std::move(message), request_id), now);
    step();
  }

  struct NamedStore {
    runtime::Address address;
    std::string zone;
  };

  /// Announces the stores through kStore, so that the sidecar connects to them. @return the heartbeat sent.
  wire::StoreBeatT announceStores(const std::vector<NamedStore>& stores) {
    wire::StoreBeatT beat;
    beat.is_current = true;
    for (const auto& named : stores) {
      auto store = std::make_shared<wire::NetworkEndpointT>();
      store->host = named.address.host;
      store->port = named.address.port;
      store->zone = named.zone;
      beat.replicas.push_back(std::move(store));
    }
    deliver(kStore, beat);
    core.onTimer(now);
    step();
    return beat;
  }

  static wire::MeshConfigurationT makeConfiguration() {
    wire::MeshConfigurationT configuration;
    for (const char* name : {"read", "write"}) {
      auto route = std::make_shared<wire::MeshRouteT>();
      route->name = name;
      route->host = "shop.example";
      route->path_prefix = std::string("/") + name + "/";
      route->repeatable = route->name == "read";
      route->timeout_ms = 1'000;
      route->objective_ms = 400;
      route->priority = route->repeatable ? 2 : 1;
      route->max_attempts = 2;
      auto share = std::make_shared<wire::TrafficShareT>();
      share->service = "shop";
      share->weight = 1;
      route->shares.push_back(share);
      configuration.routes.push_back(route);
    }
    auto service = std::make_shared<wire::MeshServiceT>();
    service->name = "shop";
    service->health_path = "/health";
    configuration.services.push_back(service);
    return configuration;
  }

  void configure(std::uint64_t revision = 1,
                 const wire::MeshConfigurationT& configuration = makeConfiguration()) {
    wire::StoreBeatT beat;
    beat.is_current = true;
    beat.revision = revision;
    deliver(kStore, beat);
    wire::MeshUpdateT update;
    update.revision = revision;
    update.configuration = mesh::compress(mesh::encodeConfiguration(configuration));
    deliver(kStore, update);
  }

  void addPeer(const runtime::Address& address, wire::EndpointState state = wire::EndpointState::Live,
               const std::string& service = "shop", const std::string& zone = "zone-a") {
    wire::EndpointUpdateT update;
    auto record = std::make_shared<wire::EndpointRecordT>();
    record->service = service;
    record->endpoint = "instance-" + address.host;
    record->address = address.host;
    record->port = address.port;
    record->zone = zone;
    record->state = state;
    record->slots = 2;
    update.records.push_back(record);
    deliver(kStore, update);
    core.onTimer(now);
    step();
  }

  static Heartbeat makeHeartbeat(const std::string& instance, std::uint64_t sequence, bool ready = true) {
    Heartbeat beat;
    beat.incarnation.id = instance;
    beat.service = "shop";
    beat.slots = 2;
    beat.ready = ready;
    beat.sequence = sequence;
    return beat;
  }

  CallId call(const std::string& path, std::optional<Duration> deadline = std::nullopt) {
    Call request;
    request.host = "shop.example";
    request.request.target = path;
    request.request.method = "GET";
    request.request.request_id = "r" + std::to_string(++last_call);
    request.deadline = deadline;
    const CallId id{last_call};
    core.onCall(id, std::move(request), now);
    step();
    return id;
  }

  /// Removes the forward requests to the address from `sent`. @return their request ids.
  std::vector<std::uint64_t> forwardsTo(const runtime::Address& address) {
    std::vector<std::uint64_t> numbers;
    std::erase_if(sent, [&](const auto& message) {
      const bool matches =
          message.link == links.at(address) && message.message->body.AsForwardRequest() != nullptr;
      if (matches) numbers.push_back(message.message->request_id);
      return matches;
    });
    return numbers;
  }

  void reply(const runtime::Address& from, std::uint64_t number, wire::ForwardOutcome outcome) {
    wire::ForwardReplyT answer;
    answer.outcome = outcome;
    answer.status = 200;
    deliver(from, answer, number);
  }

  RecordingTarget target;
  RecordingCallers callers;
  TimePoint now{std::chrono::seconds(100)};
  std::map<runtime::Address, runtime::LinkId> links;
  std::vector<runtime::OutgoingMessage> sent;
  /// Response of the store to queries for leave notices.
  wire::LeaveNoticeListT leave_notices;
  SidecarCore core;
  std::uint64_t last_call = 0;
};

}  // namespace cometstand::sidecar::test
