#include "rehearsal/fleet/member.h"

#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <sstream>

#include "base/error.h"
#include "rehearsal/fleet/http_client.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::rehearsal {

Member::Member(boost::asio::io_context& io, const FleetFolder& folder, MemberPlan plan)
    : plan_(std::move(plan)), folder_(folder), port_(io), admin_port_(io), caller_port_(io) {}

void Member::writeSettings(const std::string& text) const { writeTextFile(settingsFile(), text); }

void Member::start(const std::vector<std::string>& arguments) {
  process_ = std::make_unique<ChildProcess>(ProgramStart{name(), plan_.program, arguments, logFile(), {}});
}

void Member::kill() {
  if (process_) process_->kill();
}

ProcessEnd Member::stop() {
  beginStop();
  return waitForEnd();
}

void Member::beginStop() {
  if (process_) process_->sendSignal(SIGTERM);
}

ProcessEnd Member::waitForEnd() { return process_ ? process_->waitForEnd(kConditionLimit) : ProcessEnd(); }

void Member::freeze() {
  if (process_) process_->sendSignal(SIGSTOP);
}

void Member::thaw() {
  if (process_) process_->sendSignal(SIGCONT);
}

void Member::removeData() const { std::filesystem::remove_all(dataFolder()); }

bool Member::ready() {
  const auto answer = askOverHttp(admin_port_.endpoint(), {"GET", "", "/ready", ""});
  return answer && answer->status == 200;
}

std::string Member::logText() const { return readTextFile(logFile()); }

std::string readTextFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void writeTextFile(const std::filesystem::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (file) return;
  throw Error(ErrorKind::InputOutput, fmt::format("cannot write '{}'", path.string()),
              "choose a folder that can be written to");
}

}  // namespace cometstand::rehearsal
