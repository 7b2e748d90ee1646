#pragma once

#include <csignal>
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh_soak/schedule.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {

/// Series of planned stops, kills, suspensions and signals of sidecars, and of targets that leave and return.
/// Each series begins again after a drawn pause, so that they overlap, until its end; every process that was
/// ended is started again. Each step notices processes that ended by themselves.
class SidecarFaults {
 public:
  SidecarFaults(PlatformMesh& mesh, Schedule& schedule, std::uint64_t seed);

  /// Begins all series; none begins anew after `time`.
  void begin(Duration time);
  /// Looks for processes that have ended by themselves. Call it again and again.
  void check();
  /// @return what went wrong, a line each.
  const std::vector<std::string>& failures() const { return failures_; }
  /// @return true if the sidecar's process was killed, or was down, in that time.
  bool wasKilled(std::size_t sidecar, TimePoint from, TimePoint to) const;
  /// @return the number of planned stops that have ended.
  std::size_t plannedStops() const { return planned_stops_; }
  /// @return the number of SIGKILLs.
  std::size_t kills() const { return kills_; }

 private:
  enum class State : std::uint8_t { Running, Stopping, Down };

  struct Sidecar {
    State state = State::Running;
    TimePoint stop_began;
    std::vector<TimePoint> killed_at;
  };

  /// Runs the series now and then until the end.
  void repeat(Duration max_pause, const std::function<void()>& series);
  std::size_t pick() { return random_.uniform(std::uint64_t{0}, sidecars_.size() - 1); }

  void stopInTurn();
  void stop(std::size_t sidecar);
  void awaitEnd(std::size_t sidecar);
  void checkEnd(std::size_t sidecar, const rehearsal::ProcessEnd& end);
  void kill(std::size_t sidecar);
  void killAll();
  void startAgain(std::size_t sidecar, Duration pause);
  void suspend(std::size_t sidecar);
  void leaveAndReturn(std::size_t target);
  void fail(std::size_t sidecar, const std::string& what);

  PlatformMesh& mesh_;
  Schedule& schedule_;
  RandomSource random_;
  TimePoint end_;
  std::vector<Sidecar> sidecars_;
  std::vector<std::string> failures_;
  std::size_t planned_stops_ = 0;
  std::size_t kills_ = 0;
};

}  // namespace cometstand::platform
