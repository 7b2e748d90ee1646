// Requests that come late in a planned stop of a sidecar, by the platform's programs as real processes.
#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "base/event_log.h"
#include "base/random.h"
#include "broken_responses/response_forms.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

using rehearsal::Pause;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::SendBytes;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kOk = 200;
constexpr std::size_t kCallers = 48;
constexpr Duration kCallerPatience = seconds(8);
constexpr Duration kReconnectPause = milliseconds(20);
/// The platform's grace time, of which these settings are the default.
constexpr Duration kGrace = seconds(6);

ScriptMaker respondAfter(Duration work) {
  return [work](const std::string& id) {
    return ResponseScript{
        {ReadBody{}, Pause{work},
         SendBytes{openResponseHead("HTTP/1.1 200 OK", id) + "Content-Length: 4\r\n\r\ndone"}}};
  };
}

/// How long targets work on a request.
struct WorkTimes {
  Duration shortest;
  Duration longest;
};

constexpr WorkTimes kQuickWork{milliseconds(5), milliseconds(50)};
constexpr WorkTimes kMixedWork{milliseconds(200), milliseconds(2'900)};
constexpr WorkTimes kSlowWork{milliseconds(2'000), milliseconds(2'900)};

/// Callers of one sidecar whose requests may not be repeated. They go on until the sidecar's process is gone:
/// half of them keep their connections, the others open one for each request.
class LateCallers {
 public:
  LateCallers(FaultyMesh& mesh, std::uint64_t seed, WorkTimes work) : mesh_(mesh), work_(work) {
    for (std::size_t caller = 0; caller < kCallers; ++caller)
      threads_.emplace_back([this, caller, seed] { run(caller, seed); });
  }

  /// Waits until each caller's last request has ended.
  void stop() {
    stopping_ = true;
    for (auto& thread : threads_) thread.join();
    threads_.clear();
  }

  /// From now on targets work so long on new requests.
  void setWork(WorkTimes work) {
    const std::scoped_lock lock(mutex_);
    work_ = work;
  }

  std::size_t served() const { return served_; }
  std::size_t refused() const { return refused_; }
  /// @return the paths of the requests on whose connections no response came.
  std::vector<std::string> unanswered() const {
    const std::scoped_lock lock(mutex_);
    return unanswered_;
  }

 private:
  void run(std::size_t caller, std::uint64_t seed) {
    RandomSource random(seed * kCallers + caller);
    std::unique_ptr<RawCaller> connection;
    const bool keeps = caller % 2 == 0;
    for (std::size_t number = 0; !stopping_; ++number) {
      RawRequest request;
      request.path = fmt::format("{}late-{}-{}", kUploadPath, caller, number);
      request.method = "POST";
      request.deadline = kCallerPatience;
      mesh_.targets().answerBy(request.path, respondAfter(drawWork(random)));
      try {
        if (connection == nullptr)
          connection = std::make_unique<RawCaller>(mesh_.mesh().callerEndpoint(0), request.path.substr(1));
        note(request.path, connection->ask(request), connection);
      } catch (const boost::system::system_error&) {
        rehearsal::pauseFor(kReconnectPause);
      }
      if (!keeps) connection.reset();
    }
  }

  Duration drawWork(RandomSource& random) const {
    const std::scoped_lock lock(mutex_);
    return random.uniform(work_.shortest, work_.longest);
  }

  void note(const std::string& path, const std::optional<RawCaller::Response>& response,
            std::unique_ptr<RawCaller>& connection) {
    if (!response) {
      connection.reset();
      const std::scoped_lock lock(mutex_);
      unanswered_.push_back(path);
      return;
    }
    if (response->result_int() == kOk) {
      ++served_;
    } else {
      ++refused_;
      rehearsal::pauseFor(kReconnectPause);
    }
    if (!response->keep_alive()) connection.reset();
  }

  FaultyMesh& mesh_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> served_ = 0;
  std::atomic<std::size_t> refused_ = 0;
  mutable std::mutex mutex_;
  WorkTimes work_;
  std::vector<std::string> unanswered_;
  std::vector<std::thread> threads_;
};

/// Stops the first sidecar beside its callers, and checks that no request was passed on and cut.
/// @param before how long targets work before the stop.
/// @param meanwhile the same from its beginning on.
void checkStop(std::uint64_t seed, WorkTimes before, WorkTimes meanwhile) {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh(3);
  LateCallers callers(mesh, seed, before);
  rehearsal::pauseFor(seconds(1));
  callers.setWork(meanwhile);
  mesh.mesh().stopSidecar(0);
  const auto end = mesh.mesh().waitForSidecarEnd(0, kGrace);
  callers.stop();
  const auto unanswered = callers.unanswered();
  fmt::print("served {}, refused {}, unanswered {}\n", callers.served(), callers.refused(),
             unanswered.size());
  CHECK(end.clean());
  CHECK(callers.served() > 0);
  for (const auto& path : unanswered) {
    INFO(path);
    CHECK(mesh.targets().arrivals(path) == 0);
  }
}

}  // namespace

// Guards against requests that are taken late in a planned stop, run at a target, and are cut at its end.
TEST_CASE("what a sidecar passes on late in its planned stop is answered", "[stop][processes]") {
  checkStop(1, kMixedWork, kMixedWork);
}

// Guards against a stop that takes the run times before it for those of its last requests.
TEST_CASE("what a sidecar passes on late in its planned stop is answered by targets that have become slow",
          "[stop][processes]") {
  checkStop(2, kQuickWork, kSlowWork);
}

}  // namespace cometstand::platform
