#include "admin/program_host.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

#include "admin/events.h"
#include "admin/process_usage.h"
#include "base/error.h"
#include "net/tls_context.h"
#include "overload/heap.h"
#include "settings/program.h"
#include "settings/units.h"

namespace cometstand::admin {

namespace {

/// How often the settings file is compared with what was read.
constexpr auto kSettingsWatchInterval = std::chrono::seconds(1);

}  // namespace

/// The program's own pages, with what is true of every program.
class ProgramHost::HostPages : public AdminPages {
 public:
  HostPages(const ProgramHost& host, const AdminPages& program) : host_(host), program_(program) {}

  Health liveness() const override { return program_.liveness(); }

  Health readiness() const override {
    if (host_.stopping_) return {false, "a planned stop is under way"};
    return program_.readiness();
  }

  void addMetrics(MetricSet& metrics) const override {
    metrics.gauge("cometstand_build_info", "Always 1; the labels tell program and version.", 1,
                  {{"program", host_.program_}, {"version", settings::programVersion()}});
    metrics.gauge("cometstand_ready", "1 if /ready answers 200, else 0.", readiness().ok ? 1 : 0);
    metrics.counter("cometstand_link_bytes_total",
                    "Bytes on links between processes, frame headers included.",
                    static_cast<double>(host_.runner_->bytesSent()), {{"direction", "sent"}});
    metrics.counter("cometstand_link_bytes_total", "", static_cast<double>(host_.runner_->bytesReceived()),
                    {{"direction", "received"}});
    metrics.gauge("cometstand_client_memory_bytes", "Memory charged for bytes of clients.",
                  static_cast<double>(host_.memory_.used()));
    metrics.gauge("cometstand_client_memory_limit_bytes", "Limit of the memory for bytes of clients.",
                  static_cast<double>(host_.memory_.limit()));
    metrics.counter("cometstand_client_memory_refusals_total",
                    "Requests and links that were refused for want of memory.",
                    static_cast<double>(host_.memory_.refusals()));
    addProcessUsage(metrics);
    program_.addMetrics(metrics);
  }

 private:
  const ProgramHost& host_;
  const AdminPages& program_;
};

ProgramHost::ProgramHost(std::string program, const settings::CommonSettings& common,
                         runtime::ProcessCore& core, const AdminPages& pages, overload::MemoryBudget& memory)
    : program_(std::move(program)), memory_(memory), signals_(io_, SIGTERM, SIGINT, SIGHUP) {
  overload::configureHeap();
  settings::applyLogLevel(common);
  setLogFormat(common.log_format == "json" ? LogFormat::Json : LogFormat::Text);
  if (common.tls.enabled) {
    tls_ = net::makeTlsContext({common.tls.certificate, common.tls.key, common.tls.authority});
  } else {
    logEvent(kTlsDisabled, {{"program", program_}});
  }
  runner_ = std::make_unique<runtime::ProcessRunner>(
      io_, core, runtime::RunnerOptions{common.listen, common.data_folder, tls_.get(), &memory_});
  pages_ = std::make_unique<HostPages>(*this, pages);
  if (!common.admin.host.empty()) admin_ = std::make_unique<AdminServer>(io_, common.admin, *pages_);
}

ProgramHost::~ProgramHost() = default;

void ProgramHost::requestStop(const std::string& reason) {
  if (stopping_) return;
  stopping_ = true;
  logEvent(kStopRequested, {{"reason", reason}});
  // The caller may stand within the core.
  boost::asio::post(io_, [this] { runStopStep(0); });
}

int ProgramHost::run() {
  runner_->start();
  for (const auto& begin : starts_) begin();
  if (admin_) admin_->start();
  awaitSignal();
  if (source_ != nullptr) watchSettings();
  logStart();
  io_.run();
  logEvent(kProgramStopped, {{"program", program_}});
  return settings::kExitSuccess;
}

runtime::Address ProgramHost::adminAddress() const {
  return admin_ ? admin_->listenAddress() : runtime::Address();
}

void ProgramHost::awaitSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      reload("SIGHUP");
    } else {
      requestStop(signal == SIGINT ? "SIGINT" : "SIGTERM");
    }
    awaitSignal();
  });
}

void ProgramHost::setReload(settings::SettingsSource& source, std::function<void()> reload) {
  source_ = &source;
  reload_ = std::move(reload);
}

void ProgramHost::watchSettings() {
  watch_timer_.expires_after(kSettingsWatchInterval);
  watch_timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopping_) return;
    if (source_->hasChanged()) reload("the file has another text");
    watchSettings();
  });
}

void ProgramHost::reload(const std::string& reason) {
  if (!reload_ || stopping_) return;
  try {
    reload_();
    logEvent(kSettingsReloaded, {{"reason", reason}});
  } catch (const Error& error) {
    logEvent(kSettingsRefused, {{"reason", reason}, {"error", error.what()}});
  }
}

void ProgramHost::runStopStep(std::size_t index) {
  if (index == stop_steps_.size()) return runner_->beginStop();
  stop_steps_[index]([this, index] { boost::asio::post(io_, [this, index] { runStopStep(index + 1); }); });
}

void ProgramHost::logStart() const {
  const auto text = [](const runtime::Address& address) {
    return address.host.empty() ? std::string("none") : settings::formatAddress(address);
  };
  logEvent(kProgramStarted, {{"program", program_},
                             {"version", settings::programVersion()},
                             {"listen", text(runner_->listenAddress())},
                             {"admin", text(adminAddress())}});
}

}  // namespace cometstand::admin
