#pragma once

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "broken_responses/faulty_targets.h"
#include "broken_responses/raw_caller.h"

namespace cometstand::platform {

/// What targets send in place of a proper response, and to which request.
struct ResponseForm {
  std::string name;
  ScriptMaker script;
  RawRequest request = {};
};

/// Of respondWith(), when the response is proper.
inline const std::string kOkLine = "HTTP/1.1 200 OK";
inline const std::string kServedBody = "served";
/// The end of a head, with a length, and that body.
inline const std::string kServedRest = "Content-Length: 6\r\n\r\nserved";

/// @return an upload that no buffer holds: it is still written when an early response comes.
RawRequest largeUpload();

/// @return a script that reads the request and sends the status line, the request's id, a seal, and `rest`.
ScriptMaker respondWith(const std::string& status_line, const std::string& rest,
                        rehearsal::ScriptEnd end = rehearsal::ScriptEnd::Keep);
/// @return a script that reads the request and sends the bytes; "{id}" in them stands for the request's id.
ScriptMaker respondRaw(const std::string& bytes, rehearsal::ScriptEnd end = rehearsal::ScriptEnd::Keep);

/// Two sidecars with targets that answer by scripts.
class FaultyMesh {
 public:
  explicit FaultyMesh(std::size_t sidecars = PlatformMesh::kZones);

  PlatformMesh& mesh() { return mesh_; }
  FaultyTargets& targets() { return targets_; }

  /// Lets all targets answer by the form, and asks the first sidecar.
  std::optional<RawCaller::Response> ask(const ResponseForm& form);
  /// The same. Checks, by Catch, that the caller gets a failure of the sidecar and nothing of the target's,
  /// and that its connection goes on.
  void checkRejected(const ResponseForm& form);
  /// The same. Checks, by Catch, that the caller gets this response of the target.
  void checkServed(const ResponseForm& form, unsigned status, const std::string& body);

 private:
  std::string nextPath(const RawRequest& request);

  PlatformMesh mesh_;
  FaultyTargets targets_;
  std::size_t asked_ = 0;
};

}  // namespace cometstand::platform
