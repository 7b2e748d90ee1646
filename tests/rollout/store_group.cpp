#include "tests/rollout/store_group.h"

#include <memory>
#include <stdexcept>
#include <string>

#include "mesh/configuration.h"

namespace cometstand::rollout::test {

runtime::Address addressOf(std::size_t number) {
  constexpr std::size_t kAddressesPerNetwork = 200;
  return {"10.0." + std::to_string(number / kAddressesPerNetwork) + "." +
              std::to_string(number % kAddressesPerNetwork),
          7'000};
}

StoreGroup::StoreGroup(ProcessNetwork& network, RandomSource& random, std::size_t count,
                       const mesh::ZoneMap& zones)
    : network_(network) {
  for (std::size_t number = 1; number <= count; ++number) {
    store::StoreOptions options;
    options.self.id = number;
    options.self.name = "store-" + std::to_string(number);
    const auto address = addressOf(number);
    options.self.address = address.host;
    options.self.port = address.port;
    options.bootstrap = true;
    options.zones = zones;
    for (std::size_t seed = 1; seed <= count; ++seed) options.seeds.push_back(addressOf(seed));
    ids_.push_back(network_.add(address, [&random, options] {
      return std::make_unique<store::StoreCore>(options, random.uniform(0, UINT64_MAX));
    }));
  }
  for (const auto id : ids_) network_.start(id);
  network_.runFor(std::chrono::seconds(3));
}

std::vector<runtime::Address> StoreGroup::seeds() const {
  std::vector<runtime::Address> seeds;
  for (std::size_t number = 1; number <= ids_.size(); ++number) seeds.push_back(addressOf(number));
  return seeds;
}

std::optional<ProcessId> StoreGroup::leader() const {
  std::optional<ProcessId> newest;
  consensus::Term newest_term = 0;
  for (const auto id : ids_) {
    if (!network_.isRunning(id)) continue;
    const auto leadership = at(id).leadership();
    if (leadership.role != consensus::Role::Leader || leadership.term <= newest_term) continue;
    newest = id;
    newest_term = leadership.term;
  }
  return newest;
}

ProcessId StoreGroup::requireLeader() const {
  const auto id = leader();
  if (!id) throw std::logic_error("the stores have no leader");
  return *id;
}

void StoreGroup::configure(const wire::MeshConfigurationT& configuration, std::uint64_t base) {
  const auto id = requireLeader();
  wire::MeshChangeT change;
  change.revision = base + 1;
  change.base_revision = base;
  change.document = {1};
  change.configuration = mesh::encodeConfiguration(configuration);
  change.digest = std::make_shared<wire::Digest>(change.revision, 1);
  network_.call(id, [this, id, &change] {
    at(id).changeMesh(
        change, [](const store::MeshAnswer&) {}, network_.now());
  });
  network_.runFor(std::chrono::seconds(1));
}

}  // namespace cometstand::rollout::test
