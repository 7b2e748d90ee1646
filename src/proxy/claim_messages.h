#pragma once

#include <string>

#include "proxy/http_message.h"
#include "proxy/router.h"
#include "schema/control_generated.h"

namespace cometstand::proxy {

/// @return the digest of what the caller asks for: method, host, target and body. Two requests under one
/// idempotency key must agree in it.
wire::Digest requestDigest(const CallerRequest& request);

/// @param attempt identifies this request at this proxy; its own resend is granted the claim again.
wire::ClaimRequestT makeClaimRequest(const ResolvedRoute& route, const CallerRequest& request,
                                     const std::string& attempt);

/// @param answer the answer to record; null, or larger than the limit, for none.
wire::ClaimFinishT makeClaimFinish(const ResolvedRoute& route, const CallerRequest& request,
                                   const std::string& attempt, wire::ClaimEnd end,
                                   const BackendResponsePointer& answer, std::size_t max_answer_bytes);

}  // namespace cometstand::proxy
