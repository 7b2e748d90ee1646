#include <utility>

#include "sidecar/outbound_calls.h"

/// Regions in which callers' requests may be served, and the accounting of transfers between regions.
namespace cometstand::sidecar {
namespace {

/// Transfers with more bytes are no samples of the round-trip time, because their duration depends on the
/// bandwidth of the hosts' own links.
constexpr std::size_t kMaxRoundTripSampleBytes = 4 * 1024;

}  // namespace

using runtime::Address;

std::vector<std::string> OutboundCalls::newerRegionsOf(const CallState& call) const {
  if (table_->revision() == call.revision) return {};
  const auto newest = table_->find(call.route->host, call.request->target);
  return newest == nullptr ? std::vector<std::string>() : newest->regions;
}

/// The receiving sidecar may have a newer configuration and have to refuse requests that cross regions or
/// that are restricted to some of them, so it needs the route's name.
std::string OutboundCalls::routeNameFor(const CallState& call, const Endpoint& endpoint) const {
  const bool crosses_regions =
      parts_.endpoints.regionLinks().distanceOf(endpoint) == mesh::ZoneDistance::OtherRegion;
  const bool is_needed = crosses_regions || !call.route->regions.empty() ||
                         parts_.rollouts.running(call.request->service) != nullptr;
  return is_needed ? call.route->name : std::string();
}

Duration OutboundCalls::crossRegionRoundTrip(const Endpoint* endpoint, TimePoint now) const {
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
  transfer.actual_bytes = sent + call.streamed_bytes + reply.body.size();
  if (transfer.actual_bytes <= kMaxRoundTripSampleBytes) {
    transfer.round_trip = now - call.sent_at - std::chrono::milliseconds(reply.at_endpoint_ms);
  }
  parts_.endpoints.regionLinks().onEnded(endpoint, transfer, now);
}

void OutboundCalls::abortUpload(CallId id, CallState& call, TimePoint now) {
  cancelAttempt(call, now);
  onRefused(id, call, incompleteUploadReply(), now);
}

}  // namespace cometstand::sidecar
