#include "view/endpoint_order.h"

#include <tuple>

namespace cometstand::view {

std::strong_ordering compareRecords(const wire::EndpointRecordT& left, const wire::EndpointRecordT& right) {
  const auto rank = [](const wire::EndpointRecordT& record) {
    return std::tie(record.incarnation, record.sequence, record.state, record.address, record.port,
                    record.zone, record.slots, record.max_connections);
  };
  return rank(left) <=> rank(right);
}

}  // namespace cometstand::view
