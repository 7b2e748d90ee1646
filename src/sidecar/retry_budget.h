#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"

namespace cometstand::sidecar {

/// This sidecar's share of the retries that all sidecars together may send: a token bucket for each service,
/// filled by the requests for it.
class RetryBudget {
 public:
  /// @param shared_ratio the retries that all sidecars together may send, as a share of their requests; half
  /// of it is used.
  /// @param burst the largest number of tokens that are saved up for a service.
  /// @param shared_slack the number of retries in a window that all sidecars together may send beyond that
  /// share.
  RetryBudget(double shared_ratio, double burst, double shared_slack)
      : ratio_(shared_ratio * kUsedRatioShare), burst_(burst), shared_slack_(shared_slack) {}

  /// @param sidecars the number of sidecars that share the allowed retries.
  void setSidecarCount(std::size_t sidecars) {
    const double part =
        kUsedSlackShare * shared_slack_ / static_cast<double>(std::max<std::size_t>(1, sidecars));
    retained_tokens_ = std::clamp(part, kInitialTokens, std::max(burst_, kInitialTokens));
  }

  /// Counts a new request for the service.
  void onRequest(const std::string& service, TimePoint now) {
    auto& bucket = buckets_[service];
    bucket.decay(retained_tokens_, now);
    bucket.tokens = std::min(bucket.tokens + ratio_, std::max(burst_, kInitialTokens));
  }

  /// Takes a token for a retry.
  /// @param is_urgent false leaves the last token to more urgent requests for the service.
  /// @return true if the retry is allowed.
  bool take(const std::string& service, bool is_urgent, TimePoint now) {
    const auto found = buckets_.find(service);
    if (found == buckets_.end()) return false;
    auto& bucket = found->second;
    bucket.decay(retained_tokens_, now);
    if (bucket.tokens < (is_urgent ? 1 : 1 + kReservedTokens)) return false;
    bucket.tokens -= 1;
    return true;
  }

 private:
  struct Bucket {
    double tokens = kInitialTokens;
    TimePoint decayed_at;

    /// Lets tokens beyond this sidecar's share of the slack decay. Otherwise each sidecar could save up
    /// `burst` tokens and all could use them at the same moment: 3,500 retries of 1,178 sidecars, where 2,000
    /// are allowed in a window.
    void decay(double retained, TimePoint now) {
      if (tokens > retained) {
        const double time = std::chrono::duration<double>(now - decayed_at).count();
        tokens = retained + (tokens - retained) * std::exp(-time / kDecaySeconds);
      }
      decayed_at = now;
    }
  };

  static constexpr double kInitialTokens = 1;
  /// Tokens that only urgent requests may take.
  static constexpr double kReservedTokens = 1;
  /// Used part of the shared ratio; the rest allows for random variation.
  static constexpr double kUsedRatioShare = 0.5;
  /// Time constant of the decay: half of the window in which operators count retries, so that the saved
  /// tokens are at most a quarter of the retries that are allowed in a window.
  static constexpr double kDecaySeconds = 5;

  /// Used part of the shared slack; the rest allows for random variation.
  static constexpr double kUsedSlackShare = 0.8;

  double ratio_;
  double burst_;
  double shared_slack_;
  /// Tokens in a bucket up to this number do not decay.
  double retained_tokens_ = kInitialTokens;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace cometstand::sidecar
