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

/// What this sidecar knows of roll-outs, and what follows from it for the requests it sends and for the
/// target beside it. All times by this machine's steady clock.
///
/// Invariants:
/// - What it knows of a roll-out only goes forward, whatever comes late.
/// - A new version gets requests only within kLease of a store's word on its roll-out.
class RolloutView {
 public:
  /// Without a store's word for this long, nothing is sent to a version that is not promoted. Five times the
  /// interval of those words (store::NodeHub), so that one or two may be late.
  static constexpr Duration kLease = std::chrono::milliseconds(1'500);
  /// A version that comes up beside others gets nothing for this long: an order of a roll-out to it may be on
  /// its way. About what a change takes to reach a sidecar whose store lags.
  static constexpr Duration kProbation = std::chrono::milliseconds(1'500);

  void apply(const wire::RolloutUpdateT& update, TimePoint now);
  /// An endpoint of the service says this version.
  void noteVersion(const std::string& service, const std::string& version, TimePoint now);

  /// @param first_sending the request was not sent anywhere yet: only then the canary may get it.
  VersionFilter filterFor(const std::string& service, bool first_sending, RandomSource& random,
                          TimePoint now) const;
  /// @return true if a target of the version gets no new requests.
  bool isClosed(const std::string& service, const std::string& version, TimePoint now) const;

  /// @return the service's roll-out that is not over; nullptr if there is none.
  const wire::RolloutRecordT* running(const std::string& service) const;
  /// @return the services with such a one.
  std::set<std::string> servicesInRollout() const;
  /// @return true while the service's new version gets a share only.
  bool isCanary(const std::string& service) const;
  /// @return where reports go.
  const std::optional<runtime::Address>& leader() const { return leader_; }
  /// @return when isClosed() may change by itself.
  TimePoint leaseEnd() const;

 private:
  bool hasLease(TimePoint now) const { return now < heard_at_ + kLease; }
  bool isOnProbation(const std::string& service, const std::string& version, TimePoint now) const;

  /// The newest roll-out by service.
  std::map<std::string, wire::RolloutRecordT> records_;
  std::optional<runtime::Address> leader_;
  TimePoint heard_at_;
  /// When each version of each service was first seen. Empty ones are left out.
  std::map<std::string, std::map<std::string, TimePoint>> seen_;
};

}  // namespace cometstand::sidecar
