#pragma once

#include <compare>
#include <string>

#include "schema/control_generated.h"

namespace cometstand::view {

/// Identifies an endpoint within the mesh.
struct EndpointId {
  std::string tenant;
  std::string service;
  std::string endpoint;
  friend bool operator==(const EndpointId&, const EndpointId&) = default;
  friend auto operator<=>(const EndpointId&, const EndpointId&) = default;  // NOLINT(modernize-use-nullptr)
};

/// A record of endpoint liveness. Shared and never changed after it was made.
using EndpointRecordPointer = std::shared_ptr<wire::EndpointRecordT>;

inline EndpointId endpointId(const wire::EndpointRecordT& record) {
  return {record.tenant, record.service, record.endpoint};
}

/// The order in which records of one endpoint replace each other. It is total over (incarnation, sequence,
/// state), so that tables that saw the same records in any order are equal. Among records that claim the same
/// step the greater remaining fields win.
std::strong_ordering compareRecords(const wire::EndpointRecordT& left, const wire::EndpointRecordT& right);

}  // namespace cometstand::view
