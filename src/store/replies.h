#pragma once

#include <string>
#include <utility>

#include "runtime/error_info.h"

/// Construction of reply messages for failed requests.
namespace cometstand::store {

/// @return a CommandReply or ClaimReply with this outcome and error and no other content.
template <typename Reply>
Reply failedReply(wire::Outcome outcome, const Error& error) {
  Reply reply;
  reply.outcome = outcome;
  reply.error = runtime::errorInfo(error);
  return reply;
}

template <typename Reply>
Reply notRunReply(const Error& error) {
  return failedReply<Reply>(wire::Outcome::NotRun, error);
}

template <typename Reply>
Reply unknownOutcomeReply(const Error& error) {
  return failedReply<Reply>(wire::Outcome::Unknown, error);
}

}  // namespace cometstand::store
