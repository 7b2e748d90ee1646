#include "relay/endpoint_table.h"

namespace cometstand::relay {

bool EndpointTable::merge(const view::EndpointRecordPointer& record) {
  if (!record) return false;
  auto& known = records_[view::endpointId(*record)];
  if (known && std::is_lteq(view::compareRecords(*record, *known))) return false;
  known = record;
  return true;
}

view::EndpointRecordPointer EndpointTable::find(const view::EndpointId& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : found->second;
}

std::vector<view::EndpointRecordPointer> EndpointTable::recordsOf(
    const std::vector<std::string>& tenants) const {
  std::vector<view::EndpointRecordPointer> result;
  for (const auto& tenant : tenants) {
    for (auto item = records_.lower_bound({tenant, {}, {}}); item != records_.end(); ++item) {
      if (item->first.tenant != tenant) break;
      result.push_back(item->second);
    }
  }
  return result;
}

}  // namespace cometstand::relay
