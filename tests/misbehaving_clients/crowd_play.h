#pragma once

#include <string>
#include <vector>

#include "misbehaving_clients/client_kinds.h"
#include "misbehaving_clients/ordinary_callers.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {

/// Memory of the machines of a test, in bytes.
struct MachineMemory {
  std::size_t sidecar = 0;
  std::size_t store = 0;
};

inline constexpr std::size_t kMegabyte = 1'000'000;
/// The machines of the usual deployments.
inline constexpr MachineMemory kUsualMachines{PlatformMesh::kSidecarMemoryMb * kMegabyte,
                                              PlatformMesh::kStoreMemoryMb* kMegabyte};

/// Sidecars or stores at which clients misbehave, and where they do.
struct CrowdPlan {
  std::vector<ClientKind> kinds;
  std::vector<ServedAddress> addresses;
  /// Sidecars whose own callers may fare worse meanwhile.
  std::vector<std::size_t> pressed_sidecars;
  /// How long the clients play; the time that COMETSTAND_CLIENT_MILLISECONDS names, by default.
  Duration time = Duration::zero();
};

/// Lets clients misbehave at a mesh beside its ordinary callers and checks, by Catch, that
/// - no process ends, or passes the memory of its machine;
/// - every sidecar keeps answering the platform's question for its readiness in time;
/// - ordinary requests are served: nearly all where no client misbehaves, and nearly all everywhere
///   once it is over.
/// Prints a line with the memory and the shares. A process that has ended is started again afterwards.
class CrowdPlay {
 public:
  /// @param callers null if the mesh can serve none.
  explicit CrowdPlay(PlatformMesh& mesh, OrdinaryCallers* callers, MachineMemory machines = kUsualMachines)
      : mesh_(mesh), callers_(callers), machines_(machines) {}

  void run(const CrowdPlan& plan);

 private:
  /// @return true if every question was answered in time.
  bool askReadiness(Duration time);
  void countAnew();
  std::string sharesText() const;
  void checkShares(const CrowdPlan& plan, const char* phase, double least_pressed);
  void restartEnded();

  PlatformMesh& mesh_;
  OrdinaryCallers* callers_;
  const MachineMemory machines_;
};

}  // namespace cometstand::platform
