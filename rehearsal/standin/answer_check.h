#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "rehearsal/standin/caller_report.h"
#include "rehearsal/standin/workload.h"

namespace cometstand::rehearsal {

/// What an answer says about its request.
struct AnswerVerdict {
  CallOutcome outcome = CallOutcome::Unknown;
  std::string reason;
  /// When to come back, if the answer says so.
  std::optional<Duration> retry_after;
};

/// Reads an answer of a proxy (header X-Outcome) or of a back end itself (header X-Not-Run, or status 200),
/// and compares a completed answer with answerBody().
AnswerVerdict checkAnswer(const RequestKind& kind, const std::string& request_id,
                          const boost::beast::http::response<boost::beast::http::string_body>& answer);

}  // namespace cometstand::rehearsal
