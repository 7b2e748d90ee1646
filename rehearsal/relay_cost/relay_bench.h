#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/relay_cost/mesh_configuration.h"
#include "relay/relay_core.h"

namespace cometstand::rehearsal {

/// What one step cost the relay. Processor time in microseconds, sizes in bytes.
struct StepCost {
  /// Decisions of the core.
  double core_us = 0;
  /// Encoding of the frames to be sent.
  double encode_us = 0;
  /// Handling of the proxies' acknowledgements.
  double reports_us = 0;
  std::size_t messages = 0;
  std::size_t bytes = 0;

  StepCost& operator+=(const StepCost& other);
};

/// One RelayCore whose store and proxies are played by this object: every proxy acknowledges each update at
/// once. Drives the core as runtime::ProcessRunner does, frames included, but without sockets.
class RelayBench {
 public:
  RelayBench(const MeshSize& size, std::vector<unsigned> held);

  /// Gives the relay the whole configuration.
  StepCost follow();
  /// Lets all proxies join, without a view.
  StepCost joinAll();
  /// Changes one service of the tenant, as the next version.
  StepCost change(const std::string& tenant);
  /// Lets one beat interval pass.
  StepCost beatRound();

 private:
  struct Acknowledgement {
    runtime::LinkId link;
    std::uint64_t version;
  };

  StepCost drain();
  void receive(runtime::LinkId link, const wire::EnvelopeT& message);
  void acknowledgeAll(StepCost& cost);
  void answerFreshness(StepCost& cost);

  MeshSize size_;
  MeshConfiguration configuration_;
  relay::RelayCore core_;
  TimePoint now_{std::chrono::hours(1)};
  runtime::LinkId store_{};
  std::uint64_t round_ = 0;
  std::vector<Acknowledgement> acknowledgements_;
  std::vector<std::uint64_t> freshness_requests_;
};

}  // namespace cometstand::rehearsal
