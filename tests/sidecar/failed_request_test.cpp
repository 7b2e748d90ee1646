#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/event_log.h"
#include "tests/sidecar/sidecar_fixture.h"

// Traces three kinds of failed request from their id to the cause in the log, as docs/OPERATIONS.md
// describes.
namespace cometstand::sidecar::test {

namespace {

/// Redirects standard output to a file with one JSON object per line, as an operator collects the log.
class LogCapture {
 public:
  LogCapture() : standard_output_(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    const int file = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    REQUIRE(file >= 0);
    ::dup2(file, STDOUT_FILENO);
    ::close(file);
    setLogFormat(LogFormat::Json);
  }
  ~LogCapture() {
    setLogFormat(LogFormat::Text);
    ::dup2(standard_output_, STDOUT_FILENO);
    ::close(standard_output_);
    std::filesystem::remove(path_);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// Runs the documented grep command. @return its output.
  std::string findLines(const std::string& request_id) const {
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

/// A sidecar whose own target, with two slots, is the only endpoint.
class SingleEndpointFixture : public SidecarFixture {
 public:
  SingleEndpointFixture() {
    configure();
    core.onHeartbeat(makeHeartbeat("instance-a", 1), now);
    step();
  }
};

}  // namespace

TEST_CASE("the operations guide has the command that these tests run", "[operations]") {
  std::ifstream page(SOURCE_FOLDER "/docs/OPERATIONS.md");
  const std::string text((std::istreambuf_iterator<char>(page)), std::istreambuf_iterator<char>());
  CHECK_THAT(text, Catch::Contains("grep '\"request\":\"ID\"'"));
}

TEST_CASE("the log of a refused request identifies the full target", "[operations]") {
  const LogCapture log;
  SingleEndpointFixture sidecar;
  for (int i = 0; i < 3; ++i) sidecar.call("/read/1");
  sidecar.advance(milliseconds(300));
  const auto lines = log.findLines("r3");
  CHECK_THAT(lines, Catch::Contains("\"name\":\"call_ended\"") && Catch::Contains("\"outcome\":\"not_run\""));
  CHECK_THAT(lines, Catch::Contains("\"reason\":\"Full\"") && Catch::Contains("\"instance\":\"instance-a\""));
  CHECK_THAT(lines, Catch::Contains("\"running\":2") && Catch::Contains("\"slots\":2"));
}

TEST_CASE("the log of a request that may have run identifies the target that failed", "[operations]") {
  const LogCapture log;
  SingleEndpointFixture sidecar;
  sidecar.call("/write/1");
  RunResult broken;
  broken.reply.outcome = wire::ForwardOutcome::Unknown;
  sidecar.core.onRunResult(sidecar.target.orders.at(0).id, broken, sidecar.now);
  sidecar.step();
  const auto lines = log.findLines("r1");
  CHECK_THAT(lines, Catch::Contains("\"name\":\"call_ended\"") && Catch::Contains("\"outcome\":\"failed\""));
  CHECK_THAT(lines, Catch::Contains("\"name\":\"run_ended\"") && Catch::Contains("\"outcome\":\"Unknown\""));
  CHECK_THAT(lines, Catch::Contains("\"instance\":\"instance-a\""));
}

TEST_CASE("the log of a request that timed out identifies the slow target", "[operations]") {
  const LogCapture log;
  SingleEndpointFixture sidecar;
  sidecar.call("/read/1", milliseconds(300));
  sidecar.advance(milliseconds(310));
  const auto lines = log.findLines("r1");
  CHECK_THAT(lines,
             Catch::Contains("\"name\":\"call_ended\"") && Catch::Contains("\"outcome\":\"timed_out\""));
  CHECK_THAT(lines, Catch::Contains("\"name\":\"run_given_up\"") && Catch::Contains("\"took_ms\":300"));
  CHECK_THAT(lines, Catch::Contains("\"instance\":\"instance-a\""));
}

}  // namespace cometstand::sidecar::test
