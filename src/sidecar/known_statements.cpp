#include "sidecar/known_statements.h"

#include <algorithm>

namespace cometstand::sidecar {

void KnownStatements::record(const runtime::Address& address, const wire::TargetStatementT& statement,
                             TimePoint now) {
  const bool is_empty = !statement.rate_limit && !statement.leaving;
  if (is_empty) {
    statements_.erase(address);
    return;
  }
  if (statements_.size() >= kMaxStatements && !statements_.contains(address)) dropOldest();
  statements_[address] = {statement, now};
}

void KnownStatements::dropOldest() {
  const auto oldest = std::min_element(
      statements_.begin(), statements_.end(),
      [](const auto& left, const auto& right) { return left.second.recorded_at < right.second.recorded_at; });
  statements_.erase(oldest);
}

const wire::TargetStatementT* KnownStatements::find(const Endpoint& endpoint) const {
  const auto known = statements_.find(endpoint.address);
  if (known == statements_.end()) return nullptr;
  const auto& statement = known->second.statement;
  const mesh::Incarnation incarnation{statement.instance, statement.born_ms};
  return incarnation.isNamed(endpoint.instance) ? &statement : nullptr;
}

bool KnownStatements::isLeaving(const Endpoint& endpoint) const {
  const auto* statement = find(endpoint);
  return statement != nullptr && statement->leaving;
}

}  // namespace cometstand::sidecar
