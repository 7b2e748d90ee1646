#include "rehearsal/standin/answer_check.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

#include "rehearsal/standin/answer_body.h"

namespace cometstand::rehearsal {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

using Answer = http::response<http::string_body>;

std::string headerText(const Answer& answer, const char* name) {
  const auto found = answer.find(name);
  return found == answer.end() ? std::string() : std::string(found->value());
}

std::optional<Duration> retryAfter(const Answer& answer) {
  const std::string text = headerText(answer, "X-Retry-After-Ms");
  std::int64_t milliseconds = 0;
  const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (failure != std::errc() || text.empty()) return std::nullopt;
  return std::chrono::milliseconds(milliseconds);
}

/// @return the member "kind" of a refusal's JSON body, or the status if there is none.
std::string refusalKind(const Answer& answer) {
  boost::system::error_code error;
  const json::value body = json::parse(answer.body(), error);
  if (!error && body.is_object()) {
    const auto* kind = body.get_object().if_contains("kind");
    if (kind != nullptr && kind->is_string()) return json::value_to<std::string>(*kind);
  }
  return fmt::format("status_{}", answer.result_int());
}

AnswerVerdict checkCompleted(const RequestKind& kind, const std::string& request_id, const Answer& answer) {
  if (answer.result() != http::status::ok) {
    return {CallOutcome::Unknown, fmt::format("status_{}", answer.result_int()), std::nullopt};
  }
  if (answer.body() == answerBody(request_id, kind.answer_bytes))
    return {CallOutcome::Completed, "", std::nullopt};
  return {CallOutcome::WrongAnswer,
          fmt::format("{} bytes that are not this request's answer", answer.body().size()), std::nullopt};
}

}  // namespace

AnswerVerdict checkAnswer(const RequestKind& kind, const std::string& request_id, const Answer& answer) {
  const std::string outcome = headerText(answer, "X-Outcome");
  const std::string not_run = headerText(answer, "X-Not-Run");
  if (outcome == "not_run") return {CallOutcome::NotRun, refusalKind(answer), retryAfter(answer)};
  if (outcome == "unknown") return {CallOutcome::Unknown, refusalKind(answer), retryAfter(answer)};
  if (outcome.empty() && !not_run.empty()) return {CallOutcome::NotRun, not_run, retryAfter(answer)};
  return checkCompleted(kind, request_id, answer);
}

}  // namespace cometstand::rehearsal
