#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admin/admin_pages.h"
#include "admin/admin_server.h"
#include "overload/memory_budget.h"
#include "runtime/process_runner.h"
#include "settings/common_settings.h"
#include "settings/settings_source.h"

namespace cometstand::admin {

/// What store, relay and proxy have in common while they run: the io_context, the runner of the core, TLS or
/// plain TCP (logged as a warning), the admin pages, settings that are read again on SIGHUP, and the planned
/// stop on SIGTERM or SIGINT. One thread runs all of it.
///
///     overload::MemoryBudget memory(settings.common.overload.clientBytes());
///     StoreCore core(options, systemSeed());
///     const StorePages pages(core);  // an AdminPages
///     admin::ProgramHost host("cometstand-store", settings.common, core, pages, memory);
///     return host.run();
class ProgramHost {
 public:
  /// One thing to end before the core's own planned stop. It calls `done` exactly once, now or later.
  using StopStep = std::function<void(std::function<void()> done)>;

  /// Carries out log.level, reads the certificates and binds the addresses.
  /// @param core, pages must outlive the host.
  /// @param memory where all that the program holds for clients is charged. Must outlive host and core.
  /// @throw Error(InputOutput) if a certificate, an address or the data folder cannot be used.
  ProgramHost(std::string program, const settings::CommonSettings& common, runtime::ProcessCore& core,
              const AdminPages& pages, overload::MemoryBudget& memory);
  ~ProgramHost();

  ProgramHost(const ProgramHost&) = delete;
  ProgramHost& operator=(const ProgramHost&) = delete;

  boost::asio::io_context& io() { return io_; }
  runtime::ProcessRunner& runner() { return *runner_; }

  /// @param begin called once by run(), after the core has recovered and before the admin pages are served.
  void addStart(std::function<void()> begin) { starts_.push_back(std::move(begin)); }

  /// Adds a step of the planned stop. Steps run one after another in this order; the core's beginStop()
  /// follows the last one.
  void addStopStep(StopStep step) { stop_steps_.push_back(std::move(step)); }

  /// A planned stop waits until what was handed to them has been delivered.
  /// @param deliveries must live as long as the host runs.
  void addDeliveries(const runtime::Deliveries& deliveries) { runner_->addDeliveries(deliveries); }
  /// A planned stop ends it before the process ends.
  /// @param intake must live as long as the host runs.
  void addIntake(runtime::Intake& intake) { runner_->addIntake(intake); }

  /// Has the settings read again on SIGHUP, and once the settings file has another text. Without it, SIGHUP
  /// is ignored.
  /// @param source must outlive the host.
  /// @param reload loads the settings and takes over what can change while the program runs; an Error that it
  /// throws is logged, and the program goes on with what it had.
  void setReload(settings::SettingsSource& source, std::function<void()> reload);

  /// Begins the planned stop, as SIGTERM does; a second call does nothing. May be called from within the
  /// core.
  /// @param reason for the log.
  void requestStop(const std::string& reason);

  /// Recovers the core, serves, and returns once the planned stop is complete.
  /// @return the exit code.
  /// @throw Error(Corrupt) from the core's start, or what a handler throws.
  int run();

  /// @return where the admin pages are served; an empty host if they are not.
  runtime::Address adminAddress() const;

 private:
  class HostPages;

  void awaitSignal();
  void watchSettings();
  void reload(const std::string& reason);
  void runStopStep(std::size_t index);
  void logStart() const;

  std::string program_;
  overload::MemoryBudget& memory_;
  boost::asio::io_context io_{1};
  boost::asio::signal_set signals_;
  std::unique_ptr<boost::asio::ssl::context> tls_;
  std::unique_ptr<runtime::ProcessRunner> runner_;
  std::unique_ptr<HostPages> pages_;
  std::unique_ptr<AdminServer> admin_;
  std::vector<std::function<void()>> starts_;
  std::vector<StopStep> stop_steps_;
  settings::SettingsSource* source_ = nullptr;
  std::function<void()> reload_;
  boost::asio::steady_timer watch_timer_{io_};
  bool stopping_ = false;
};

}  // namespace cometstand::admin
