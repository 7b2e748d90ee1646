#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"

namespace cometstand::sidecar {

/// This sidecar's part of the retries that all sidecars together may send to a service: a token bucket for
/// each service, filled by its requests.
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

  /// A first sending of a request for the service.
  void onRequest(const std::string& service, TimePoint now) {
    auto& bucket = buckets_[service];
    bucket.fade(kept_, now);
    bucket.tokens = std::min(bucket.tokens + ratio_, std::max(burst_, kFirstTokens));
  }

  /// @param is_urgent false leaves the last token to more urgent requests for the service.
  /// @return true if one more sending is allowed; it is then counted.
  bool take(const std::string& service, bool is_urgent, TimePoint now) {
    const auto found = buckets_.find(service);
    if (found == buckets_.end()) return false;
    auto& bucket = found->second;
    bucket.fade(kept_, now);
    if (bucket.tokens < (is_urgent ? 1 : 1 + kReserved)) return false;
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
  };

  static constexpr double kFirstTokens = 1;
  /// Tokens that are kept for urgent requests.
  static constexpr double kReserved = 1;
  static constexpr double kUsedShare = 0.5;
  /// Half of the window in which operators count retries, so that what is saved is a quarter of what a window
  /// allows at most.
  static constexpr double kFadeSeconds = 5;

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
