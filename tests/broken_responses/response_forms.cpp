#include "broken_responses/response_forms.h"

#include <fmt/format.h>

#include <boost/algorithm/string/replace.hpp>
#include <utility>

namespace cometstand::platform {

using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptEnd;
using rehearsal::SendBytes;

namespace {

constexpr std::size_t kUploadBytes = 8 * 1024 * 1024;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

RawRequest largeUpload() {
  RawRequest request;
  request.path = kUploadPath;
  request.method = "POST";
  request.body_bytes = kUploadBytes;
  return request;
}

ScriptMaker respondWith(const std::string& status_line, const std::string& rest, ScriptEnd end) {
  return [status_line, rest, end](const std::string& id) {
    return ResponseScript{{ReadBody{}, SendBytes{openResponseHead(status_line, id) + rest}}, end};
  };
}

ScriptMaker respondRaw(const std::string& bytes, ScriptEnd end) {
  return [bytes, end](const std::string& id) {
    return ResponseScript{{ReadBody{}, SendBytes{boost::algorithm::replace_all_copy(bytes, "{id}", id)}},
                          end};
  };
}

FaultyMesh::FaultyMesh(std::size_t sidecars)
    : mesh_(sidecars, Duration::zero(), PlatformMesh::kSidecarMemoryMb, TargetAnswers::Test),
      targets_(mesh_) {
  serveFaultyTargets(mesh_);
}

/// Requests that may run at most once keep their path's beginning.
std::string FaultyMesh::nextPath(const RawRequest& request) {
  const std::string prefix = request.path == kUploadPath ? kUploadPath : "/";
  return fmt::format("{}form-{}", prefix, ++asked_);
}

std::optional<RawCaller::Response> FaultyMesh::ask(const ResponseForm& form) {
  RawRequest request = form.request;
  request.path = nextPath(request);
  targets_.answerBy(request.path, form.script);
  RawCaller caller(mesh_.callerEndpoint(0), fmt::format("caller-{}", asked_));
  auto response = caller.ask(request);
  INFO(form.name);
  CHECK(caller.isStillServed());
  return response;
}

void FaultyMesh::checkRejected(const ResponseForm& form) {
  const auto response = ask(form);
  INFO(form.name);
  CHECK(response.has_value());
  if (!response) return;
  const unsigned status = response->result_int();
  INFO("status " << status << ", a body of " << response->body().size() << " bytes");
  CHECK((status == kBadGateway || status == kGatewayTimeout));
  CHECK(response->count(kSeal) == 0);
}

void FaultyMesh::checkServed(const ResponseForm& form, unsigned status, const std::string& body) {
  const auto response = ask(form);
  INFO(form.name);
  CHECK(response.has_value());
  if (!response) return;
  CHECK(response->result_int() == status);
  CHECK(response->count(kSeal) == 1);
  CHECK(response->body() == body);
}

}  // namespace cometstand::platform
