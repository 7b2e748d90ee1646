#include "settings/program.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>

#include "base/error.h"

using namespace cometstand;
using namespace cometstand::settings;

namespace {

constexpr int kBodyExitCode = 7;

struct Outcome {
  int exit_code = 0;
  bool ran = false;
  std::string name;
};

Outcome runWith(std::vector<const char*> arguments, bool fail = false) {
  arguments.insert(arguments.begin(), "example");
  Outcome outcome;
  SettingsTable table;
  table.text("name", outcome.name, "Name.").required();
  outcome.exit_code =
      runProgram(static_cast<int>(arguments.size()), arguments.data(), {"example", "An example"}, table, [&] {
        outcome.ran = true;
        if (fail) throw Error(ErrorKind::Unavailable, "no", "come back");
        return kBodyExitCode;
      });
  return outcome;
}

}  // namespace

TEST_CASE("the body runs with its settings and gives the exit code") {
  const auto outcome = runWith({"--set", "name=x"});
  CHECK(outcome.exit_code == kBodyExitCode);
  CHECK(outcome.name == "x");
  CHECK(runWith({"--set", "name=x"}, true).exit_code == kExitFailure);
}

TEST_CASE("help, version and checks do not run the body") {
  for (const auto* flag : {"--help", "--version", "--describe-settings"}) {
    const auto outcome = runWith({flag});
    CHECK(outcome.exit_code == kExitSuccess);
    CHECK_FALSE(outcome.ran);
  }
  const auto checked = runWith({"--check-settings", "--set", "name=x"});
  CHECK(checked.exit_code == kExitSuccess);
  CHECK_FALSE(checked.ran);
  CHECK(runWith({"--check-settings"}).exit_code == kExitUsage);
}

TEST_CASE("wrong flags and files are usage errors") {
  CHECK(runWith({"--nonsense"}).exit_code == kExitUsage);
  CHECK(runWith({"--settings", "/does/not/exist.toml"}).exit_code == kExitUsage);
}

// Guards against the end of a process by SIGPIPE when the reader of its log ends.
TEST_CASE("a program goes on when the reader of its output has ended") {
  const auto previous = std::signal(SIGPIPE, SIG_DFL);
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  ::close(ends[0]);
  SettingsTable table;
  const std::array<const char*, 1> arguments{"example"};
  const int exit_code = runProgram(1, arguments.data(), {"example", "An example"}, table, [&ends] {
    const bool is_refused = ::write(ends[1], "x", 1) < 0 && errno == EPIPE;
    return is_refused ? kBodyExitCode : kExitFailure;
  });
  ::close(ends[1]);
  std::signal(SIGPIPE, previous);
  CHECK(exit_code == kBodyExitCode);
}

// Guards against the end of a process by a SIGHUP that comes before the program handles it.
TEST_CASE("a program that reads its settings again goes on after a SIGHUP in its first moments") {
  const auto previous = std::signal(SIGHUP, SIG_DFL);
  SettingsTable table;
  const std::array<const char*, 1> arguments{"example"};
  const int exit_code =
      runProgram(1, arguments.data(), {"example", "An example"}, table, [](SettingsSource&) {
        std::raise(SIGHUP);
        return kBodyExitCode;
      });
  std::signal(SIGHUP, previous);
  CHECK(exit_code == kBodyExitCode);
}
