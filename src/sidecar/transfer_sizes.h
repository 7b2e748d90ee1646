#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace cometstand::sidecar {

/// Learns how large the answers of each route are, so that their bytes can be weighed before a request is
/// sent.
class TransferSizes {
 public:
  /// @param bytes size of one answer's body.
  void note(const std::string& route, std::size_t bytes) {
    const auto value = static_cast<double>(bytes);
    const auto [known, is_first] = answer_bytes_.try_emplace(route, value);
    if (!is_first) known->second += kNewest * (value - known->second);
  }

  /// @return the smoothed size of the route's answers; 0 before the first.
  std::size_t answerBytes(const std::string& route) const {
    const auto known = answer_bytes_.find(route);
    return known == answer_bytes_.end() ? 0 : static_cast<std::size_t>(known->second);
  }

 private:
  /// Weight of the newest answer.
  static constexpr double kNewest = 0.1;

  std::map<std::string, double> answer_bytes_;
};

}  // namespace cometstand::sidecar
