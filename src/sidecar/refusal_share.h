#pragma once

#include <map>
#include <string>

namespace cometstand::sidecar {

/// The smoothed share of this sidecar's recent requests for each service that were refused: a measure of the
/// service's overload.
class RefusalShare {
 public:
  void note(const std::string& service, bool refused) {
    double& share = shares_[service];
    share += kNewestWeight * ((refused ? 1 : 0) - share);
  }

  /// @return from 0 to 1; 0 before the first request.
  double of(const std::string& service) const {
    const auto known = shares_.find(service);
    return known == shares_.end() ? 0 : known->second;
  }

 private:
  /// Weight of the latest request: the share covers about ten requests, less than a second of a busy
  /// sidecar's traffic.
  static constexpr double kNewestWeight = 0.1;

  std::map<std::string, double> shares_;
};

}  // namespace cometstand::sidecar
