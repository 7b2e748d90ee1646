#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::proxy {

/// A relay that the proxy may use.
struct RelayAddress {
  runtime::Address address;
  /// The relay's zone; relays of the proxy's own zone are preferred.
  std::string zone;
};

/// Settings of a proxy's link to its relay.
struct ControlOptions {
  /// Name of the proxy's node object.
  std::string node;
  /// The node's secret token; may be empty if the node object has no token hash.
  std::string token;
  std::string zone;
  std::vector<RelayAddress> relays;
  /// Without a message from the relay for this long, another one is looked for.
  Duration beat_limit = std::chrono::seconds(5);
  /// Without a new quorum round for this long, another relay is tried beside the present one.
  Duration stale_limit = std::chrono::seconds(15);
  /// A relay that sends no view or beat within this time after the hello is left.
  Duration hello_limit = std::chrono::seconds(10);
  Duration reconnect_minimum = std::chrono::milliseconds(100);
  Duration reconnect_maximum = std::chrono::seconds(5);
  /// How long a claim request may take before it counts as unknown.
  Duration claim_limit = std::chrono::seconds(2);
  /// While the store changes its leader, or the relay its upstream, a claim is asked for again for this long.
  /// Once no claim was decided for this long, further ones are refused at once.
  Duration claim_retry_limit = std::chrono::seconds(1);
  /// Pause before a ClaimFinish without an answer is sent again.
  Duration claim_finish_retry = std::chrono::seconds(2);
  /// Changes with each start of the process.
  std::uint64_t incarnation = 1;
  std::uint64_t seed = 1;
};

}  // namespace cometstand::proxy
