#pragma once

#include <functional>
#include <map>
#include <vector>

#include "view/endpoint_order.h"

namespace cometstand::relay {

/// Newest record of each endpoint of the mesh. Merging is commutative, associative and idempotent: tables
/// that took the same records in any order are equal.
class EndpointTable {
 public:
  using Records = std::map<view::EndpointId, view::EndpointRecordPointer>;

  /// @return true if the record replaced an older one or is the first of its endpoint.
  bool merge(const view::EndpointRecordPointer& record);

  void erase(const view::EndpointId& id) { records_.erase(id); }

  /// @return the record, or nullptr.
  view::EndpointRecordPointer find(const view::EndpointId& id) const;

  const Records& records() const { return records_; }

  /// @return all records of the tenants.
  std::vector<view::EndpointRecordPointer> recordsOf(const std::vector<std::string>& tenants) const;

  /// @return all records of one service.
  std::vector<view::EndpointRecordPointer> recordsOfService(const std::string& tenant,
                                                            const std::string& service) const;

 private:
  Records records_;
};

}  // namespace cometstand::relay
