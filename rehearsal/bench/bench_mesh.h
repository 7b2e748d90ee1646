#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rehearsal/bench/claims_in_memory.h"
#include "rehearsal/bench/deployment.h"
#include "rehearsal/standin/backend.h"
#include "rehearsal/standin/caller.h"

namespace cometstand::rehearsal {

/// One back-end stand-in in a thread of its own. Calls come from the thread that made it.
class BenchTarget {
 public:
  explicit BenchTarget(const BackendOptions& options);
  ~BenchTarget();

  BenchTarget(const BenchTarget&) = delete;
  BenchTarget& operator=(const BenchTarget&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return address_; }
  void setBehavior(const BackendBehavior& behavior);
  /// Begins the target's drain and waits until it has ended.
  void leave();
  /// Ends the target at once.
  void stop();

  /// Valid once the target has ended.
  const BackendCounters& counters() const { return backend_.counters(); }
  boost::json::value executedJson() const { return backend_.executedJson(); }

 private:
  boost::asio::io_context io_{1};
  Backend backend_;
  boost::asio::ip::tcp::endpoint address_;
  std::thread thread_;
};

/// Counts over the targets of one run, restarted ones included.
struct TargetTotals {
  ExecutionRecord executed;
  /// Requests whose work began, by the target's place.
  std::vector<std::uint64_t> begun;
  std::uint64_t shed = 0;
  std::uint64_t arrived_leaving = 0;
  std::uint64_t begun_leaving = 0;
  Duration last_arrival_leaving = Duration::zero();
  std::uint64_t connections = 0;
};

/// A proxy in one thread, and the targets of one service in a thread each.
class BenchMesh {
 public:
  BenchMesh(const Deployment& deployment, std::uint64_t seed);
  ~BenchMesh();

  BenchMesh(const BenchMesh&) = delete;
  BenchMesh& operator=(const BenchMesh&) = delete;

  boost::asio::ip::tcp::endpoint proxyAddress() const;
  std::vector<boost::asio::ip::tcp::endpoint> targetAddresses() const;
  void setBehavior(std::size_t target, const BackendBehavior& behavior);

  /// Lets the target leave, and starts it again, cold, at the same address. The proxy hears of the new
  /// incarnation by a record, as from its relay; that the target leaves it must see for itself.
  void restart(std::size_t target);

  /// Ends everything; the counts are valid from then on.
  void stop();
  const proxy::DataPathMetrics& metrics() const { return server_->metrics(); }
  const TargetTotals& totals() const { return totals_; }

 private:
  BackendOptions targetOptions(std::size_t target) const;
  std::shared_ptr<const proxy::Router> router() const;
  void collect(std::size_t target);
  void tellProxy(std::size_t target, wire::EndpointState state);

  Deployment deployment_;
  std::uint64_t seed_;
  std::vector<std::unique_ptr<BenchTarget>> targets_;
  std::vector<std::uint64_t> incarnations_;
  std::uint64_t sequence_ = 0;
  boost::asio::io_context io_{1};
  ClaimsInMemory claims_{io_};
  std::unique_ptr<proxy::HttpServer> server_;
  std::thread thread_;
  TargetTotals totals_;
  bool stopped_ = false;
};

/// Load from one caller stand-in in a thread of its own.
class BenchLoad {
 public:
  BenchLoad(const CallerOptions& options, const Workload& workload);
  /// Waits for the last outcome.
  ~BenchLoad();

  BenchLoad(const BenchLoad&) = delete;
  BenchLoad& operator=(const BenchLoad&) = delete;

  /// Waits for the last outcome. @return what the caller saw.
  const CallerReport& finish();

 private:
  boost::asio::io_context io_{1};
  Caller caller_;
  std::thread thread_;
};

}  // namespace cometstand::rehearsal
