#include "broken_responses/faulty_targets.h"

#include <fmt/format.h>

#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

#include "base/error.h"
#include "platform/names.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {

using rehearsal::Pause;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptedServer;
using rehearsal::SendBytes;

namespace {

constexpr unsigned kOk = 200;
constexpr const char* kConfiguration = R"({"version":"r1",
  "routes":{"all":{"host":"shop.example","path_prefix":"/","kind":"safe","timeout_s":8,"aim_s":1,
                   "priority":1,"service":"shop","max_attempts":2},
            "upload":{"host":"shop.example","path_prefix":"/upload/","kind":"unsafe","timeout_s":8,"aim_s":1,
                      "priority":1,"service":"shop","max_attempts":2}},
  "services":{"shop":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";

std::string textOf(web::Response response) {
  response.prepare_payload();
  std::ostringstream text;
  text << response;
  return text.str();
}

}  // namespace

std::string sealOf(const std::string& request_id) { return "seal-of-" + request_id; }

std::string openResponseHead(const std::string& status_line, const std::string& request_id) {
  return fmt::format("{}\r\n{}: {}\r\n{}: {}\r\n", status_line, kRequestId, request_id, kSeal,
                     sealOf(request_id));
}

FaultyTargets::FaultyTargets(PlatformMesh& mesh) : mesh_(mesh), targets_(mesh.sidecarCount()) {
  for (std::size_t target = 0; target < mesh.sidecarCount(); ++target) {
    servers_.emplace_back(
        mesh.targetEndpoint(target),
        [this, target](const ScriptedServer::RequestHead& head) { return respond(target, head); });
  }
}

void FaultyTargets::answerBy(const std::string& path, const ScriptMaker& script) {
  for (std::size_t target = 0; target < targets_.size(); ++target) answerBy(target, path, script);
}

void FaultyTargets::answerBy(std::size_t target, const std::string& path, ScriptMaker script) {
  const std::scoped_lock lock(mutex_);
  targets_.at(target).scripts[path] = std::move(script);
}

void FaultyTargets::disturb(std::size_t target, ScriptMaker script, std::size_t one_of) {
  const std::scoped_lock lock(mutex_);
  targets_.at(target).disturbance = std::move(script);
  targets_.at(target).one_of = one_of;
}

void FaultyTargets::calm(std::size_t target) {
  const std::scoped_lock lock(mutex_);
  targets_.at(target).disturbance = nullptr;
}

std::size_t FaultyTargets::arrivals(const std::string& path) const {
  const std::scoped_lock lock(mutex_);
  const auto found = arrivals_.find(path);
  return found == arrivals_.end() ? 0 : found->second;
}

ScriptMaker FaultyTargets::findScript(std::size_t target, const std::string& path) {
  const std::scoped_lock lock(mutex_);
  auto& state = targets_.at(target);
  ++arrivals_[path];
  const auto script = state.scripts.find(path);
  if (script != state.scripts.end()) return script->second;
  return ++state.requests % state.one_of == 0 ? state.disturbance : nullptr;
}

ResponseScript FaultyTargets::respond(std::size_t target, const ScriptedServer::RequestHead& head) {
  const std::string path(head.target());
  const std::string id(head[kRequestId]);
  // The stand-in notes the request in any case.
  auto response = mesh_.target(target).respondTo(head);
  if (const auto script = findScript(target, path)) return script(id);
  response.set(kSeal, sealOf(id));
  const Duration work_time = path == kHealthPath ? Duration::zero() : mesh_.target(target).workTime();
  return {{ReadBody{}, Pause{work_time}, SendBytes{textOf(std::move(response))}}};
}

void serveFaultyTargets(PlatformMesh& mesh) {
  if (mesh.order({"POST", "", kConfigPutPath, kConfiguration, {{kBaseVersion, "0"}}}) != kOk)
    throw Error(ErrorKind::Invalid, "the stores refused the configuration", "read their logs");
  for (std::size_t target = 0; target < mesh.sidecarCount(); ++target) {
    mesh.target(target).waitForHeartbeat();
    mesh.waitForReadiness(target);
    rehearsal::waitUntil("the zone's target gets requests", [&] {
      mesh.call(target);
      return !mesh.target(target).arrivals().empty();
    });
  }
}

}  // namespace cometstand::platform
