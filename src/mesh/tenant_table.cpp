#include "mesh/tenant_table.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace cometstand::mesh {
namespace {

/// More urgent priorities of routes than there are; what lies above counts as one.
constexpr unsigned kRoutePriorities = 1'000;
constexpr unsigned kMostTenantPriority = 1'000'000;

}  // namespace

ContentDigest digestOfKey(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), hash.data());
  ContentDigest digest;
  std::memcpy(&digest.high, hash.data(), sizeof digest.high);
  std::memcpy(&digest.low, hash.data() + sizeof digest.high, sizeof digest.low);
  return digest;
}

unsigned combinedPriority(const wire::MeshTenantT* tenant, unsigned route_priority) {
  const unsigned route = std::min(route_priority, kRoutePriorities - 1);
  // Tenants rank from 1 on: what comes on nobody's behalf is at 0.
  const unsigned rank = tenant == nullptr ? 0 : 1 + std::min(tenant->priority, kMostTenantPriority);
  return rank * kRoutePriorities + route;
}

TenantTable::TenantTable(const wire::MeshConfigurationT& configuration)
    : requires_key_(configuration.requires_key) {
  for (const auto& tenant : configuration.tenants) {
    for (const auto& digest : tenant->key_digests) by_key_[readDigest(digest)] = tenant;
  }
}

/// What the table compares are digests of what a caller sent, so that the time that it takes tells nothing of
/// the keys that are in it.
TenantPointer TenantTable::findByKey(const ContentDigest& digest) const {
  const auto found = by_key_.find(digest);
  return found == by_key_.end() ? nullptr : found->second;
}

}  // namespace cometstand::mesh
