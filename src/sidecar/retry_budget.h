#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace cometstand::sidecar {

/// This sidecar's part of the retries that all sidecars together may send to a service: a token bucket for
/// each service, filled by its requests.
///
/// It answers targets that turn many requests away although they have room: then more retries are wanted than
/// are allowed, and they go to those who would be lost without. Of requests that fail with probability p at
/// each try, and whose callers come back once, p^2 are lost without retries; a retry of a returned one saves
/// 1 - p of a request, one of a fresh one p (1 - p) only.
class RetryBudget {
 public:
  /// @param shared_ratio what all sidecars together may send again, as a share of the requests; half of it is
  /// used.
  /// @param shared_slack what they may send again besides.
  RetryBudget(double shared_ratio, double burst, double shared_slack)
      : ratio_(shared_ratio * kUsedShare), burst_(burst), shared_slack_(shared_slack) {}

  /// So many sidecars share what is allowed.
  void setSidecars(std::size_t sidecars) {
    const double part = kUsedSlack * shared_slack_ / static_cast<double>(std::max<std::size_t>(1, sidecars));
    kept_ = std::clamp(part, kFirstTokens, std::max(burst_, kFirstTokens));
  }

  /// What speaks for one more sending of a request.
  struct Claim {
    /// No more urgent requests come for the service; any other leaves the last token to those.
    bool is_urgent = false;
    /// The caller will hardly come back once it is refused.
    bool is_last_chance = false;
  };

  /// A first sending of a request for the service.
  void onRequest(const std::string& service, TimePoint now) {
    auto& bucket = buckets_[service];
    bucket.fade(kept_, now);
    bucket.tokens = std::min(bucket.tokens + ratio_, std::max(burst_, kFirstTokens));
  }

  /// @return true if one more sending is allowed; it is then counted.
  bool take(const std::string& service, const Claim& claim, TimePoint now) {
    const auto found = buckets_.find(service);
    if (found == buckets_.end()) return false;
    auto& bucket = found->second;
    bucket.fade(kept_, now);
    const bool is_scarce = bucket.missed_at && now < *bucket.missed_at + kScarceTime;
    const bool yields = !claim.is_urgent || (is_scarce && !claim.is_last_chance);
    if (bucket.tokens < (yields ? 1 + kReserved : 1)) {
      if (claim.is_last_chance) bucket.missed_at = now;
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

 private:
  struct Bucket {
    double tokens = kFirstTokens;
    TimePoint faded_at;

    /// What is saved beyond a part of the shared slack fades: else all sidecars together could save up
    /// `burst` each, more than all may send again in a window (3,500 of 2,000 at 1,178 sidecars), and send it
    /// at one moment.
    void fade(double kept, TimePoint now) {
      if (tokens > kept) {
        const double time = std::chrono::duration<double>(now - faded_at).count();
        tokens = kept + (tokens - kept) * std::exp(-time / kFadeSeconds);
      }
      faded_at = now;
    }
    /// When a last chance was last given up for want of a token.
    std::optional<TimePoint> missed_at;
  };

  static constexpr double kFirstTokens = 1;
  /// Tokens that are kept for those who do not yield.
  static constexpr double kReserved = 1;
  static constexpr double kUsedShare = 0.5;
  /// Half of the window in which operators count retries, so that what is saved is a quarter of what a window
  /// allows at most.
  static constexpr double kFadeSeconds = 5;
  /// For which retries count as scarce: the window in which operators count them. With 3 s, the retries of a
  /// sidecar that sends two requests a second served 0.39 of a caller each, as the test plays it, of 0.45.
  static constexpr Duration kScarceTime = std::chrono::seconds(10);

  /// The rest of the slack is for chance.
  static constexpr double kUsedSlack = 0.8;

  double ratio_;
  double burst_;
  double shared_slack_;
  /// Tokens that a sidecar may keep for as long as it likes.
  double kept_ = kFirstTokens;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace cometstand::sidecar
