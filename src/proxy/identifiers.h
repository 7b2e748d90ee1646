#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cometstand::proxy {

/// Names one request within one run of a proxy. Rising, never reused.
enum class RequestId : std::uint64_t {};

/// Names a service. Services belong to one tenant.
struct ServiceKey {
  std::string tenant;
  std::string service;
  friend bool operator==(const ServiceKey&, const ServiceKey&) = default;
  friend auto operator<=>(const ServiceKey&, const ServiceKey&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Names one endpoint of a service.
struct EndpointKey {
  ServiceKey service;
  std::string endpoint;
  friend bool operator==(const EndpointKey&, const EndpointKey&) = default;
  friend auto operator<=>(const EndpointKey&, const EndpointKey&) = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace cometstand::proxy
