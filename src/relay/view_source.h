#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "relay/configuration_index.h"
#include "runtime/process_core.h"

namespace cometstand::relay {

/// What the relay believes a proxy holds.
struct ViewPosition {
  std::uint64_t version = 0;
  view::DigestSum digest;
};

/// A message that brings a proxy to a newer view.
struct ViewUpdate {
  runtime::MessagePointer message;
  ViewPosition result;
};

/// Makes the messages that bring proxies up to date: a delta where the history reaches the proxy's version
/// and a snapshot is not smaller. Proxies of equal tenants at equal versions share one message.
class ViewSource {
 public:
  explicit ViewSource(ConfigurationIndex& index) : index_(index) {}

  /// @return true if the proxy holds the present view of the node and its tenants.
  bool isCurrent(const std::string& node, const TenantSet& tenants, const ViewPosition& position);

  /// @param snapshot_only true if the proxy asked for a snapshot.
  /// @return the message; nothing if no view newer than the proxy's can be given yet.
  std::optional<ViewUpdate> updateFor(const std::string& node, const TenantSet& tenants,
                                      const ViewPosition& position, bool snapshot_only);

  /// Forgets what holds for one version only; call it when the configuration advanced.
  void onAdvanced() {
    shared_deltas_.clear();
    digests_.clear();
  }

 private:
  struct DeltaKey {
    std::uint64_t from_version;
    TenantSet tenants;
    friend bool operator<(const DeltaKey& left, const DeltaKey& right) {
      return std::tie(left.from_version, left.tenants) < std::tie(right.from_version, right.tenants);
    }
  };

  bool deltaApplies(const std::string& node, const ViewPosition& position) const;
  std::optional<ViewUpdate> makeDelta(const TenantSet& tenants, const ViewPosition& position);
  std::optional<ViewUpdate> makeSnapshot(const std::string& node, const TenantSet& tenants,
                                         const ViewPosition& position);
  const view::DigestSum& digestOf(const TenantSet& tenants);

  ConfigurationIndex& index_;
  /// Holds no message for positions where a snapshot is the better choice.
  std::map<DeltaKey, std::optional<ViewUpdate>> shared_deltas_;
  /// Present digests of the tenant sets asked for.
  std::unordered_map<TenantSet, view::DigestSum> digests_;
};

}  // namespace cometstand::relay
