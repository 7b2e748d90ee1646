#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"
#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// The right to run one request of a tenant, valid up to a time.
struct QuotaToken {
  /// Generation of the store leadership that granted the token.
  std::uint64_t generation = 0;
  TimePoint expires_at;
};

/// Holds this sidecar's quota tokens of tenants with a request limit. The stores' leader grants them: in
/// advance for tenants with frequent requests, else when a request waits for one. store::QuotaLedger keeps
/// the sum over all sidecars within the limit.
///
/// Tokens are granted on demand because a tenant's demand moves between sidecars, and because there are
/// hundreds of small tenants with few requests at each sidecar: one permanent token of each tenant at every
/// sidecar would exceed a small limit.
class TenantQuota {
 public:
  using Address = runtime::Address;
  /// Sends the request to `store`, or to another store if that is empty or not connected; avoids
  /// `unresponsive` if there is another one. @return the store that the request was sent to; none if no store
  /// is connected.
  using SendRequest =
      std::function<std::optional<Address>(const wire::QuotaRequestT&, const std::optional<Address>& store,
                                           const std::optional<Address>& unresponsive)>;

  explicit TenantQuota(SendRequest send_request) : send_request_(std::move(send_request)) {}

  enum class Verdict : std::uint8_t {
    /// The token is taken.
    Granted,
    /// The request has to wait for the leader's next grant.
    Wait,
    /// The limit is used up, or no leader answers.
    Denied,
  };
  struct Decision {
    Verdict verdict = Verdict::Denied;
    QuotaToken token;
    /// Set if denied: the shortest delay before a retry.
    Duration retry_after{};
  };

  /// Counts a new request of the tenant.
  void noteRequest(const std::string& tenant, TimePoint now);
  /// Takes a token for a request.
  Decision take(const std::string& tenant, TimePoint now);
  /// Takes a token for a request that has waited for one, after onGrant() returned true.
  Decision takeAfterWait(const std::string& tenant, TimePoint now);
  /// Removes a request from those that wait for a token.
  void stopWaiting(const std::string& tenant);
  /// Requests tokens for the waiting requests, unless a request to the leader is in flight.
  void requestForWaiting(TimePoint now);
  /// Called when the request that took the token has ended.
  /// @param ran false if the request has not run, so that another one may use the token.
  void release(const std::string& tenant, const QuotaToken& token, bool ran, TimePoint now);

  /// @return true if this was the leader's answer to the request in flight; waiting requests must then call
  /// takeAfterWait().
  bool onGrant(const Address& from, const wire::QuotaGrantT& grant, TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// Longest time that a request waits for a token: about twenty round trips to a leader in the same region,
  /// of 3 to 5 ms each.
  static constexpr Duration kMaxTokenWait = std::chrono::milliseconds(100);
  /// Retry delay for callers while no leader answers: about the duration of an election.
  static constexpr Duration kLeaderlessRetryAfter = std::chrono::milliseconds(300);

 private:
  /// Unused tokens of one grant.
  struct Batch {
    QuotaToken token;
    std::uint64_t count = 0;
    TimePoint received_at;
  };
  struct Account {
    /// Ordered from the oldest to the newest.
    std::vector<Batch> batches;
    /// Tokens of the current generation that are taken by requests in flight.
    std::uint64_t in_use = 0;
    std::uint64_t waiting = 0;
    /// Smoothed rate of requests a second.
    double demand = 0;
    TimePoint demand_at;
    TimePoint denied_until;
    Duration retry_after{};
    /// Held tokens by the last report to the leader, plus those granted since.
    std::uint64_t reported_held = 0;

    std::uint64_t free() const;
  };

  std::uint64_t heldOf(const Account& account) const;
  static void dropExpired(Account& account, TimePoint now);
  /// @return the number of tokens to request in advance for the requests expected before the next grant.
  static std::uint64_t prefetchCount(const Account& account, TimePoint now);
  /// Removes tokens that have been unused for kIdleTime, so that other sidecars get them.
  /// @return the number of removed tokens.
  std::uint64_t removeIdle(Account& account, TimePoint now) const;
  void requestTokens(bool is_full_report, TimePoint now);
  std::shared_ptr<wire::QuotaNeedT> makeNeed(const std::string& tenant, Account& account, TimePoint now);
  bool hasChanges(const Account& account, TimePoint now) const;
  bool isRemovable(const Account& account, TimePoint now) const;
  std::optional<Decision> takeHeld(Account& account, TimePoint now);
  void onNoLeader(TimePoint now);

  /// Interval between two reports to the leader on all tenants.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(200);
  /// A store that has not answered within this time is no longer taken for the leader.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(250);
  /// Interval between two requests while no leader answers.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
  /// Delay before a request to the leader that another store has named.
  static constexpr Duration kRedirectInterval = std::chrono::milliseconds(5);

  SendRequest send_request_;
  std::map<std::string, Account> accounts_;
  std::uint64_t sequence_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t generation_ = 0;
  /// When the request in flight was sent; none if there is none.
  std::optional<TimePoint> requested_at_;
  std::optional<Address> requested_store_;
  /// The leader by its own last answer or by that of another store.
  std::optional<Address> leader_;
  /// The store that did not answer the last request.
  std::optional<Address> unresponsive_store_;
  /// A leader has answered the last request.
  bool has_leader_ = true;
  TimePoint next_report_at_;
  TimePoint retry_at_;
};

}  // namespace cometstand::sidecar
