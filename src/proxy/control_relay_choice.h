#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "proxy/control_options.h"
#include "schema/control_generated.h"

namespace cometstand::proxy {

/// Which relay to try next: those that another relay named, then the own zone's in random order, then the
/// others in random order, and again from the start.
class RelayChoice {
 public:
  RelayChoice(const std::vector<RelayAddress>& relays, const std::string& own_zone, RandomSource& random);

  /// Puts the named relays first, in random order.
  void addAlternatives(const std::vector<std::shared_ptr<wire::NetworkAddressT>>& alternatives,
                       RandomSource& random);

  /// @param avoid skipped unless it is the only one.
  /// @return the next relay to try; nothing if none is known.
  std::optional<runtime::Address> next(const std::optional<runtime::Address>& avoid);

  /// Begins again with the own zone; call it when a relay served.
  void restart() { cursor_ = 0; }

 private:
  std::vector<runtime::Address> order_;
  std::size_t cursor_ = 0;
  std::deque<runtime::Address> alternatives_;
};

}  // namespace cometstand::proxy
