#include "rehearsal/sweep/sweep.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "base/error.h"
#include "rehearsal/simulator/fleet.h"
#include "rehearsal/simulator/mesh_setup.h"
#include "rehearsal/simulator/operator_workload.h"

namespace cometstand::sweep {
namespace {

using simulator::LinkKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSetupLimit = seconds(60);
constexpr Duration kStep = milliseconds(100);
/// Before measuring begins, and after it, so that the last versions arrive.
constexpr Duration kWarmUp = seconds(5);
constexpr Duration kLeaderDownTime = seconds(2);
constexpr Duration kBackendAwayTime = seconds(4);
/// Changes of an operator that make a version: the rest are queries and lost races.
constexpr double kAcceptedShare = 0.8;
constexpr unsigned kTenants = 2;

using BytesByKind = std::array<std::uint64_t, simulator::kLinkKinds>;

/// The deployment with the point's number of proxies and rate of changes.
simulator::Deployment layOut(const Point& point) {
  auto deployment = point.deployment;
  const auto zones = static_cast<unsigned>(deployment.zones.size());
  for (auto& zone : deployment.zones) zone.proxies = std::max(1U, point.proxies / zones);
  const double operators = kTenants * deployment.operators;
  const double pause = operators * kAcceptedShare / point.changes_per_second;
  deployment.change_pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause));
  return deployment;
}

/// One fleet from its start to the end of the measurement.
class Measurement {
 public:
  explicit Measurement(const Point& point)
      : point_(point), fleet_(layOut(point), point.seed), setup_(fleet_), operators_(fleet_) {}

  PointResult run() {
    fleet_.start();
    setUp();
    operators_.start();
    advance(kWarmUp);
    fleet_.checkers().convergence.beginMeasuring();
    const auto versions = fleet_.checkers().convergence.newestAccepted();
    const auto bytes = bytesNow();
    churn();
    advance(point_.measured_time);
    PointResult result = rates(bytes);
    result.versions = fleet_.checkers().convergence.newestAccepted() - versions;
    operators_.stop();
    advance(kWarmUp);
    result.to_last_proxy = fleet_.checkers().convergence.timesToLastProxy();
    result.violations = fleet_.checkers().log.count();
    return result;
  }

 private:
  void advance(Duration time) {
    const TimePoint end = fleet_.queue().now() + time;
    fleet_.queue().runUntil(end);
  }

  void setUp() {
    setup_.start();
    const TimePoint end = fleet_.queue().now() + kSetupLimit;
    const auto is_ready = [this] { return setup_.done() && fleet_.everyProxyAt(setup_.version()); };
    while (!is_ready() && fleet_.queue().now() < end) advance(kStep);
    if (is_ready()) return;
    throw Error(ErrorKind::Unavailable, "the simulated fleet was not set up: " + setup_.refusal(),
                "run cometstand-sim with the same seed to see why");
  }

  void churn() {
    if (point_.leader_kill_interval > Duration::zero()) scheduleLeaderKill();
    if (point_.endpoint_churn_interval > Duration::zero()) scheduleBackendAway();
  }

  void scheduleLeaderKill() {
    fleet_.queue().after(point_.leader_kill_interval, [this] {
      const auto leader = fleet_.leader();
      if (!leader.empty()) {
        fleet_.killProcess(leader, false);
        fleet_.queue().after(kLeaderDownTime, [this, leader] { fleet_.machine(leader).process->start(); });
      }
      scheduleLeaderKill();
    });
  }

  void scheduleBackendAway() {
    fleet_.queue().after(point_.endpoint_churn_interval, [this] {
      const auto& backends = fleet_.backends();
      auto& backend = *backends[next_backend_++ % backends.size()].backend;
      backend.kill();
      fleet_.queue().after(kBackendAwayTime, [&backend] { backend.start(); });
      scheduleBackendAway();
    });
  }

  BytesByKind bytesNow() {
    BytesByKind bytes{};
    for (std::size_t kind = 0; kind < bytes.size(); ++kind) {
      bytes.at(kind) = fleet_.network().bytes(static_cast<LinkKind>(kind));
    }
    return bytes;
  }

  PointResult rates(const BytesByKind& before) {
    const auto after = bytesNow();
    const double time = std::chrono::duration<double>(point_.measured_time).count();
    const auto rate = [&](LinkKind kind) {
      const auto index = static_cast<std::size_t>(kind);
      return static_cast<double>(after.at(index) - before.at(index)) / time;
    };
    PointResult result;
    result.proxy_bytes_per_second =
        rate(LinkKind::ProxyToRelay) / static_cast<double>(fleet_.names("proxy").size());
    result.reader_bytes_per_second = rate(LinkKind::RelayToStore);
    result.relay_bytes_per_second = rate(LinkKind::RelayToRelay);
    result.replica_bytes_per_second = rate(LinkKind::StoreToStore);
    return result;
  }

  const Point& point_;
  simulator::Fleet fleet_;
  simulator::MeshSetup setup_;
  simulator::OperatorWorkload operators_;
  std::size_t next_backend_ = 0;
};

double inMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

PointResult runPoint(const Point& point) { return Measurement(point).run(); }

std::string toJsonLine(const Point& point, const PointResult& result) {
  const boost::json::object line{
      {"deployment", point.deployment.name},
      {"proxies", point.proxies},
      {"seed", point.seed},
      {"batch_window_ms", inMilliseconds(point.deployment.batch_window)},
      {"beat_interval_ms", inMilliseconds(point.deployment.beat_interval)},
      {"leader_kill_interval_ms", inMilliseconds(point.leader_kill_interval)},
      {"endpoint_churn_interval_ms", inMilliseconds(point.endpoint_churn_interval)},
      {"versions", result.versions},
      {"convergence_ms",
       {{"p50", inMilliseconds(result.to_last_proxy.p50)},
        {"p99", inMilliseconds(result.to_last_proxy.p99)},
        {"max", inMilliseconds(result.to_last_proxy.max)},
        {"samples", result.to_last_proxy.samples}}},
      {"bytes_per_second",
       {{"proxy", result.proxy_bytes_per_second},
        {"relays_and_store", result.reader_bytes_per_second},
        {"relays", result.relay_bytes_per_second},
        {"replicas", result.replica_bytes_per_second}}},
      {"violations", result.violations}};
  return boost::json::serialize(line);
}

}  // namespace cometstand::sweep
