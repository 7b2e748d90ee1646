#include "rehearsal/replay/replayer.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "base/error.h"

namespace cometstand::replay {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The host that sends a trace's requests; faults may name it.
constexpr const char* kCaller = "trace-caller";
constexpr Duration kCommandLimit = seconds(40);
constexpr Duration kQuietTime = seconds(4);
/// A caller gives up so long after the request's own time limit.
constexpr Duration kGiveUpMargin = milliseconds(1500);
constexpr Duration kAnswerMargin = milliseconds(100);
constexpr std::uint64_t kDefaultTimeLimitMs = 3000;

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

checkers::AttemptEnd toCheckerEnd(simulator::ExchangeEnd end) {
  return static_cast<checkers::AttemptEnd>(end);
}

}  // namespace

Replayer::Replayer(Trace trace)
    : trace_(std::move(trace)),
      rehearsal_(simulator::deploymentNamed(trace_.deployment), trace_.seed),
      host_(rehearsal_.fleet().addClient(kCaller)),
      client_(rehearsal_.fleet().queue(), rehearsal_.fleet().network(), host_) {}

void Replayer::differ(const TraceLine& line, const std::string& text) {
  differences_.push_back({line.number, fmt::format("expected {}: {}", line.what, text)});
}

std::vector<Difference> Replayer::run() {
  if (rehearsal_.setUp()) {
    const TimePoint begin = rehearsal_.fleet().queue().now();
    for (const auto& line : trace_.lines) {
      rehearsal_.advance(begin + line.at - rehearsal_.fleet().queue().now());
      if (line.is_expectation) {
        check(line);
      } else {
        play(line);
      }
    }
    rehearsal_.heal();
    rehearsal_.advance(kQuietTime);
    rehearsal_.beQuiet(kQuietTime);
  }
  rehearsal_.finish();
  for (const auto& violation : rehearsal_.checkers().log.first()) {
    differences_.push_back({0, fmt::format("{}: {}", violation.check, violation.text)});
  }
  return differences_;
}

// ---- Events ---------------------------------------------------------------------------------

void Replayer::play(const TraceLine& line) {
  if (playWorkload(line)) return;
  if (line.what == "command") return playCommand(line);
  if (line.what == "call") return playCall(line);
  simulator::Fault fault;
  fault.kind = simulator::faultNamed(line.what);
  fault.target = line.text("target");
  fault.duration = line.milliseconds("for_ms");
  rehearsal_.injector().inject(fault);
}

bool Replayer::playWorkload(const TraceLine& line) {
  if (line.what == "mark") {
    marked_version_ = rehearsal_.checkers().convergence.newestAccepted();
    marked_leader_ = rehearsal_.fleet().leader();
    return true;
  }
  if (line.what == "change_pause") {
    rehearsal_.operators().setPause(line.milliseconds("pause_ms"));
    return true;
  }
  return false;
}

void Replayer::playCommand(const TraceLine& line) {
  const auto id = line.text("id");
  auto text = line.text("text");
  const auto version = std::to_string(rehearsal_.checkers().convergence.newestAccepted());
  // Operators who race each other build on the version that both have seen.
  for (auto at = text.find("$VERSION"); at != std::string::npos; at = text.find("$VERSION")) {
    text.replace(at, std::string_view("$VERSION").size(), version);
  }
  rehearsal_.fleet().withOperator(
      line.text("operator"), [this, id, text](simulator::OperatorClient& client, TimePoint now) {
        client.submit(text, kCommandLimit, now,
                      [this, id](const simulator::CommandResult& result) { commands_[id] = result; });
      });
}

void Replayer::playCall(const TraceLine& line) {
  auto& fleet = rehearsal_.fleet();
  const auto id = line.text("id");
  const auto proxy = line.text("proxy");
  const Duration time_limit = milliseconds(line.numberOf("time_limit_ms", kDefaultTimeLimitMs));
  auto message = std::make_shared<proxy::CallerRequest>();
  message->method = "POST";
  message->target = line.text("target");
  message->host = line.text("host");
  message->headers.push_back({"X-Request-Id", id});
  message->body = "content";
  message->idempotency_key = line.text("key");
  message->time_left = time_limit;
  const TimePoint now = fleet.queue().now();
  fleet.checkers().requests.onSent({id, fleet.deployment().tenant, message->idempotency_key, message->target,
                                    false, proxy, kCaller, now, now + time_limit + kAnswerMargin});
  client_.request(fleet.httpAddress(proxy), {message, 1, time_limit, ""}, time_limit + kGiveUpMargin,
                  [this, id](simulator::ExchangeEnd end, const simulator::HttpResponse* response) {
                    auto& call = calls_[id];
                    call.ended = true;
                    call.end = end;
                    checkers::AttemptAnswer answer;
                    answer.end = toCheckerEnd(end);
                    if (response != nullptr) {
                      call.outcome = response->outcome;
                      answer.outcome = response->outcome;
                      answer.status = response->response.status;
                      answer.body = response->response.body;
                    }
                    rehearsal_.checkers().requests.onEnded(id, answer, rehearsal_.fleet().queue().now());
                  });
}

