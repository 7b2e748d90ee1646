#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace cometstand::sidecar {

/// This sidecar's part of the retries that all sidecars together may send to a service: a token bucket for
/// each service, filled by its requests.
class RetryBudget {
 public:
  /// @param shared_ratio what all sidecars together may send again, as a share of the requests; half of it is
  /// used.
  RetryBudget(double shared_ratio, double burst) : ratio_(shared_ratio * kUsedShare), burst_(burst) {}

  /// A first sending of a request for the service.
  void onRequest(const std::string& service) {
    double& tokens = tokens_.try_emplace(service, kFirstTokens).first->second;
    tokens = std::min(tokens + ratio_, std::max(burst_, kFirstTokens));
  }

  /// @param is_urgent false leaves the last token to more urgent requests for the service.
  /// @return true if one more sending is allowed; it is then counted.
  bool take(const std::string& service, bool is_urgent) {
    const auto tokens = tokens_.find(service);
    const double least = is_urgent ? 1 : 1 + kReserved;
    if (tokens == tokens_.end() || tokens->second < least) return false;
    tokens->second -= 1;
    return true;
  }

 private:
  static constexpr double kFirstTokens = 1;
  /// Tokens that are kept for urgent requests.
  static constexpr double kReserved = 1;
  static constexpr double kUsedShare = 0.5;

  double ratio_;
  double burst_;
  std::map<std::string, double> tokens_;
};

}  // namespace cometstand::sidecar
