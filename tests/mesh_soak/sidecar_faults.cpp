#include "mesh_soak/sidecar_faults.h"

#include <fmt/format.h>

#include <algorithm>

namespace cometstand::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of a planned stop, and what a busy machine may add until the test sees its end.
constexpr Duration kGraceTime = seconds(6);
constexpr Duration kNoticeTime = seconds(4);
constexpr Duration kEndCheckInterval = milliseconds(50);
constexpr Duration kMaxDownTime = milliseconds(1'500);
/// A request that runs must outlast a suspension within a planned stop.
constexpr Duration kMaxSuspension = milliseconds(900);
constexpr Duration kMaxTimeBetweenStops = milliseconds(1'500);
constexpr Duration kMaxAbsenceOfTarget = seconds(3);
/// Longest pauses before a series begins again.
constexpr Duration kStopsPause = seconds(4);
constexpr Duration kKillPause = seconds(3);
constexpr Duration kKillAllPause = seconds(15);
constexpr Duration kSuspendPause = seconds(2);
constexpr Duration kReloadPause = milliseconds(800);
constexpr Duration kLeavePause = seconds(3);

}  // namespace

SidecarFaults::SidecarFaults(PlatformMesh& mesh, Schedule& schedule, std::uint64_t seed)
    : mesh_(mesh), schedule_(schedule), random_(seed), sidecars_(mesh.sidecarCount()) {}

void SidecarFaults::begin(Duration time) {
  end_ = SteadyClock::now() + time;
  repeat(kStopsPause, [this] { stopInTurn(); });
  repeat(kKillPause, [this] { kill(pick()); });
  repeat(kKillAllPause, [this] { killAll(); });
  repeat(kSuspendPause, [this] { suspend(pick()); });
  repeat(kReloadPause, [this] { mesh_.signalSidecar(pick(), SIGHUP); });
  repeat(kLeavePause, [this] { leaveAndReturn(pick()); });
}

void SidecarFaults::repeat(Duration max_pause, const std::function<void()>& series) {
  schedule_.after(random_.uniform(Duration::zero(), max_pause), [this, max_pause, series] {
    if (SteadyClock::now() >= end_) return;
    series();
    repeat(max_pause, series);
  });
}

void SidecarFaults::check() {
  for (std::size_t sidecar = 0; sidecar < sidecars_.size(); ++sidecar) {
    const bool has_ended = sidecars_[sidecar].state == State::Running && !mesh_.runsSidecar(sidecar);
    if (!has_ended) continue;
    const auto end = mesh_.waitForSidecarEnd(sidecar, kNoticeTime);
    // Before main() no program can keep the signal from ending it, and nothing runs there yet.
    const bool had_not_begun = end.signal == SIGHUP;
    if (!had_not_begun)
      fail(sidecar, fmt::format("ended by itself, status {}, signal {}", end.exit_code, end.signal));
    sidecars_[sidecar].killed_at.push_back(SteadyClock::now());
    startAgain(sidecar, Duration::zero());
  }
}

bool SidecarFaults::wasKilled(std::size_t sidecar, TimePoint from, TimePoint to) const {
  const auto& killed_at = sidecars_.at(sidecar).killed_at;
  return std::any_of(killed_at.begin(), killed_at.end(),
                     [from, to](TimePoint time) { return from <= time && time <= to; });
}

/// Stops some sidecars one after the other, a later one often before the earlier one has ended.
void SidecarFaults::stopInTurn() {
  Duration delay{};
  const auto count = random_.uniform(std::uint64_t{1}, sidecars_.size());
  const auto first = pick();
  for (std::size_t i = 0; i < count; ++i) {
    schedule_.after(delay, [this, sidecar = (first + i) % sidecars_.size()] { stop(sidecar); });
    delay += random_.uniform(Duration::zero(), kMaxTimeBetweenStops);
  }
}

void SidecarFaults::stop(std::size_t sidecar) {
  auto& item = sidecars_.at(sidecar);
  if (item.state != State::Running) return;
  item.state = State::Stopping;
  item.stop_began = SteadyClock::now();
  mesh_.stopSidecar(sidecar);
  awaitEnd(sidecar);
}

void SidecarFaults::awaitEnd(std::size_t sidecar) {
  schedule_.after(kEndCheckInterval, [this, sidecar] {
    auto& item = sidecars_.at(sidecar);
    if (item.state != State::Stopping) return;
    const bool is_overdue = SteadyClock::now() > item.stop_began + kGraceTime + kNoticeTime;
    if (mesh_.runsSidecar(sidecar) && !is_overdue) {
      awaitEnd(sidecar);
      return;
    }
    if (is_overdue) {
      fail(sidecar, "does not end");
    } else {
      checkEnd(sidecar, mesh_.waitForSidecarEnd(sidecar, kNoticeTime));
    }
    startAgain(sidecar, random_.uniform(Duration::zero(), kMaxDownTime));
  });
}

void SidecarFaults::checkEnd(std::size_t sidecar, const rehearsal::ProcessEnd& end) {
  // A process that had no handler for the signal yet had not begun to listen either.
  const bool had_not_begun = end.signal == SIGTERM;
  if (!end.clean() && !had_not_begun) fail(sidecar, "did not end cleanly in a planned stop");
  if (end.clean()) ++planned_stops_;
}

/// Also one that is stopping.
void SidecarFaults::kill(std::size_t sidecar) {
  auto& item = sidecars_.at(sidecar);
  if (item.state == State::Down) return;
  item.killed_at.push_back(SteadyClock::now());
  mesh_.killSidecar(sidecar);
  ++kills_;
  startAgain(sidecar, random_.uniform(Duration::zero(), kMaxDownTime));
}

void SidecarFaults::killAll() {
  for (std::size_t sidecar = 0; sidecar < sidecars_.size(); ++sidecar) kill(sidecar);
}

void SidecarFaults::startAgain(std::size_t sidecar, Duration pause) {
  sidecars_.at(sidecar).state = State::Down;
  schedule_.after(pause, [this, sidecar] {
    mesh_.restartSidecar(sidecar);
    sidecars_.at(sidecar).state = State::Running;
  });
}

void SidecarFaults::suspend(std::size_t sidecar) {
  mesh_.signalSidecar(sidecar, SIGSTOP);
  schedule_.after(random_.uniform(Duration::zero(), kMaxSuspension),
                  [this, sidecar] { mesh_.signalSidecar(sidecar, SIGCONT); });
}

void SidecarFaults::leaveAndReturn(std::size_t target) {
  if (random_.uniform(0, 1) == 0) {
    mesh_.target(target).deregister();
  } else {
    mesh_.target(target).announceDraining();
  }
  schedule_.after(random_.uniform(Duration::zero(), kMaxAbsenceOfTarget),
                  [this, target] { mesh_.target(target).startAgain(); });
}

void SidecarFaults::fail(std::size_t sidecar, const std::string& what) {
  failures_.push_back(fmt::format("sidecar-{} {}", sidecar + 1, what));
}

}  // namespace cometstand::platform
