#include "rehearsal/fleet/deployment.h"

#include <fmt/format.h>

#include "base/error.h"

namespace cometstand::rehearsal {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kKibibyte = 1024;

/// How callers use one route.
struct Usage {
  const char* request_class;
  const char* method;
  double weight;
  Duration deadline;
  bool repeatable;
  bool keyed;
  std::uint64_t request_bytes;
  std::uint64_t answer_bytes;
};

// Fields: class, method, weight, deadline, repeatable, keyed, request bytes, answer bytes.
constexpr Usage kLookUp{"interactive", "GET", 8, seconds(2), true, false, 0, 2 * kKibibyte};
constexpr Usage kPreview{"interactive", "GET", 4, seconds(2), true, false, 0, 32 * kKibibyte};
constexpr Usage kOnceOnly{"commit", "POST", 2, seconds(4), false, true, kKibibyte, 200};
constexpr Usage kUpload{"bulk", "POST", 1, seconds(8), true, false, 64 * kKibibyte, 200};
constexpr Usage kDownload{"leisure", "GET", 2, seconds(8), true, false, 0, 128 * kKibibyte};

void addRoute(Deployment& deployment, const std::string& name, const std::string& service, const Usage& usage,
              const std::string& secret = "") {
  PlannedRoute route;
  route.name = name;
  route.service = service;
  route.secret = secret;
  route.request_class = usage.request_class;
  route.requests.name = name;
  route.requests.method = usage.method;
  route.requests.host = deployment.host;
  route.requests.path = "/" + name;
  route.requests.weight = usage.weight;
  route.requests.deadline = usage.deadline;
  route.requests.repeatable = usage.repeatable;
  route.requests.keyed = usage.keyed;
  route.requests.request_bytes = usage.request_bytes;
  route.requests.answer_bytes = usage.answer_bytes;
  deployment.routes.push_back(std::move(route));
}

}  // namespace

Deployment krakowDeployment() {
  Deployment krakow;
  krakow.name = "krakow";
  krakow.tenant = "wspolnota";
  krakow.region = "malopolska";
  krakow.host = "napisy.example";
  krakow.zones = {"krk-a", "krk-b", "krk-c", "krk-d"};
  krakow.services = {{"editor-desk", 7}, {"render-vault", 5}};
  krakow.secret_name = "studio-key";
  krakow.secret_value = "krakow-studio-secret-7f1c";
  krakow.batch_window = milliseconds(20);
  addRoute(krakow, "cues", "editor-desk", kLookUp);
  addRoute(krakow, "glyphs", "editor-desk", kLookUp);
  addRoute(krakow, "commits", "editor-desk", kOnceOnly);
  addRoute(krakow, "invoices", "editor-desk", kOnceOnly);
  addRoute(krakow, "previews", "render-vault", kPreview);
  addRoute(krakow, "masters", "render-vault", kUpload, krakow.secret_name);
  addRoute(krakow, "tracks", "render-vault", kDownload);
  return krakow;
}

Deployment astanaDeployment() {
  Deployment astana;
  astana.name = "astana";
  astana.tenant = "minutes";
  astana.region = "akmola";
  astana.host = "minutes.example";
  astana.zones = {"esil-a", "esil-b", "saryarka-a", "saryarka-b"};
  astana.services = {{"registry", 7}, {"archive", 5}};
  astana.secret_name = "registry-key";
  astana.secret_value = "astana-registry-secret-93be";
  astana.probe_cost = milliseconds(6);
  astana.batch_window = milliseconds(200);
  addRoute(astana, "search", "registry", kLookUp);
  addRoute(astana, "transcripts", "registry", kPreview);
  addRoute(astana, "certifications", "registry", kOnceOnly, astana.secret_name);
  addRoute(astana, "recordings", "archive", kUpload);
  addRoute(astana, "minutes", "archive", kDownload);
  return astana;
}

Deployment deploymentByName(const std::string& name) {
  if (name == "krakow") return krakowDeployment();
  if (name == "astana") return astanaDeployment();
  throw Error(ErrorKind::Invalid, fmt::format("there is no deployment '{}'", name),
              "choose krakow or astana");
}

Workload workloadOf(const Deployment& deployment) {
  Workload workload;
  for (const auto& route : deployment.routes) workload.kinds.push_back(route.requests);
  return workload;
}

Workload keyedWorkloadOf(const Deployment& deployment) {
  Workload workload = workloadOf(deployment);
  std::erase_if(workload.kinds, [](const RequestKind& kind) { return !kind.keyed; });
  return workload;
}

}  // namespace cometstand::rehearsal
