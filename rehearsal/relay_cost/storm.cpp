#include "rehearsal/relay_cost/storm.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "relay/relay_core.h"

namespace cometstand::rehearsal {

using simulator::LinkKind;
using simulator::Process;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kWindow = std::chrono::milliseconds(100);
constexpr Duration kSettleLimit = std::chrono::minutes(10);
constexpr Duration kRestartPause = std::chrono::seconds(1);
constexpr std::uint16_t kPort = 7000;

runtime::Address storeAddress() { return {"10.1.0.1", kPort}; }
runtime::Address relayAddress(unsigned index) { return {fmt::format("10.2.0.{}", index + 1), kPort}; }

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

Storm::Storm(const StormOptions& options)
    : options_(options),
      configuration_(options.size, {options.size.proxies}),
      network_(queue_, simulator::LatencyModel(), options.seed) {
  addStore();
  addRelays();
  addProxies();
}

void Storm::addStore() {
  const auto host = network_.addHost("store", "zone-s", "region", "store");
  network_.setAddress(host, storeAddress());
  store_process_ = std::make_unique<Process>(queue_, network_, host, nullptr, [this](std::uint64_t) {
    auto store = std::make_unique<ScriptedStore>(configuration_.objects());
    store_ = store.get();
    return store;
  });
  store_process_->start();
}

void Storm::addRelays() {
  for (unsigned i = 0; i < options_.relays; ++i) {
    relay::RelayOptions relay;
    relay.name = fmt::format("relay-{}", i);
    relay.zone = MeshConfiguration::zoneName(0);
    relay.region = "region";
    relay.advertise = relayAddress(i);
    relay.stores = {storeAddress()};
    for (unsigned peer = 0; peer < options_.relays; ++peer) relay.peers.push_back(relayAddress(peer));
    const auto host = network_.addHost(relay.name, MeshConfiguration::zoneName(0), "region", "relay");
    network_.setAddress(host, relay.advertise);
    relays_.push_back(
        std::make_unique<Process>(queue_, network_, host, nullptr, [relay, this](std::uint64_t run) mutable {
          relay.seed = options_.seed * 1000 + run;
          return std::make_unique<relay::RelayCore>(relay);
        }));
    relays_.back()->setObserver(this);
    relays_.back()->start();
  }
}

void Storm::addProxies() {
  for (unsigned i = 0; i < options_.size.proxies; ++i) {
    proxy::ControlOptions control;
    control.node = MeshConfiguration::nodeName(i);
    control.zone = MeshConfiguration::zoneName(0);
    for (unsigned relay = 0; relay < options_.relays; ++relay)
      control.relays.push_back({relayAddress(relay), MeshConfiguration::zoneName(0)});
    const auto host = network_.addHost(control.node, MeshConfiguration::zoneName(0), "region", "proxy");
    disks_.push_back(std::make_unique<simulator::Disk>(queue_, options_.seed + i));
    proxies_.push_back(std::make_unique<Process>(queue_, network_, host, disks_.back().get(),
                                                 [control, i, this](std::uint64_t run) mutable {
                                                   control.incarnation = run;
                                                   control.seed = options_.seed * 100'000 + i * 10 + run;
                                                   return std::make_unique<proxy::ControlCore>(control);
                                                 }));
    proxies_.back()->start();
  }
}

void Storm::onSent(simulator::HostId, simulator::HostId, simulator::ConnectionId,
                   const wire::EnvelopeT& message) {
  ++window_messages_;
  if (message.body.AsRefusal() != nullptr) ++report_.refusals;
  if (message.body.AsViewDelta() != nullptr) ++report_.deltas;
  if (message.body.AsViewSnapshot() != nullptr) ++report_.snapshots;
}

void Storm::onDelivered(simulator::HostId, simulator::HostId, simulator::ConnectionId,
                        const wire::EnvelopeT& message) {
  ++window_messages_;
  if (message.body.AsProxyHello() != nullptr) ++report_.hellos;
}

bool Storm::isServed(Process& proxy) const {
  auto* core = dynamic_cast<proxy::ControlCore*>(proxy.core());
  return core != nullptr && core->connected() && core->asOf() >= store_->version();
}

std::size_t Storm::servedCount() const {
  return static_cast<std::size_t>(
      std::count_if(proxies_.begin(), proxies_.end(), [&](const auto& proxy) { return isServed(*proxy); }));
}

void Storm::acceptChanges() {
  for (unsigned i = 0; i < options_.changes; ++i) {
    const auto tenant = fmt::format("tenant-{}", i * 7 % options_.size.tenants);
    auto change = configuration_.serviceChange(tenant, store_->version() + 1);
    if (i % 2 == 1) {
      // Services are in use by routes: their routes are what can be deleted.
      change->key->kind = wire::ObjectKind::Route;
      change->object = nullptr;
    }
    store_->accept(std::move(change));
  }
}

void Storm::begin() {
  const auto each_proxy = [&](const auto& action) {
    for (std::size_t i = 0; i < proxies_.size(); ++i) action(*proxies_[i], *disks_[i]);
  };
  switch (options_.kind) {
    case StormKind::RelayRestart:
    case StormKind::RelayRestartWithChanges:
      relays_[0]->kill(false);
      if (options_.kind == StormKind::RelayRestartWithChanges) acceptChanges();
      queue_.after(kRestartPause, [this] { relays_[0]->start(); });
      break;
    case StormKind::ProxiesRestart:
    case StormKind::ProxiesWithoutDisks:
      each_proxy([&](Process& proxy, simulator::Disk& disk) {
        proxy.kill(false);
        if (options_.kind == StormKind::ProxiesWithoutDisks) disk.lose();
      });
      queue_.after(kRestartPause, [this] {
        for (const auto& proxy : proxies_) proxy->start();
      });
      break;
  }
}

/// Closes the window of the peak counters if it is over.
void Storm::count() {
  if (queue_.now() < window_ + kWindow) return;
  const auto bytes = network_.bytes(LinkKind::ProxyToRelay);
  report_.peak_messages = std::max(report_.peak_messages, window_messages_);
  report_.peak_bytes = std::max<std::size_t>(report_.peak_bytes, bytes - window_bytes_before_);
  window_ = queue_.now();
  window_messages_ = 0;
  window_bytes_before_ = bytes;
}

void Storm::waitForAll(TimePoint began) {
  const std::size_t all = proxies_.size();
  for (std::size_t served = 0; served < all;) {
    queue_.runUntil(queue_.now() + kStep);
    count();
    served = servedCount();
    const double elapsed = toSeconds(queue_.now() - began);
    if (served * 2 < all) report_.half_s = elapsed;
    if (served * 100 < all * 99) report_.p99_s = elapsed;
    report_.all_s = elapsed;
    if (queue_.now() - began > kSettleLimit) {
      throw std::runtime_error(fmt::format("{} of {} proxies are served after ten minutes", served, all));
    }
  }
}

StormReport Storm::run() {
  waitForAll(queue_.now());
  queue_.runUntil(queue_.now() + std::chrono::seconds(10));
  report_ = StormReport();
  window_ = queue_.now();
  window_messages_ = 0;
  const auto bytes_before = network_.bytes(LinkKind::ProxyToRelay);
  window_bytes_before_ = bytes_before;
  const TimePoint began = queue_.now();
  begin();
  // The event takes hold before the first look.
  queue_.runUntil(queue_.now() + kRestartPause);
  count();
  waitForAll(began);
  report_.bytes = network_.bytes(LinkKind::ProxyToRelay) - bytes_before;
  return report_;
}

}  // namespace cometstand::rehearsal
