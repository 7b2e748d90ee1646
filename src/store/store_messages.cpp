#include "base/error.h"
#include "base/event_log.h"
#include "store/events.h"
#include "store/replies.h"
#include "store/store_replica.h"

/// Dispatches incoming messages to the components of a replica by the link on which they arrived, and checks
/// that the role of the peer permits the message.
namespace cometstand::store {

using runtime::LinkId;

namespace {

/// Approximate size of a claim in a log entry without its texts.
constexpr std::size_t kClaimBaseBytes = 512;

std::size_t estimateBytes(const wire::ClaimRequestT& /*request*/) { return kClaimBaseBytes; }

std::size_t estimateBytes(const wire::ClaimFinishT& finish) {
  return kClaimBaseBytes + (finish.answer == nullptr ? 0 : finish.answer->body.size());
}

}  // namespace

void StoreReplica::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (seed_formation_.owns(link)) {
    onSeedFormationMessage(link, message, now);
  } else if (replicas_.owns(link)) {
    onOutgoingLinkMessage(link, message, now);
  } else if (incoming_.contains(link)) {
    onIncomingMessage(link, message, now);
  }
  drain(now);
}

void StoreReplica::onOutgoingLinkMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (const auto* consensus_message = message.body.AsConsensusMessage()) {
    members_.onHeard(consensus_message->from, now);
    consensus_.onMessage(*consensus_message, now);
  } else if (const auto* release = message.body.AsVoteReleaseReply()) {
    vote_release_.onReply(*release, now);
  } else if (const auto* reply = message.body.AsCommandReply()) {
    forwarder_.onReply(link, message.request_id, *reply);
  } else if (const auto* formation = message.body.AsFormationReply()) {
    formation_.onReply(*formation, now);
  }
}

void StoreReplica::onSeedFormationMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (const auto* formation = message.body.AsFormationReply()) seed_formation_.onReply(link, *formation, now);
}

bool StoreReplica::requireRole(LinkId link, const char* role, const char* other_role) {
  const auto& peer = incoming_.at(link);
  if (peer.role.empty() || peer.role == role || peer.role == other_role) return true;
  logEvent(kUnexpectedPeer, {{"role", peer.role}, {"name", peer.name}, {"wanted", role}});
  actions_.close(link);
  return false;
}

void StoreReplica::onIncomingMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  const auto& body = message.body;
  if (const auto* consensus_message = body.AsConsensusMessage()) {
    if (requireRole(link, "store")) onConsensusMessage(link, *consensus_message, now);
  } else if (const auto* formation = body.AsFormationRequest()) {
    if (!requireRole(link, "store")) return;
    if (seed_formation_.enabled()) {
      seed_formation_.onRequest({link, message.request_id}, *formation, now);
    } else {
      formation_.onRequest({link, message.request_id});
    }
  } else if (const auto* release = body.AsVoteReleaseRequest()) {
    if (requireRole(link, "store") && seed_formation_.enabled())
      members_.onVoteReleaseRequest({link, message.request_id}, *release, now);
  } else if (const auto* request = body.AsCommandRequest()) {
    if (requireRole(link, "operator", "store")) onCommand(link, message.request_id, *request, now);
  } else if (const auto* report = body.AsRolloutReport()) {
    if (seed_formation_.enabled()) rollout_controller_.onReport(link, *report, now);
  } else if (const auto* crash = body.AsCrashReport()) {
    if (seed_formation_.enabled() && nodes_.nameOf(link)) quarantine_.onReport(link, *crash, now);
  } else if (const auto* clearance = body.AsContentClearance()) {
    if (seed_formation_.enabled() && nodes_.nameOf(link)) quarantine_.onClearance(*clearance, now);
  } else if (const auto* quota = body.AsQuotaRequest()) {
    if (seed_formation_.enabled() && nodes_.nameOf(link)) quotas_.onRequest(link, *quota, now);
  } else if (const auto* notice = body.AsLeaveNotice()) {
    const auto node = nodes_.nameOf(link);
    if (seed_formation_.enabled() && node) leave_notices_.onNotice(link, *node, *notice, now);
  } else if (body.AsLeaveNoticeQuery() != nullptr) {
    const auto node = nodes_.nameOf(link);
    if (seed_formation_.enabled() && node) leave_notices_.onQuery(link, *node, now);
  } else if (seed_formation_.enabled() && nodes_.onMessage(link, message, now)) {
    return;
  } else if (requireRole(link, "relay")) {
    onRelayMessage(link, message, now);
  }
}

void StoreReplica::onConsensusMessage(LinkId link, const wire::ConsensusMessageT& message, TimePoint now) {
  replicas_.onHeard(message.from, link);
  members_.onHeard(message.from, now);
  consensus_.onMessage(message, now);
}

void StoreReplica::onCommand(LinkId link, std::uint64_t request_id, const wire::CommandRequestT& request,
                             TimePoint now) {
  const auto& peer = incoming_.at(link);
  const bool is_other_tenant =
      peer.role == "operator" && !peer.tenant.empty() && peer.tenant != request.tenant;
  const bool is_forged_forward = request.forwarded && peer.role == "operator";
  if (is_other_tenant || is_forged_forward) {
    sendReply(context_, {link, request_id},
              notRunReply<wire::CommandReplyT>(Error(ErrorKind::Forbidden,
                                                     "the certificate does not allow the command's tenant",
                                                     "use the certificate of that tenant's operator")));
    return;
  }
  commands_.onCommand({link, request_id}, request, now);
}

void StoreReplica::onRelayMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  const auto& body = message.body;
  readers_.onHeard(link);
  if (const auto* request = body.AsFollowRequest()) {
    readers_.onFollowRequest(link, *request, now);
  } else if (const auto* claim = body.AsClaimRequest()) {
    onClaim(link, message.request_id, *claim, now);
  } else if (const auto* finish = body.AsClaimFinish()) {
    onClaim(link, message.request_id, *finish, now);
  } else if (body.AsFreshnessRequest() != nullptr) {
    readers_.onFreshnessRequest(link, message.request_id, now);
  } else if (const auto* report = body.AsInForceReport()) {
    readers_.onReport(link, *report);
    waits_.check();
  } else if (const auto* status = body.AsStatusReply()) {
    statuses_.onReply(link, message.request_id, *status);
  }
}

template <typename Claim>
void StoreReplica::onClaim(LinkId link, std::uint64_t request_id, const Claim& claim, TimePoint now) {
  if (stopping_ || !context_.isLeader() || !readers_.isReader(link)) {
    const auto kind = stopping_ ? ErrorKind::Stopping : ErrorKind::Unavailable;
    const Error error(kind, "this replica does not lead, or is about to stop",
                      "send the request again with the same key", options_.retry_after);
    actions_.send(link, notRunReply<wire::ClaimReplyT>(error), request_id);
    return;
  }
  wire::StoreCommandT command;
  command.body.Set(Claim(claim));
  writer_.add({link, request_id}, std::move(command), estimateBytes(claim), now);
}

}  // namespace cometstand::store
