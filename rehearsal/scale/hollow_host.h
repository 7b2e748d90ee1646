#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "rehearsal/scale/claim_load.h"
#include "rehearsal/scale/hollow_backends.h"
#include "rehearsal/scale/hollow_proxy.h"

namespace cometstand::rehearsal {

/// Which hollow proxies one process holds.
struct HollowHostOptions {
  /// Number of the first proxy; see nodeName() in catalog_plan.h.
  std::size_t first = 0;
  std::size_t count = 0;
  std::size_t zones = 1;
  std::size_t backends = 1;
  std::vector<proxy::RelayAddress> relays;
  std::uint64_t seed = 1;
};

/// The hollow proxies and back ends of one process, and the commands by which a scale run drives them. Each
/// command is one line, each answer one JSON object:
///
///     start            all proxies start
///     status           how many are connected, ready, recovering; the lowest as_of
///     restart A B      a share A of the proxies dies and starts again, a share B of those without their disk
///     sight N          N endpoints are reported as leaving
///     churn N          N back ends start anew
///     claims N         N claims are kept in flight; 0 takes no new ones
///     claim-report     what became of the claims
///     report           counters, and when each version was in force
class HollowHost {
 public:
  HollowHost(boost::asio::io_context& io, const HollowHostOptions& options);

  /// @return the ports of the back ends.
  std::vector<std::uint16_t> backendPorts() const { return backends_.ports(); }

  /// @return the answer; an object with `error` for a line that is no command.
  boost::json::object execute(const std::string& line);

 private:
  boost::json::object start();
  boost::json::object status() const;
  boost::json::object restart(double share, double without_disk);
  boost::json::object sight(std::size_t count);
  boost::json::object churn(std::size_t count);
  boost::json::object claims(std::size_t in_flight);
  boost::json::object report() const;

  RandomSource random_;
  InForceTracker tracker_;
  HollowCounters counters_;
  HollowBackends backends_;
  std::vector<std::unique_ptr<HollowProxy>> proxies_;
  std::unique_ptr<ClaimLoad> claims_;
};

}  // namespace cometstand::rehearsal
