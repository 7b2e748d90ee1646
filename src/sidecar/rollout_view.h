#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/random.h"
#include "runtime/process_core.h"
#include "schema/mesh_generated.h"
#include "sidecar/version_filter.h"

namespace cometstand::sidecar {

/// The roll-outs known to this sidecar. Determines which versions get the requests that it sends and whether
/// the local target accepts requests. All times are of this machine's steady clock.
///
/// Invariants:
/// - The state of a roll-out never reverts to an older one; late updates are ignored.
/// - A canary gets requests only within kLeaseDuration of the latest roll-out update from a store.
class RolloutView {
 public:
  /// Time after the latest update from a store at which a version that is not promoted gets no more requests.
  /// It is five times the interval of the updates (store::NodeHub), so that one or two may be late.
  static constexpr Duration kLeaseDuration = std::chrono::milliseconds(1'500);
  /// Time for which a version that appears beside others gets no requests, since an update on its roll-out
  /// may not have arrived yet. It is about the time that a change takes to reach a sidecar whose store lags.
  static constexpr Duration kNewVersionDelay = std::chrono::milliseconds(1'500);

  void apply(const wire::RolloutUpdateT& update, TimePoint now);
  /// Records a version that an endpoint of the service reports.
  void noteVersion(const std::string& service, const std::string& version, TimePoint now);

  /// @param is_first_attempt the request has not been sent before; only then the canary may get it.
  VersionFilter filterFor(const std::string& service, bool is_first_attempt, RandomSource& random,
                          TimePoint now) const;
  /// @return true if targets of the version accept no new requests.
  bool isClosed(const std::string& service, const std::string& version, TimePoint now) const;

  /// @return the service's running roll-out; nullptr if there is none.
  const wire::RolloutRecordT* running(const std::string& service) const;
  /// @return the services with a running roll-out.
  std::set<std::string> servicesInRollout() const;
  /// @return true if the service's running roll-out is in the canary phase, in which the new version gets
  /// only a share of the requests.
  bool isCanary(const std::string& service) const;
  /// @return the address of the store to which roll-out reports are sent, if known.
  const std::optional<runtime::Address>& leader() const { return leader_; }
  /// @return the time at which the lease of running roll-outs ends, which may change the result of
  /// isClosed(); TimePoint::max() if no roll-out is running.
  TimePoint leaseEnd() const;

 private:
  bool hasLease(TimePoint now) const { return now < updated_at_ + kLeaseDuration; }
  bool isWithinNewVersionDelay(const std::string& service, const std::string& version, TimePoint now) const;

  /// Newest roll-out by service.
  std::map<std::string, wire::RolloutRecordT> records_;
  std::optional<runtime::Address> leader_;
  TimePoint updated_at_;
  /// Time at which each version was first seen, by service and version. Empty versions are left out.
  std::map<std::string, std::map<std::string, TimePoint>> first_seen_;
};

}  // namespace cometstand::sidecar
