#include "operator/command_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "base/error.h"
#include "operator/command_output.h"
#include "runtime/process_runner.h"

namespace cometstand::command {
namespace {

using namespace std::chrono_literals;
using runtime::LinkId;

/// What a stand-in does with one command.
struct Answer {
  enum class Kind { Reply, CloseLink, Silence };
  Kind kind = Kind::Reply;
  wire::CommandReplyT reply;
};

Answer completed(std::uint64_t version) {
  Answer answer;
  answer.reply.version = version;
  return answer;
}

Answer refused(ErrorKind kind, wire::Outcome outcome = wire::Outcome::NotRun) {
  Answer answer;
  answer.reply.outcome = outcome;
  answer.reply.error = std::make_shared<wire::ErrorInfoT>();
  answer.reply.error->kind = static_cast<std::uint16_t>(kind);
  answer.reply.error->message = "refused";
  return answer;
}

Answer closeLink() { return {Answer::Kind::CloseLink, {}}; }
Answer silence() { return {Answer::Kind::Silence, {}}; }

/// Stands in for all replicas of a store: answers commands from a script, whichever replica they reach.
struct Script {
  std::deque<Answer> answers;
  std::vector<wire::CommandRequestT> requests;
};

class StandInStore : public runtime::ProcessCore {
 public:
  explicit StandInStore(Script& script) : script_(script) {}

  void start(const runtime::FileReader&, TimePoint) override {}
  void onLinkOpened(LinkId, const runtime::PeerIdentity&, TimePoint) override {}
  void onLinkClosed(LinkId, TimePoint) override {}
  void onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint) override {
    script_.requests.push_back(*message.body.AsCommandRequest());
    REQUIRE_FALSE(script_.answers.empty());
    const Answer answer = script_.answers.front();
    script_.answers.pop_front();
    if (answer.kind == Answer::Kind::Reply) actions_.send(link, answer.reply, message.request_id);
    if (answer.kind == Answer::Kind::CloseLink) actions_.close(link);
  }
  void onFileWritten(runtime::WriteId, TimePoint) override {}
  void onFileFailed(runtime::WriteId, const std::string&, TimePoint) override {}
  void onTimer(TimePoint) override {}
  TimePoint nextTimer() const override { return TimePoint::max(); }
  runtime::Actions takeActions() override { return actions_.take(); }
  void beginStop(TimePoint) override {}
  bool stopped() const override { return false; }

 private:
  Script& script_;
  runtime::ActionQueue actions_;
};

/// Runs a client against stand-ins that share one script.
class Bench {
 public:
  explicit Bench(std::deque<Answer> answers, std::size_t replicas = 2) {
    script.answers = std::move(answers);
    for (std::size_t i = 0; i < replicas; ++i) {
      stores_.push_back(std::make_unique<StandInStore>(script));
      runners_.push_back(std::make_unique<runtime::ProcessRunner>(
          io_, *stores_.back(), runtime::RunnerOptions{{"127.0.0.1", 0}, "", nullptr}));
      runners_.back()->start();
      options.stores.push_back(runners_.back()->listenAddress());
    }
    options.request.request_id = "1767225600000-5f3a";
    options.request.token = "token-of-anna";
    options.request.text = "change { delete route cues; }";
    options.is_query = false;
    options.time_limit = 30s;
  }

  ClientResult run() {
    CommandClient client(options);
    runtime::ProcessRunner runner(io_, client, {{}, "", nullptr});
    runner.start();
    io_.run();
    REQUIRE(client.result());
    return *client.result();
  }

  Script script;
  ClientOptions options;

 private:
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<StandInStore>> stores_;
  std::vector<std::unique_ptr<runtime::ProcessRunner>> runners_;
};

TEST_CASE("a resend after a lost answer keeps the request identifier", "[command_client]") {
  Bench bench({closeLink(), silence(), refused(ErrorKind::Unknown, wire::Outcome::Unknown), completed(13)});
  bench.options.attempt_limit = 50ms;
  const auto result = bench.run();
  CHECK(result.reply.outcome == wire::Outcome::Completed);
  CHECK(result.reply.version == 13);
  CHECK(exitCode(result) == kExitCompleted);
  REQUIRE(bench.script.requests.size() == 4);
  for (const auto& request : bench.script.requests) CHECK(request.request_id == "1767225600000-5f3a");
}

TEST_CASE("a refusal for now is final once all replicas gave it", "[command_client]") {
  Bench bench({refused(ErrorKind::Unavailable), refused(ErrorKind::Stopping)});
  CHECK(exitCode(bench.run()) == kExitNotRun);
  CHECK(bench.script.requests.size() == 2);
}

TEST_CASE("a refusal for now says nothing about an earlier attempt without answer", "[command_client]") {
  Bench bench({closeLink(), refused(ErrorKind::Unavailable), refused(ErrorKind::Unavailable),
               refused(ErrorKind::Conflict)});
  const auto result = bench.run();
  CHECK(bench.script.requests.size() == 4);
  CHECK(result.reply.error->kind == static_cast<std::uint16_t>(ErrorKind::Conflict));
  CHECK(exitCode(result) == kExitNotRun);
}

TEST_CASE("a change without any answer ends as unknown, a query does not", "[command_client]") {
  Bench bench({silence()});
  bench.options.time_limit = 300ms;
  const auto change = bench.run();
  CHECK(exitCode(change) == kExitUnknown);
  CHECK_THAT(formatProblem(change, "1-a"), Catch::Contains("--request-id 1-a"));

  Bench query_bench({silence()});
  query_bench.options.time_limit = 300ms;
  query_bench.options.is_query = true;
  CHECK(exitCode(query_bench.run()) == kExitNotRun);
}

TEST_CASE("the token goes to no process but a store", "[command_client]") {
  ClientOptions options;
  options.stores = {{"127.0.0.1", 7001}, {"127.0.0.1", 7002}};
  CommandClient client(options);
  const TimePoint now{1h};
  client.start(runtime::EmptyFileReader(), now);
  const auto first = client.takeActions().connects.at(0).link;
  client.onLinkOpened(first, {"relay", "relay-krk-a", ""}, now);
  const auto actions = client.takeActions();
  CHECK(actions.messages.empty());
  CHECK(actions.closes == std::vector<LinkId>{first});
  client.onTimer(client.nextTimer());
  const auto second = client.takeActions().connects.at(0).link;
  client.onLinkOpened(second, {"store", "store-1", ""}, now);
  CHECK(client.takeActions().messages.size() == 1);
}

TEST_CASE("no replica within reach is told apart from a refusal", "[command_client]") {
  Bench bench({});
  bench.options.stores = {{"127.0.0.1", 1}};
  bench.options.time_limit = 300ms;
  CHECK(exitCode(bench.run()) == kExitUnreachable);
}

}  // namespace
}  // namespace cometstand::command
