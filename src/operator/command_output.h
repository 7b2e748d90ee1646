#pragma once

#include <string>
#include <string_view>

#include "operator/command.h"
#include "operator/command_client.h"

namespace cometstand::command {

/// Exit codes of cometctl.
inline constexpr int kExitCompleted = 0;
/// Something on this machine failed, such as a certificate that cannot be read.
inline constexpr int kExitFailed = 1;
/// Wrong flags, settings or command; nothing was sent.
inline constexpr int kExitUsage = 2;
/// Refused; nothing took effect.
inline constexpr int kExitNotRun = 3;
/// Whether the command took effect is not known.
inline constexpr int kExitUnknown = 4;
/// No replica was reached; nothing took effect.
inline constexpr int kExitUnreachable = 5;

/// @return the exit code for the result.
int exitCode(const ClientResult& result);

/// @return the name of the outcome, such as "not_run".
std::string_view outcomeName(wire::Outcome outcome);

/// @return the rows as a table for people, one line each, or the version if there are no columns. Empty
///   unless the command completed.
std::string formatTable(const wire::CommandReplyT& reply);

/// @return for people: the outcome, the error with its remedy, and when to come back. Empty if completed.
std::string formatProblem(const ClientResult& result, const std::string& request_id);

/// @return one line of JSON: `outcome`, `version`, `request_id`, then `columns` and `rows` (an object a row),
///   or `error` with `kind`, `message`, `remedy`, `retry_after_ms`.
std::string formatJson(const ClientResult& result, const std::string& request_id);

/// @return the line of the error with a mark below the column; empty where the text may hold a secret.
std::string formatParseError(std::string_view text, const ParseError& error);

}  // namespace cometstand::command
