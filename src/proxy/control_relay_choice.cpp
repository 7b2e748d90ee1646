#include "proxy/control_relay_choice.h"

#include <algorithm>

namespace cometstand::proxy {
namespace {

template <typename Sequence>
void shuffle(Sequence& sequence, RandomSource& random) {
  for (std::size_t i = sequence.size(); i > 1; --i)
    std::swap(sequence[i - 1], sequence[random.uniform(0, i - 1)]);
}

std::vector<runtime::Address> shuffledAddresses(const std::vector<RelayAddress>& relays,
                                                const std::string& zone, bool of_zone, RandomSource& random) {
  std::vector<runtime::Address> addresses;
  for (const auto& relay : relays) {
    if ((relay.zone == zone) == of_zone) addresses.push_back(relay.address);
  }
  shuffle(addresses, random);
  return addresses;
}

}  // namespace

RelayChoice::RelayChoice(const std::vector<RelayAddress>& relays, const std::string& own_zone,
                         RandomSource& random)
    : order_(shuffledAddresses(relays, own_zone, true, random)) {
  const auto others = shuffledAddresses(relays, own_zone, false, random);
  order_.insert(order_.end(), others.begin(), others.end());
}

void RelayChoice::addAlternatives(const std::vector<std::shared_ptr<wire::NetworkAddressT>>& alternatives,
                                  RandomSource& random) {
  alternatives_.clear();
  for (const auto& alternative : alternatives) {
    if (alternative) alternatives_.push_back({alternative->address, alternative->port});
  }
  shuffle(alternatives_, random);
}

std::optional<runtime::Address> RelayChoice::next(const std::optional<runtime::Address>& avoid) {
  while (!alternatives_.empty()) {
    const auto address = alternatives_.front();
    alternatives_.pop_front();
    if (address != avoid) return address;
  }
  if (order_.empty()) return std::nullopt;
  if (order_[cursor_ % order_.size()] == avoid) ++cursor_;
  return order_[cursor_++ % order_.size()];
}

}  // namespace cometstand::proxy
