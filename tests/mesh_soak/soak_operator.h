#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "base/random.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {

/// Addresses that stores of a soak may have.
inline constexpr std::size_t kMaxSoakStores = 12;

/// An operator who puts configurations in quick succession, large and small ones, from a thread of its own
/// until stop(). Each is sent again unchanged until a store acknowledges it.
class SoakOperator {
 public:
  /// @param version the version that is in force.
  SoakOperator(const PlatformMesh& mesh, std::uint64_t seed, unsigned version);
  ~SoakOperator() { stop(); }
  SoakOperator(const SoakOperator&) = delete;
  SoakOperator& operator=(const SoakOperator&) = delete;

  /// Returns once the last configuration is acknowledged.
  void stop();
  /// @return the newest acknowledged version.
  unsigned version() const { return version_; }
  /// @return the status of an order that no repetition can mend; 0 if there was none.
  unsigned refusal() const { return refusal_; }

 private:
  void putNext();
  unsigned putOnce(const std::string& text) const;

  const PlatformMesh& mesh_;
  RandomSource random_;
  std::atomic<unsigned> version_;
  std::atomic<unsigned> refusal_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace cometstand::platform
