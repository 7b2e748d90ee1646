#include "rehearsal/bench/bench_mesh.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "rehearsal/bench/configuration_objects.h"

namespace cometstand::rehearsal {

namespace asio = boost::asio;
using asio::ip::tcp;

BenchTarget::BenchTarget(const BackendOptions& options)
    : backend_(io_, options), address_(backend_.address()) {
  backend_.start();
  thread_ = std::thread([this] { io_.run(); });
}

BenchTarget::~BenchTarget() { stop(); }

void BenchTarget::setBehavior(const BackendBehavior& behavior) {
  asio::post(io_, [this, behavior] { backend_.setBehavior(behavior); });
}

void BenchTarget::leave() {
  asio::post(io_, [this] { backend_.beginLeaving(); });
  thread_.join();
}

void BenchTarget::stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

BenchMesh::BenchMesh(const Deployment& deployment, std::uint64_t seed)
    : deployment_(deployment), seed_(seed) {
  for (std::size_t target = 0; target < deployment_.targets; ++target) {
    targets_.push_back(std::make_unique<BenchTarget>(targetOptions(target)));
  }
  incarnations_.assign(deployment_.targets, 1);
  totals_.begun.assign(deployment_.targets, 0);
  proxy::HttpOptions http;
  http.listen = {"127.0.0.1", 0};
  server_ = std::make_unique<proxy::HttpServer>(io_, http, deployment_.data_path, seed, claims_);
  claims_.setServer(*server_);
  server_->setRouter(router());
  server_->start();
  thread_ = std::thread([this] { io_.run(); });
}

BenchMesh::~BenchMesh() { stop(); }

BackendOptions BenchMesh::targetOptions(std::size_t target) const {
  BackendOptions options;
  options.name = fmt::format("e{}", target);
  options.listen = {asio::ip::address_v4::loopback(), 0};
  options.slots = deployment_.slots;
  options.max_connections = deployment_.max_connections;
  options.connection_cost = deployment_.connection_cost;
  options.service_time = deployment_.service_time;
  options.linger_time = std::chrono::seconds(1);
  options.seed = seed_ * 100 + target;
  return options;
}

std::shared_ptr<const proxy::Router> BenchMesh::router() const {
  const auto& name = deployment_.service;
  const auto service = std::const_pointer_cast<wire::ObjectT>(
      makeService(name, static_cast<unsigned>(deployment_.targets), deployment_.slots));
  for (std::size_t target = 0; target < targets_.size(); ++target) {
    auto& endpoint = *service->spec.AsServiceSpec()->endpoints[target];
    endpoint.port = targets_[target]->address().port();
    endpoint.max_connections = deployment_.max_connections;
  }
  std::vector<proxy::ObjectPointer> objects{service};
  for (const auto& kind : deployment_.workload.kinds) {
    const auto edit = [&](wire::RouteSpecT& route) {
      route.path_prefix = kind.path;
      route.service = name;
      route.repeatable = kind.repeatable;
      route.timeout_ms = static_cast<std::uint32_t>(ceilMilliseconds(kind.deadline));
      route.request_class = deployment_.classes.at(kind.name);
    };
    objects.push_back(makeRoute(kind.name, edit));
  }
  return std::make_shared<const proxy::Router>(objects);
}

tcp::endpoint BenchMesh::proxyAddress() const {
  return {asio::ip::address_v4::loopback(), server_->listenAddress().port};
}

std::vector<tcp::endpoint> BenchMesh::targetAddresses() const {
  std::vector<tcp::endpoint> addresses;
  for (const auto& target : targets_) addresses.push_back(target->address());
  return addresses;
}

void BenchMesh::setBehavior(std::size_t target, const BackendBehavior& behavior) {
  targets_[target]->setBehavior(behavior);
}

void BenchMesh::tellProxy(std::size_t target, wire::EndpointState state) {
  auto record =
      makeRecord(deployment_.service, fmt::format("e{}", target), state, ++sequence_, incarnations_[target]);
  record.address = "127.0.0.1";
  record.port = targets_[target]->address().port();
  record.slots = deployment_.slots;
  record.max_connections = deployment_.max_connections;
  asio::post(io_, [this, record] { server_->applyEndpointRecord(record); });
}

void BenchMesh::restart(std::size_t target) {
  const auto address = targets_[target]->address();
  if (incarnations_[target] == 1) tellProxy(target, wire::EndpointState::Live);
  targets_[target]->leave();
  collect(target);
  auto options = targetOptions(target);
  options.listen = address;
  options.cold_time = std::chrono::seconds(1);
  options.seed += ++incarnations_[target];
  targets_[target].reset();
  targets_[target] = std::make_unique<BenchTarget>(options);
  tellProxy(target, wire::EndpointState::Live);
}

void BenchMesh::collect(std::size_t target) {
  const auto& counters = targets_[target]->counters();
  totals_.executed.addJson(targets_[target]->executedJson().at("requests"));
  totals_.begun[target] += counters.begun;
  totals_.shed += counters.shed;
  totals_.arrived_leaving += counters.arrived_leaving;
  totals_.begun_leaving += counters.begun_leaving;
  totals_.last_arrival_leaving = std::max(totals_.last_arrival_leaving, counters.last_arrival_leaving);
  totals_.connections += counters.connections;
}

void BenchMesh::stop() {
  if (std::exchange(stopped_, true)) return;
  io_.stop();
  thread_.join();
  for (std::size_t target = 0; target < targets_.size(); ++target) {
    targets_[target]->stop();
    collect(target);
  }
}

BenchLoad::BenchLoad(const CallerOptions& options, const Workload& workload)
    : caller_(io_, options, workload) {
  caller_.whenDone([this] { io_.stop(); });
  caller_.start();
  thread_ = std::thread([this] { io_.run(); });
}

BenchLoad::~BenchLoad() { finish(); }

const CallerReport& BenchLoad::finish() {
  if (thread_.joinable()) thread_.join();
  return caller_.report();
}

}  // namespace cometstand::rehearsal
