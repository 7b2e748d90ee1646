#pragma once

#include <map>
#include <string>

namespace cometstand::sidecar {

/// The share of this sidecar's requests for each service that lately ended refused: how overloaded the
/// service is, as its callers see it.
class RefusalShare {
 public:
  void note(const std::string& service, bool refused) {
    double& share = shares_[service];
    share += kNewest * ((refused ? 1 : 0) - share);
  }

  /// @return from 0 to 1; 0 before the first request.
  double of(const std::string& service) const {
    const auto known = shares_.find(service);
    return known == shares_.end() ? 0 : known->second;
  }

 private:
  /// Weight of the newest request: some ten requests make the share, less than a second of a busy sidecar's
  /// traffic.
  static constexpr double kNewest = 0.1;

  std::map<std::string, double> shares_;
};

}  // namespace cometstand::sidecar
