#include "operator/command_output.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <vector>

namespace cometstand::command {

namespace json = boost::json;

namespace {

constexpr std::string_view kColumnGap = "  ";

using Cells = std::vector<std::string>;

std::vector<std::size_t> columnWidths(const wire::CommandReplyT& reply) {
  std::vector<std::size_t> widths(reply.columns.size());
  const auto widen = [&](const Cells& cells) {
    for (std::size_t i = 0; i < std::min(cells.size(), widths.size()); ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  };
  widen(reply.columns);
  for (const auto& row : reply.rows) widen(row->cells);
  return widths;
}

std::string formatLine(const Cells& cells, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < std::min(cells.size(), widths.size()); ++i) {
    const bool is_last = i + 1 == widths.size();
    line += is_last ? cells[i] : fmt::format("{:<{}}{}", cells[i], widths[i], kColumnGap);
  }
  return line + "\n";
}

json::object errorToJson(const wire::ErrorInfoT& error) {
  return {{"kind", errorKindName(static_cast<ErrorKind>(error.kind))},
          {"message", error.message},
          {"remedy", error.remedy},
          {"retry_after_ms", error.retry_after_ms}};
}

json::object rowToJson(const Cells& columns, const Cells& cells) {
  json::object row;
  for (std::size_t i = 0; i < std::min(columns.size(), cells.size()); ++i) row[columns[i]] = cells[i];
  return row;
}

}  // namespace

int exitCode(const ClientResult& result) {
  switch (result.reply.outcome) {
    case wire::Outcome::Completed:
      return kExitCompleted;
    case wire::Outcome::NotRun:
      return result.reached ? kExitNotRun : kExitUnreachable;
    case wire::Outcome::Unknown:
      break;
  }
  return kExitUnknown;
}

std::string_view outcomeName(wire::Outcome outcome) {
  switch (outcome) {
    case wire::Outcome::Completed:
      return "completed";
    case wire::Outcome::NotRun:
      return "not_run";
    case wire::Outcome::Unknown:
      break;
  }
  return "unknown";
}

std::string formatTable(const wire::CommandReplyT& reply) {
  if (reply.outcome != wire::Outcome::Completed) return {};
  if (reply.columns.empty()) return fmt::format("completed: version {}\n", reply.version);
  const auto widths = columnWidths(reply);
  std::string table = formatLine(reply.columns, widths);
  for (const auto& row : reply.rows) table += formatLine(row->cells, widths);
  return table;
}

std::string formatProblem(const ClientResult& result, const std::string& request_id) {
  const auto& reply = result.reply;
  if (reply.outcome == wire::Outcome::Completed) return {};
  std::string text = fmt::format("{}", outcomeName(reply.outcome));
  if (reply.error) {
    text += fmt::format(": {}: {}", errorKindName(static_cast<ErrorKind>(reply.error->kind)),
                        reply.error->message);
    if (!reply.error->remedy.empty()) text += fmt::format(" ({})", reply.error->remedy);
    if (reply.error->retry_after_ms > 0) {
      text += fmt::format("; come back in {} ms", reply.error->retry_after_ms);
    }
  }
  text += "\n";
  if (reply.outcome == wire::Outcome::Unknown) {
    text += fmt::format("to learn the outcome, send the same command with --request-id {}\n", request_id);
  }
  return text;
}

std::string formatJson(const ClientResult& result, const std::string& request_id) {
  const auto& reply = result.reply;
  json::object object{
      {"outcome", outcomeName(reply.outcome)}, {"version", reply.version}, {"request_id", request_id}};
  if (reply.outcome == wire::Outcome::Completed) {
    json::array rows;
    for (const auto& row : reply.rows) rows.push_back(rowToJson(reply.columns, row->cells));
    object["columns"] = json::value_from(reply.columns);
    object["rows"] = std::move(rows);
  } else if (reply.error) {
    object["error"] = errorToJson(*reply.error);
  }
  return json::serialize(object) + "\n";
}

std::string formatParseError(std::string_view text, const ParseError& error) {
  if (text.find("secret") != std::string_view::npos) return {};
  for (std::size_t line = 1; line < error.line(); ++line) text.remove_prefix(text.find('\n') + 1);
  return fmt::format("  {}\n  {:>{}}\n", text.substr(0, text.find('\n')), "^", error.column());
}

}  // namespace cometstand::command
