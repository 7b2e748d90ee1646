#include "proxy/claim_messages.h"

#include <xxhash.h>

#include <memory>

namespace cometstand::proxy {
namespace {

/// Feeds the length before the bytes, so that no two different requests give the same sequence.
void update(XXH3_state_t& state, const std::string& text) {
  const std::uint64_t size = text.size();
  XXH3_128bits_update(&state, &size, sizeof(size));
  XXH3_128bits_update(&state, text.data(), text.size());
}

struct StateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

}  // namespace

wire::Digest requestDigest(const CallerRequest& request) {
  const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  update(*state, request.method);
  update(*state, request.host);
  update(*state, request.target);
  update(*state, request.body);
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {hash.low64, hash.high64};
}

wire::ClaimRequestT makeClaimRequest(const ResolvedRoute& route, const CallerRequest& request,
                                     const std::string& attempt) {
  wire::ClaimRequestT claim;
  claim.tenant = route.service.tenant;
  claim.key = request.idempotency_key;
  claim.request_digest = std::make_shared<wire::Digest>(requestDigest(request));
  claim.attempt = attempt;
  return claim;
}

wire::ClaimFinishT makeClaimFinish(const ResolvedRoute& route, const CallerRequest& request,
                                   const std::string& attempt, wire::ClaimEnd end,
                                   const BackendResponsePointer& answer, std::size_t max_answer_bytes) {
  wire::ClaimFinishT finish;
  finish.tenant = route.service.tenant;
  finish.key = request.idempotency_key;
  finish.attempt = attempt;
  finish.end = end;
  if (answer == nullptr || answer->body.size() > max_answer_bytes) return finish;
  finish.answer = std::make_shared<wire::RecordedAnswerT>();
  finish.answer->status = static_cast<std::uint16_t>(answer->status);
  finish.answer->content_type = findHeader(answer->headers, "Content-Type").value_or("");
  finish.answer->body.assign(answer->body.begin(), answer->body.end());
  return finish;
}

}  // namespace cometstand::proxy
