#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "runtime/process_core.h"
#include "schema/mesh_generated.h"

namespace cometstand::store {

/// Operators' bound on what a tenant's requests may be over all nodes together, in any window: its rate times
/// the window and its burst, times one and the overshoot, and the slack besides.
struct QuotaBounds {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;
};

/// A tenant's limit; no limit if the rate is zero.
struct QuotaLimit {
  double requests_per_second = 0;
  double burst = 0;

  bool isSet() const { return requests_per_second > 0; }
};

/// The tokens of all tenants, as the leader gives them to nodes: one for each request that may run.
///
/// Invariant: at any time the tokens that nodes may still use, of this leadership and of those before it, and
/// those that may be given at once are together no more than a tenant's burst and what the bounds allow
/// beyond its limit; more come at the tenant's rate only. So no window sees more than the bounds, whatever
/// becomes of nodes, links and leaders: what a node uses in a window it held at its beginning, or was given
/// in it.
///
/// Given tokens become void kValidTime after the node asked, which is before they were given. A node that is
/// cut off, dead or frozen thus keeps tokens from others for that time and no longer.
///
/// See docs/design/tenants.md for what was weighed.
class QuotaLedger {
 public:
  /// Names a node's link to this store; never used twice.
  using Holder = runtime::LinkId;

  /// For which a node may use tokens. Long enough to bridge an election (0.3 to 0.6 s, and a node's finding
  /// the new leader), short beside the window, so that little is lost with a dead node.
  static constexpr Duration kValidTime = std::chrono::seconds(2);
  /// A leader gives nothing when a quorum last confirmed it longer ago; it then steps down. The shortest
  /// election timeout.
  static constexpr Duration kConfirmTime = std::chrono::milliseconds(300);
  /// After this time under another leader, or without any, all tokens of a leadership are void. Then
  /// the leader has them recorded as void.
  static constexpr Duration kGenerationTime = kValidTime + 2 * kConfirmTime;

  explicit QuotaLedger(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// This store gives tokens from now on. Nothing is known of the tokens of the leaderships before.
  /// @param generation its leadership's number, higher than all before.
  /// @param live leaderships, this one among them, whose tokens may be in use.
  /// @param led_since when the leadership began.
  void begin(std::uint64_t generation, std::uint32_t live, TimePoint led_since);
  /// This store does not lead any more.
  void end() { generation_ = 0; }
  /// A quorum confirmed that this store led at that moment or later.
  void confirm(TimePoint at);
  /// The limits by tenant from now on; tenants without one are left out.
  void setLimits(std::map<std::string, QuotaLimit> limits, TimePoint now);

  /// Takes in what the node says of its tokens, and gives it more.
  wire::QuotaGrantT onRequest(Holder holder, const wire::QuotaRequestT& request, TimePoint now);

  /// What stands of one tenant, for operators.
  struct Standing {
    QuotaLimit limit;
    /// Tokens that may be given now, and those that nodes hold.
    double level = 0;
    std::uint64_t held = 0;
    /// Since this leadership began.
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };
  std::map<std::string, Standing> standings() const;
  /// @return the number of this store's leadership; 0 if it does not lead.
  std::uint64_t generation() const { return generation_; }
  bool isLeading() const { return generation_ != 0; }

 private:
  /// What one node has of one tenant's tokens.
  struct Holding {
    /// By its newest word.
    std::uint64_t held = 0;
    /// Given by answers that it has not confirmed: their numbers and tokens.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unacknowledged;
    /// All of it is void from then on.
    TimePoint void_at;

    std::uint64_t total() const;
  };
  struct Account {
    QuotaLimit limit;
    double level = 0;
    /// Up to when the level has risen.
    TimePoint filled_to;
    std::map<Holder, Holding> holdings;
    /// Sum over the holdings.
    std::uint64_t held = 0;
    TimePoint swept_at;
    /// Requests a second that get no token, smoothed.
    double denied_per_second = 0;
    TimePoint denied_at;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  double capacityOf(const Account& account, TimePoint now) const;
  /// @return the part of what the bounds allow beyond a limit that belongs to this leadership while tokens of
  /// those before it may be in use.
  double firstShare() const;
  void fill(Account& account, TimePoint now);
  void takeReport(Account& account, Holding& holding, const wire::QuotaRequestT& request,
                  const wire::QuotaNeedT& need);
  /// @return the tokens given.
  std::uint64_t give(Account& account, const wire::QuotaNeedT& need, TimePoint now);
  Duration waitFor(Account& account, std::uint64_t denied, TimePoint now);
  static void sweep(Account& account, TimePoint now);

  QuotaBounds bounds_;
  std::uint64_t generation_ = 0;
  std::uint32_t live_ = 0;
  TimePoint began_;
  TimePoint confirmed_at_;
  std::map<std::string, Account> accounts_;
};

}  // namespace cometstand::store
