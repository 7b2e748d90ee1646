#include <utility>

#include "sidecar/outbound_calls.h"

/// What regions mean for callers' requests: where they may be served, and what the way there takes.
namespace cometstand::sidecar {
namespace {

/// With larger bodies the time of a transfer says how wide the machines' own links are.
constexpr std::size_t kMostMeasuredBytes = 4 * 1024;

}  // namespace

using runtime::Address;

std::vector<std::string> OutboundCalls::newerRegionsOf(const CallState& call) const {
  if (table_->revision() == call.revision) return {};
  const auto newest = table_->find(call.route->host, call.request->target);
  return newest == nullptr ? std::vector<std::string>() : newest->regions;
}

/// A gate that has a newer configuration than this sidecar may have to refuse what crosses regions, or what
/// is kept to some.
std::string OutboundCalls::routeNameFor(const CallState& call, const Endpoint& endpoint) const {
  const bool crosses_regions =
      parts_.endpoints.regionLinks().distanceOf(endpoint) == mesh::ZoneDistance::OtherRegion;
  const bool is_needed = crosses_regions || !call.route->regions.empty() ||
                         parts_.rollouts.running(call.request->service) != nullptr;
  return is_needed ? call.route->name : std::string();
}

Duration OutboundCalls::wayTo(const Endpoint* endpoint, TimePoint now) const {
  const auto& links = parts_.endpoints.regionLinks();
  const bool is_far = endpoint != nullptr && links.distanceOf(*endpoint) == mesh::ZoneDistance::OtherRegion;
  return is_far ? links.roundTrip(*endpoint, now) : Duration::zero();
}

void OutboundCalls::noteTransfer(const CallState& call, const Endpoint& endpoint,
                                 const wire::ForwardReplyT& reply, TimePoint now) {
  if (endpoint.address == parts_.options.advertise) return;
  const std::size_t sent = call.announced ? call.body_sent : call.request->body.size();
  Transfer transfer;
  transfer.expected_bytes = call.expected_bytes;
  transfer.actual_bytes = sent + call.passed_bytes + reply.body.size();
  if (transfer.actual_bytes <= kMostMeasuredBytes) {
    transfer.round_trip = now - call.sent_at - std::chrono::milliseconds(reply.at_endpoint_ms);
  }
  parts_.endpoints.regionLinks().onEnded(endpoint, transfer, now);
}

void OutboundCalls::withdrawBody(CallId id, CallState& call, TimePoint now) {
  recall(call, now);
  onRefused(id, call, lostBeforeWhole(), now);
}

}  // namespace cometstand::sidecar
