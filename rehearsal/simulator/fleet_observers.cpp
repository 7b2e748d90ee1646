// The part of Fleet that tells the checkers what left a process or reached a back end.
#include "rehearsal/simulator/fleet.h"

namespace cometstand::simulator {
namespace {

checkers::ObservedView observe(const std::string& node, const view::View& view) {
  checkers::ObservedView observed;
  observed.node = node;
  observed.version = view.version();
  observed.objects.reserve(view.objects().size());
  for (const auto& [id, change] : view.objects()) observed.objects.emplace_back(change, change->object.get());
  return observed;
}

}  // namespace

void Fleet::onSent(HostId from, HostId to, ConnectionId connection, const wire::EnvelopeT& message) {
  const auto& sender = network_.nameOf(from);
  if (!sender.starts_with("store-")) return;
  if (const auto* reply = message.body.AsCommandReply()) {
    if (reply->outcome == wire::Outcome::Completed) {
      checkers_.convergence.onAccepted(reply->version, queue_.now());
    }
    return;
  }
  const bool feeds = message.body.AsConfigurationDelta() != nullptr ||
                     message.body.AsConfigurationSnapshot() != nullptr ||
                     message.body.AsQuorumBeat() != nullptr;
  if (!feeds) return;
  checkers_.readers.onFed(sender, network_.zoneOf(to), static_cast<std::uint64_t>(connection), queue_.now());
}

void Fleet::onViewInForce(const std::string& node, const view::View& view) {
  const auto observed = observe(node, view);
  checkers_.version_order.onView(node, view.version(), queue_.now());
  checkers_.references.onView(observed, queue_.now());
  checkers_.same_view.onView(observed, queue_.now());
  network_.mixDigest(view.version());
}

void Fleet::onAsOf(const std::string& node, const view::View& view, std::uint64_t as_of) {
  checkers_.convergence.onInForce(node, as_of, queue_.now());
  checkers_.changes.onView(observe(node, view), as_of, queue_.now());
}

void Fleet::onWorkArrived(const std::string& backend, const std::string& from,
                          const proxy::CallerRequest& request) {
  const auto id = proxy::findHeader(request.headers, "X-Request-Id").value_or("");
  // The HTTP side of a proxy is a host of its own.
  checkers_.leaving.onWorkArrived(backend, std::string(id), from.substr(0, from.find('/')), queue_.now());
}

void Fleet::onWorkBegun(const std::string& /*backend*/, const HttpRequest& request) {
  const auto& message = *request.message;
  const auto id = proxy::findHeader(message.headers, "X-Request-Id").value_or("");
  checkers_.requests.onRun(std::string(id), deployment_.tenant, message.idempotency_key, queue_.now());
}

void Fleet::onProcessEnded(const std::string& name, const std::string& reason) {
  checkers_.readers.onEnded(name);
  if (machines_.at(name).role == "proxy") checkers_.convergence.onDown(name);
  if (!reason.empty()) checkers_.log.add("process", queue_.now(), name + " failed: " + reason);
}

void Fleet::checkInvariants() {
  for (const auto& name : names("store")) {
    const auto* core = dynamic_cast<const store::StoreCore*>(machines_.at(name).process->core());
    if (core == nullptr) continue;
    try {
      core->checkInvariants();
    } catch (const std::exception& error) {
      checkers_.log.add("store_invariants", queue_.now(), name + ": " + error.what());
    }
  }
}

}  // namespace cometstand::simulator
