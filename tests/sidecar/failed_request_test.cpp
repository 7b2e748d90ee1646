#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/event_log.h"
#include "tests/sidecar/sidecar_fixture.h"

// Three kinds of failed request, each followed from its id to its cause as docs/OPERATIONS.md says.
namespace cometstand::sidecar::test {

namespace {

/// The log of this process, as an operator collects it: standard output in a file, one JSON object a line.
class CollectedLog {
 public:
  CollectedLog() : standard_output_(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    const int file = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    REQUIRE(file >= 0);
    ::dup2(file, STDOUT_FILENO);
    ::close(file);
    setLogFormat(LogFormat::Json);
  }
  ~CollectedLog() {
    setLogFormat(LogFormat::Text);
    ::dup2(standard_output_, STDOUT_FILENO);
    ::close(standard_output_);
    std::filesystem::remove(path_);
  }
  CollectedLog(const CollectedLog&) = delete;
  CollectedLog& operator=(const CollectedLog&) = delete;

  /// Runs the documented command. @return its output.
  std::string linesOf(const std::string& request_id) const {
    const std::string command = "grep '\"request\":\"" + request_id + "\"' " + path_;
    std::string output;
    std::FILE* pipe = ::popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    for (int byte = std::fgetc(pipe); byte != EOF; byte = std::fgetc(pipe)) output += static_cast<char>(byte);
    ::pclose(pipe);
    return output;
  }

 private:
  int standard_output_;
  std::string path_ =
      (std::filesystem::temp_directory_path() / ("cometstand-log-" + std::to_string(::getpid()))).string();
};

/// A sidecar whose own target, of two slots, is the only endpoint.
class SoloFixture : public SidecarFixture {
 public:
  SoloFixture() {
    configure();
    core.onHeartbeat(makeBeat("instance-a", 1), now);
    step();
  }
};

}  // namespace

TEST_CASE("the documented command is the one that is tried here", "[operations]") {
  std::ifstream page(SOURCE_FOLDER "/docs/OPERATIONS.md");
  const std::string text((std::istreambuf_iterator<char>(page)), std::istreambuf_iterator<char>());
  CHECK_THAT(text, Catch::Contains("grep '\"request\":\"ID\"'"));
}

TEST_CASE("a request that was refused leads to the full target", "[operations]") {
  const CollectedLog log;
  SoloFixture sidecar;
  for (int i = 0; i < 3; ++i) sidecar.call("/read/1");
  sidecar.pass(milliseconds(300));
  const auto lines = log.linesOf("r3");
  CHECK_THAT(lines, Catch::Contains("\"name\":\"call_ended\"") && Catch::Contains("\"outcome\":\"not_run\""));
  CHECK_THAT(lines, Catch::Contains("\"reason\":\"Full\"") && Catch::Contains("\"instance\":\"instance-a\""));
  CHECK_THAT(lines, Catch::Contains("\"running\":2") && Catch::Contains("\"slots\":2"));
}

TEST_CASE("a request that may have run leads to the target that broke off", "[operations]") {
  const CollectedLog log;
  SoloFixture sidecar;
  sidecar.call("/write/1");
  RunResult broken;
  broken.reply.outcome = wire::ForwardOutcome::Unknown;
  sidecar.core.onRunResult(sidecar.target.orders.at(0).id, broken, sidecar.now);
  sidecar.step();
  const auto lines = log.linesOf("r1");
  CHECK_THAT(lines, Catch::Contains("\"name\":\"call_ended\"") && Catch::Contains("\"outcome\":\"failed\""));
  CHECK_THAT(lines, Catch::Contains("\"name\":\"run_ended\"") && Catch::Contains("\"outcome\":\"Unknown\""));
  CHECK_THAT(lines, Catch::Contains("\"instance\":\"instance-a\""));
}

TEST_CASE("a request whose time was up leads to the target that was slow", "[operations]") {
  const CollectedLog log;
  SoloFixture sidecar;
  sidecar.call("/read/1", milliseconds(300));
  sidecar.pass(milliseconds(310));
  const auto lines = log.linesOf("r1");
  CHECK_THAT(lines,
             Catch::Contains("\"name\":\"call_ended\"") && Catch::Contains("\"outcome\":\"timed_out\""));
  CHECK_THAT(lines, Catch::Contains("\"name\":\"run_given_up\"") && Catch::Contains("\"took_ms\":300"));
  CHECK_THAT(lines, Catch::Contains("\"instance\":\"instance-a\""));
}

}  // namespace cometstand::sidecar::test
