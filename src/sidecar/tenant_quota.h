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

/// One token of a tenant: the right to have one request run, up to a time.
struct QuotaToken {
  /// Of the leadership that gave it.
  std::uint64_t generation = 0;
  TimePoint void_at;
};

/// The tokens that this sidecar holds of tenants with a limit. They come from the stores' leader: ahead of
/// requests where a tenant sends often, else as one waits. See store::QuotaLedger for what keeps the sum of
/// all sidecars within the limit.
///
/// It answers a demand that moves between sidecars, and hundreds of small tenants of which each sidecar sees
/// few requests: a token for each of them, everywhere and always, would be more than a small limit has.
class TenantQuota {
 public:
  using Address = runtime::Address;
  /// Sends the request to the store, or, if that is none or not linked, to another one, but for `silent` if
  /// there is a choice. @return the store that got it; none if no store is linked.
  using Ask = std::function<std::optional<Address>(
      const wire::QuotaRequestT&, const std::optional<Address>& store, const std::optional<Address>& silent)>;

  explicit TenantQuota(Ask ask) : ask_(std::move(ask)) {}

  enum class Verdict : std::uint8_t {
    /// The token is taken.
    Granted,
    /// The leader is asked; the next answer tells.
    Wait,
    /// The limit is used up, or no leader answers.
    Denied,
  };
  struct Decision {
    Verdict verdict = Verdict::Denied;
    QuotaToken token;
    /// Of Denied: when to come back at the earliest.
    Duration retry_after{};
  };

  /// A request of the tenant has come.
  void noteRequest(const std::string& tenant, TimePoint now);
  /// Takes a token for a request.
  Decision take(const std::string& tenant, TimePoint now);
  /// The same for a request that waits, after onGrant() returned true.
  Decision takeAfterWait(const std::string& tenant, TimePoint now);
  /// A request that waits for a token has left.
  void stopWaiting(const std::string& tenant);
  /// Asks for those who wait, unless that is under way.
  void askForWaiting(TimePoint now);
  /// The request that took the token has ended. @param ran false: it has not run, so another one may.
  void settle(const std::string& tenant, const QuotaToken& token, bool ran, TimePoint now);

  /// @return true if it was the leader's answer that was waited for: those who wait are to ask again.
  bool onGrant(const Address& from, const wire::QuotaGrantT& grant, TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// Longest time that a request waits for a token: some twenty ways to a leader in the same region and back
  /// (3 to 5 ms).
  static constexpr Duration kMostWait = std::chrono::milliseconds(100);
  /// When to come back while no leader answers: about an election.
  static constexpr Duration kLeaderlessRetry = std::chrono::milliseconds(300);

 private:
  /// Tokens of one answer.
  struct Batch {
    QuotaToken token;
    std::uint64_t count = 0;
    TimePoint came;
  };
  struct Account {
    /// The oldest first.
    std::vector<Batch> batches;
    /// Tokens of this generation that requests under way have taken.
    std::uint64_t in_use = 0;
    std::uint64_t waiting = 0;
    /// Requests a second, smoothed.
    double demand = 0;
    TimePoint demand_at;
    TimePoint denied_until;
    Duration retry_after{};
    /// What the leader was told last.
    std::uint64_t told_held = 0;

    std::uint64_t free() const;
  };

  std::uint64_t heldOf(const Account& account) const;
  static void dropVoid(Account& account, TimePoint now);
  /// @return tokens wanted for the requests that are expected before the next answer.
  static std::uint64_t aheadOf(const Account& account, TimePoint now);
  /// Takes out tokens that lay unused for long, so that others get them. @return how many.
  std::uint64_t takeIdle(Account& account, TimePoint now) const;
  void ask(bool is_round, TimePoint now);
  std::shared_ptr<wire::QuotaNeedT> needOf(const std::string& tenant, Account& account, TimePoint now);
  bool hasNews(const Account& account, TimePoint now) const;
  bool isForgotten(const Account& account, TimePoint now) const;
  std::optional<Decision> takeHeld(Account& account, TimePoint now);
  void onSilence(TimePoint now);

  /// Between two rounds in which all tenants are told of.
  static constexpr Duration kRound = std::chrono::milliseconds(200);
  /// A leader that has not answered for so long is taken for gone.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(250);
  /// Between two questions while no leader answers, and to the leader that was named instead.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
  static constexpr Duration kRedirectInterval = std::chrono::milliseconds(5);

  Ask ask_;
  std::map<std::string, Account> accounts_;
  std::uint64_t sequence_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t generation_ = 0;
  /// When the question that has no answer yet was sent.
  std::optional<TimePoint> asked_at_;
  std::optional<Address> asked_;
  /// As its last answer, or that of another store, says.
  std::optional<Address> leader_;
  /// The store that has not answered last.
  std::optional<Address> silent_;
  /// The last question had an answer of a leader.
  bool is_answered_ = true;
  TimePoint round_at_;
  TimePoint retry_at_;
};

}  // namespace cometstand::sidecar
