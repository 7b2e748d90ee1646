#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>

#include "base/error.h"
#include "rehearsal/fleet/child_process.h"
#include "rehearsal/fleet/member.h"
#include "rehearsal/fleet/outcome_check.h"
#include "rehearsal/fleet/reserved_port.h"

namespace cometstand::rehearsal {
namespace {

using boost::asio::ip::tcp;

/// A folder that goes with the test.
class ScratchFolder {
 public:
  ScratchFolder()
      : path_(std::filesystem::temp_directory_path() / ("fleet-parts-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~ScratchFolder() { std::filesystem::remove_all(path_); }
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

CallRecord completedRecord(const std::string& id) {
  CallRecord record;
  record.request_id = id;
  record.kind = "commits";
  record.idempotency_key = "key-" + id;
  record.outcome = CallOutcome::Completed;
  record.first_answer = std::chrono::milliseconds(10);
  record.within_deadline = true;
  return record;
}

Workload commitWorkload() {
  RequestKind kind;
  kind.name = "commits";
  kind.deadline = std::chrono::seconds(2);
  return {{kind}};
}

TEST_CASE("a child is ended by its own signal alone, and its output is kept", "[fleet]") {
  const ScratchFolder folder;
  const auto log = folder.path() / "child.log";
  ChildProcess sleeper({"sleeper", "/bin/sleep", {"1000"}, log, {}});
  ChildProcess printer({"printer", "/bin/echo", {"hello"}, log, {}});
  CHECK(printer.waitForEnd(std::chrono::seconds(30)).clean());
  CHECK(readTextFile(log) == "hello\n");
  CHECK(sleeper.running());
  sleeper.sendSignal(SIGTERM);
  CHECK(sleeper.waitForEnd(std::chrono::seconds(30)).signal == SIGTERM);
}

TEST_CASE("a child goes with its object", "[fleet]") {
  const ScratchFolder folder;
  pid_t id = 0;
  {
    ChildProcess sleeper({"sleeper", "/bin/sleep", {"1000"}, folder.path() / "child.log", {}});
    id = sleeper.id();
    REQUIRE(::kill(id, 0) == 0);
  }
  CHECK(::kill(id, 0) != 0);
}

TEST_CASE("a program that is missing is a typed error", "[fleet]") {
  const ScratchFolder folder;
  CHECK_THROWS_AS(ChildProcess({"none", "/no/such/program", {}, folder.path() / "child.log", {}}), Error);
}

TEST_CASE("a reserved port can be listened on again and again", "[fleet]") {
  boost::asio::io_context io;
  const ReservedPort port(io);
  for (int run = 0; run < 3; ++run) {
    tcp::acceptor acceptor(io, port.endpoint());
    tcp::socket client(io);
    client.connect(port.endpoint());
    CHECK(client.is_open());
  }
}

TEST_CASE("checks find each kind of broken promise", "[fleet]") {
  ExecutionRecord executed;
  executed.begin("a", "key-a");
  std::vector<CallRecord> records{completedRecord("a")};
  REQUIRE(checkExecutions(records, executed).empty());
  REQUIRE(checkAnswered(records, commitWorkload()).empty());
  REQUIRE(checkNoneFailed(records).empty());
  SECTION("ran twice") {
    executed.begin("a", "key-a");
    CHECK_FALSE(checkExecutions(records, executed).empty());
  }
  SECTION("ran twice under one key") {
    executed.begin("b", "key-a");
    CHECK_FALSE(checkExecutions(records, executed).empty());
  }
  SECTION("not run, but it ran") {
    records[0].outcome = CallOutcome::NotRun;
    CHECK_FALSE(checkExecutions(records, executed).empty());
  }
  SECTION("completed, but it never ran") {
    records.push_back(completedRecord("c"));
    CHECK_FALSE(checkExecutions(records, executed).empty());
  }
  SECTION("late") {
    records[0].first_answer = std::chrono::seconds(3);
    CHECK_FALSE(checkAnswered(records, commitWorkload()).empty());
  }
  SECTION("no typed outcome") {
    records[0].outcome = CallOutcome::Lost;
    records[0].within_deadline = false;
    CHECK_FALSE(checkAnswered(records, commitWorkload()).empty());
    CHECK_FALSE(checkNoneFailed(records).empty());
  }
}

}  // namespace
}  // namespace cometstand::rehearsal
