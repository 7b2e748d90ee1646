#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "platform_processes/platform_mesh.h"
#include "rehearsal/standin/scripted_server.h"

namespace cometstand::platform {

/// Path below which requests may run at most once. All other paths may be repeated.
inline constexpr const char* kUploadPath = "/upload/";
/// The field by which a caller knows that a response is the target's.
inline constexpr const char* kSeal = "Server-Seal";

/// @return the response to the request of this id.
using ScriptMaker = std::function<rehearsal::ResponseScript(const std::string& request_id)>;

/// The targets of all sidecars of a mesh. They answer as the mesh's stand-ins would, but for what is to be
/// answered by a script.
class FaultyTargets {
 public:
  /// @param mesh must leave the answers to the test.
  explicit FaultyTargets(PlatformMesh& mesh);

  /// From now on the targets answer the path by the script.
  void answerBy(const std::string& path, const ScriptMaker& script);
  /// The same for one target.
  void answerBy(std::size_t target, const std::string& path, ScriptMaker script);
  /// From now on the target answers one of so many requests by the script, whatever their path.
  void disturb(std::size_t target, ScriptMaker script, std::size_t one_of);
  /// Ends what disturb() began.
  void calm(std::size_t target);

  /// @return the number of requests for the path that the targets got.
  std::size_t arrivals(const std::string& path) const;

 private:
  rehearsal::ResponseScript respond(std::size_t target, const rehearsal::ScriptedServer::RequestHead& head);
  /// @return the script for the request; none if it is to be answered properly.
  ScriptMaker findScript(std::size_t target, const std::string& path);

  struct Target {
    std::map<std::string, ScriptMaker> scripts;
    ScriptMaker disturbance;
    std::size_t one_of = 1;
    std::size_t requests = 0;
  };

  PlatformMesh& mesh_;
  mutable std::mutex mutex_;
  std::deque<Target> targets_;
  std::map<std::string, std::size_t> arrivals_;
  std::deque<rehearsal::ScriptedServer> servers_;
};

/// @return the seal of the target's response to the request.
std::string sealOf(const std::string& request_id);

/// @return the head of a response with the request's id and a seal, without its end.
std::string openResponseHead(const std::string& status_line, const std::string& request_id);

/// Configures routes to all targets, whose requests may be repeated but for those below kUploadPath, and
/// waits until each target gets requests.
void serveFaultyTargets(PlatformMesh& mesh);

}  // namespace cometstand::platform
