#include "rehearsal/bench/deployment.h"

#include "base/error.h"

namespace cometstand::rehearsal {
namespace {

using std::chrono::milliseconds;
using wire::RequestClass;

RequestKind readKind(const std::string& name, double weight, Duration deadline) {
  RequestKind kind;
  kind.name = name;
  kind.path = "/" + name;
  kind.weight = weight;
  kind.deadline = deadline;
  return kind;
}

/// A request that may not be repeated, under an idempotency key.
RequestKind keyedKind(const std::string& name, double weight, Duration deadline) {
  auto kind = readKind(name, weight, deadline);
  kind.method = "POST";
  kind.repeatable = false;
  kind.keyed = true;
  return kind;
}

Deployment krakow() {
  Deployment deployment;
  deployment.name = "krakow";
  deployment.service = "editor-desk";
  deployment.targets = 7;
  deployment.workload.kinds = {readKind("preview", 8, milliseconds(250)),
                               keyedKind("commit", 1, milliseconds(500)),
                               readKind("subtitle", 1, milliseconds(1000))};
  deployment.classes = {{"preview", RequestClass::Interactive},
                        {"commit", RequestClass::Commit},
                        {"subtitle", RequestClass::Leisure}};
  return deployment;
}

Deployment astana() {
  Deployment deployment;
  deployment.name = "astana";
  deployment.service = "registry";
  deployment.targets = 7;
  deployment.workload.kinds = {readKind("search", 8, milliseconds(400)),
                               keyedKind("certify", 1, milliseconds(800)),
                               readKind("recording", 1, milliseconds(1500))};
  deployment.classes = {{"search", RequestClass::Interactive},
                        {"certify", RequestClass::Commit},
                        {"recording", RequestClass::Bulk}};
  return deployment;
}

}  // namespace

double Deployment::capacity() const {
  const auto mean = std::chrono::duration<double>(service_time.mean).count();
  return static_cast<double>(targets * slots) / mean;
}

Deployment deploymentByName(const std::string& name) {
  auto deployment = name == "krakow" ? krakow() : astana();
  if (name != deployment.name) {
    throw Error(ErrorKind::Invalid, "no deployment is named '" + name + "'", "name krakow or astana");
  }
  // The shape and the mean are the benchmark's own: the brief gives none.
  deployment.service_time = {ServiceTimeShape::LogNormal, milliseconds(20), 0.8};
  return deployment;
}

}  // namespace cometstand::rehearsal
