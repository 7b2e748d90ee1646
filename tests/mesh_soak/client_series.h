#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh_soak/schedule.h"
#include "misbehaving_clients/client_crowd.h"
#include "misbehaving_clients/memory_watch.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {

/// Crowds of misbehaving clients of drawn kinds at drawn addresses. Crowds follow each other and overlap
/// until the end, beside all other faults. Every process must stay within the memory of its machine.
class ClientSeries {
 public:
  ClientSeries(PlatformMesh& mesh, Schedule& schedule, std::uint64_t seed);

  /// Begins the series; no crowd begins after `time`.
  void begin(Duration time);
  /// Follows the processes that were started again. Call it again and again.
  void check();
  /// @return what went wrong, a line each.
  std::vector<std::string> failures() const { return watch_.exceeded(); }
  /// @return the number of crowds.
  std::size_t count() const { return count_; }

 private:
  /// Crowds that follow each other, each in a series of its own.
  static constexpr std::size_t kOverlapping = 2;

  void playNext();
  ServedAddress drawAddress();
  ClientKind drawKind();
  std::vector<WatchedProcess> watched() const;

  PlatformMesh& mesh_;
  Schedule& schedule_;
  RandomSource random_;
  MemoryWatch watch_;
  TimePoint end_;
  std::size_t count_ = 0;
};

}  // namespace cometstand::platform
