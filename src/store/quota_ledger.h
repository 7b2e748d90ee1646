#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "runtime/process_core.h"
#include "schema/mesh_generated.h"

namespace cometstand::store {

/// Upper bound on a tenant's requests over all nodes in any window, as set by operators:
/// (rate * window + burst) * (1 + overshoot) + slack.
struct QuotaBounds {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;
};

/// Limit of one tenant. A rate of zero means that the tenant is not limited.
struct QuotaLimit {
  double requests_per_second = 0;
  double burst = 0;

  bool isSet() const { return requests_per_second > 0; }
};

/// Token buckets of all tenants, from which the leader grants tokens to nodes. A node needs one token for
/// each request that it runs.
///
/// Invariant: for each tenant, the unexpired tokens that nodes hold from this and earlier leaderships, plus
/// the tokens available for immediate grants, never exceed the burst plus the excess that the bounds allow
/// beyond the limit. Further tokens accrue only at the tenant's rate. The bounds therefore hold in every
/// window even if nodes, links or leaders fail, because a node can use in a window only tokens that it held
/// at the start of the window or was granted during it.
///
/// Granted tokens expire kTokenLifetime after the node sent its request, which is before they were granted. A
/// node that is partitioned, dead or frozen thus withholds tokens from other nodes for at most that time.
///
/// See docs/design/tenants.md for the alternatives considered.
class QuotaLedger {
 public:
  /// Identifies a node's link to this store. Identifiers are never reused.
  using Holder = runtime::LinkId;

  /// Time for which a node may use granted tokens. It must outlast an election (0.3 to 0.6 s) plus the time a
  /// node needs to find the new leader, and must be short compared with the window so that a dead node
  /// withholds few tokens.
  static constexpr Duration kTokenLifetime = std::chrono::seconds(2);
  /// A leader grants nothing if its last confirmation by a quorum is at least this old; it then steps down.
  /// Equals the shortest election timeout.
  static constexpr Duration kConfirmationTimeout = std::chrono::milliseconds(300);
  /// Time after the end of a leadership by which all of its tokens have expired. The next leader then records
  /// them as expired.
  static constexpr Duration kGenerationExpiry = kTokenLifetime + 2 * kConfirmationTimeout;

  explicit QuotaLedger(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// Starts granting tokens. Tokens granted by earlier leaderships are not known here.
  /// @param generation number of this leadership, higher than all earlier ones.
  /// @param live number of leaderships, including this one, whose tokens may be in use.
  /// @param led_since time at which the leadership began.
  void beginLeadership(std::uint64_t generation, std::uint32_t live, TimePoint led_since);
  /// Stops granting tokens because this store is no longer the leader.
  void endLeadership() { generation_ = 0; }
  /// Records that a quorum confirmed this store as the leader at the given time or later.
  void confirmLeadership(TimePoint at);
  /// Replaces the limits of all tenants. Tenants without a limit are omitted.
  void setLimits(std::map<std::string, QuotaLimit> limits, TimePoint now);

  /// Applies the token counts that the node reports and grants it more tokens.
  wire::QuotaGrantT onRequest(Holder holder, const wire::QuotaRequestT& request, TimePoint now);

  /// Status of one tenant, for operators.
  struct TenantStatus {
    QuotaLimit limit;
    /// Tokens available for immediate grants.
    double available = 0;
    /// Tokens that nodes hold.
    std::uint64_t held = 0;
    /// Tokens granted since this leadership began.
    std::uint64_t granted = 0;
    /// Requests denied since this leadership began.
    std::uint64_t denied = 0;
  };
  std::map<std::string, TenantStatus> tenantStatuses() const;
  /// @return the generation of this store's leadership; 0 if it is not the leader.
  std::uint64_t generation() const { return generation_; }
  bool isLeading() const { return generation_ != 0; }

 private:
  /// Tokens of one tenant that one node holds.
  struct Holding {
    /// Tokens held according to the node's latest report.
    std::uint64_t held = 0;
    /// Sequence numbers and token counts of grants that the node has not acknowledged.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unacknowledged;
    /// Time at which all tokens of this holding expire.
    TimePoint expires_at;

    std::uint64_t total() const;
  };
  struct Account {
    QuotaLimit limit;
    double available = 0;
    /// Time up to which the available tokens have been refilled.
    TimePoint refilled_until;
    std::map<Holder, Holding> holdings;
    /// Total tokens over all holdings.
    std::uint64_t held = 0;
    TimePoint last_cleanup;
    /// Exponentially smoothed rate of requests that were denied a token.
    double denied_per_second = 0;
    TimePoint denied_at;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  double capacityOf(const Account& account, TimePoint now) const;
  /// @return the share of the excess beyond the limit that this leadership may grant while tokens of earlier
  /// leaderships may be in use.
  double initialExcessShare() const;
  void refill(Account& account, TimePoint now);
  void applyReport(Account& account, Holding& holding, const wire::QuotaRequestT& request,
                   const wire::QuotaNeedT& need);
  /// @return the number of tokens granted.
  std::uint64_t grant(Account& account, const wire::QuotaNeedT& need, TimePoint now);
  Duration retryAfter(Account& account, std::uint64_t denied, TimePoint now);
  static void removeExpired(Account& account, TimePoint now);

  QuotaBounds bounds_;
  std::uint64_t generation_ = 0;
  std::uint32_t live_ = 0;
  TimePoint led_since_;
  TimePoint confirmed_at_;
  std::map<std::string, Account> accounts_;
};

}  // namespace cometstand::store
