#include "rehearsal/bench/claims_in_memory.h"

#include <boost/asio/post.hpp>

namespace cometstand::rehearsal {

void ClaimsInMemory::takeClaim(proxy::RequestId request, const wire::ClaimRequestT& claim) {
  const auto [position, taken] = states_.try_emplace(claim.key, wire::ClaimState::InProgress);
  wire::ClaimReplyT reply;
  reply.state = taken ? wire::ClaimState::Granted : position->second;
  reply.answer = answers_[claim.key];
  boost::asio::post(io_, [this, request, reply] { server_->onClaimReply(request, reply); });
}

void ClaimsInMemory::finishClaim(const wire::ClaimFinishT& finish) {
  answers_[finish.key] = finish.answer;
  if (finish.end == wire::ClaimEnd::Released) states_.erase(finish.key);
  if (finish.end == wire::ClaimEnd::Completed) states_[finish.key] = wire::ClaimState::Completed;
  if (finish.end == wire::ClaimEnd::Unknown) states_[finish.key] = wire::ClaimState::Unknown;
}

}  // namespace cometstand::rehearsal