// ---- Stated outcomes ------------------------------------------------------------------------

void Replayer::check(const TraceLine& line) {
  if (line.what == "command") return checkCommand(line);
  if (line.what == "one_accepted") return checkOneAccepted(line);
  if (line.what == "call") return checkCall(line);
  if (line.what == "runs") return checkRuns(line);
  if (line.what == "leader") return checkLeader(line);
  if (line.what == "accepted") return checkAccepted(line);
  if (line.what == "converged") return rehearsal_.checkConverged();
  throw Error(ErrorKind::Malformed, fmt::format("line {} expects \"{}\"", line.number, line.what),
              "use command, one_accepted, call, runs, leader, accepted or converged");
}

void Replayer::checkCommand(const TraceLine& line) {
  const auto found = commands_.find(line.text("id"));
  if (found == commands_.end()) return differ(line, line.text("id") + " has no answer");
  const auto& result = found->second;
  if (outcomeName(result.outcome) != line.text("outcome")) {
    differ(line, fmt::format("{} was {}: {}", found->first, outcomeName(result.outcome), result.message));
  }
  const auto kind = line.text("kind");
  if (!kind.empty() && errorKindName(result.kind) != kind) {
    differ(line, fmt::format("{} has error {}", found->first, errorKindName(result.kind)));
  }
  const auto sendings = line.numberOf("sent_at_least", 1);
  if (result.sendings < sendings) {
    differ(line, fmt::format("{} was sent {} times", found->first, result.sendings));
  }
  const auto rows = line.numberOf("rows", result.rows.size());
  if (rows != result.rows.size()) {
    differ(line,
           fmt::format("{} has {} rows: {}", found->first, result.rows.size(), fmt::join(result.rows, "; ")));
  }
}

void Replayer::checkOneAccepted(const TraceLine& line) {
  unsigned accepted = 0;
  unsigned conflicts = 0;
  const auto ids = line.texts("ids");
  for (const auto& id : ids) {
    const auto& result = commands_[id];
    if (result.outcome == wire::Outcome::Completed) ++accepted;
    const bool conflict = result.outcome == wire::Outcome::NotRun && result.kind == ErrorKind::Conflict;
    if (conflict) ++conflicts;
  }
  if (accepted != 1 || accepted + conflicts != ids.size()) {
    differ(line, fmt::format("{} accepted, {} refused as conflicts of {}", accepted, conflicts, ids.size()));
  }
}

void Replayer::checkCall(const TraceLine& line) {
  const auto& call = calls_[line.text("id")];
  if (!call.ended) return differ(line, line.text("id") + " has not ended");
  const bool answered = call.end == simulator::ExchangeEnd::Answered;
  const auto seen = answered ? outcomeName(call.outcome) : std::string_view("no_answer");
  if (seen != line.text("outcome")) differ(line, fmt::format("{} was {}", line.text("id"), seen));
}

void Replayer::checkRuns(const TraceLine& line) {
  const auto& tenant = rehearsal_.fleet().deployment().tenant;
  const auto runs = rehearsal_.checkers().requests.runsOf(tenant, line.text("key"));
  if (runs != line.numberOf("count", 1)) differ(line, fmt::format("{} ran {} times", line.text("key"), runs));
}

void Replayer::checkLeader(const TraceLine& line) {
  const auto leader = rehearsal_.fleet().leader();
  if (leader.empty()) return differ(line, "no replica leads");
  const bool must_change = line.numberOf("changes", 0) != 0;
  if (must_change && leader == marked_leader_) differ(line, leader + " still leads");
}

void Replayer::checkAccepted(const TraceLine& line) {
  const auto accepted = rehearsal_.checkers().convergence.newestAccepted() - marked_version_;
  const auto least = line.numberOf("at_least", 0);
  const auto most = line.numberOf("at_most", UINT64_MAX);
  if (accepted < least || accepted > most) {
    differ(line, fmt::format("{} versions were accepted since the mark", accepted));
  }
}

}  // namespace cometstand::replay
