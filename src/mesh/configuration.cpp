#include "mesh/configuration.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/error.h"
#include "mesh/content_digest.h"

namespace cometstand::mesh {
namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 10'000'000;

[[noreturn]] void refuse(const wire::MeshRouteT& route, const std::string& problem,
                         const std::string& remedy) {
  throw Error(ErrorKind::Invalid, fmt::format("route {}: {}", route.name, problem), remedy);
}

void checkPlace(const wire::MeshRouteT& route) {
  if (route.host.empty()) refuse(route, "the host is empty", "name a host");
  const auto& prefix = route.path_prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    refuse(route, "the path prefix does not begin and end with a slash", "add the slash");
  }
}

void checkTimes(const wire::MeshRouteT& route) {
  if (route.timeout_ms == 0) refuse(route, "the timeout is zero", "set a timeout");
  if (route.timeout_ms > kMaxTimeoutMs)
    refuse(route, "the timeout is over ten minutes", "set a shorter timeout");
  if (route.objective_ms >= route.timeout_ms + kMaxObjectiveExcessMs) {
    refuse(route, "the objective lies a minute or more over the timeout", "set a shorter objective");
  }
}

void checkShares(const wire::MeshRouteT& route, const std::set<std::string>& services) {
  std::uint64_t total = 0;
  for (const auto& share : route.shares) {
    total += share->weight;
    if (services.contains(share->service)) continue;
    throw Error(ErrorKind::Reference, fmt::format("route {} names no known service", route.name),
                "add the service in the same change");
  }
  if (total == 0) refuse(route, "no service gets any requests", "name a service, with a weight above zero");
}

void checkTenants(const wire::MeshConfigurationT& configuration) {
  std::set<std::string> names;
  std::map<ContentDigest, std::string> owners;
  for (const auto& tenant : configuration.tenants) {
    const auto refuse_tenant = [&tenant](const char* problem, const char* remedy) {
      throw Error(ErrorKind::Invalid, fmt::format("tenant {}: {}", tenant->name, problem), remedy);
    };
    if (tenant->name.empty() || !names.insert(tenant->name).second)
      refuse_tenant("the name is empty or used twice", "give each tenant a name of its own");
    if (tenant->requests_per_second < 0 || tenant->burst < 0)
      refuse_tenant("its limit is below zero", "set a limit of zero for none");
    for (const auto& digest : tenant->key_digests) {
      const auto& owner = owners.emplace(readDigest(digest), tenant->name).first->second;
      if (owner != tenant->name)
        refuse_tenant("another tenant has the same key", "give each tenant keys of its own");
    }
  }
}

}  // namespace

Bytes encodeConfiguration(const wire::MeshConfigurationT& configuration) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::MeshConfiguration::Pack(builder, &configuration));
  return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

wire::MeshConfigurationT decodeConfiguration(const Bytes& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size(), kMaxDepth, kMaxTables);
  if (bytes.empty() || !verifier.VerifyBuffer<wire::MeshConfiguration>(nullptr)) {
    throw Error(ErrorKind::Malformed, "the bytes are no mesh configuration",
                "run the same release on all machines");
  }
  wire::MeshConfigurationT configuration;
  flatbuffers::GetRoot<wire::MeshConfiguration>(bytes.data())->UnPackTo(&configuration);
  return configuration;
}

void checkConfiguration(const wire::MeshConfigurationT& configuration) {
  std::set<std::string> services;
  for (const auto& service : configuration.services) {
    if (service->cold_requests_per_second < 0) {
      throw Error(ErrorKind::Invalid,
                  fmt::format("service {}: the rate of its cold targets is below zero", service->name),
                  "set a rate of zero for none");
    }
    services.insert(service->name);
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const auto& route : configuration.routes) {
    checkPlace(*route);
    checkTimes(*route);
    checkShares(*route, services);
    if (!places.emplace(route->host, route->path_prefix).second) {
      refuse(*route, "another route has the same host and prefix", "remove one of the two");
    }
  }
  checkTenants(configuration);
}

}  // namespace cometstand::mesh
