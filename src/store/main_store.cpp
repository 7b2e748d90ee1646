// cometstand-store: one replica of the configuration store.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>

#include "base/random.h"
#include "net/tls_context.h"
#include "runtime/process_runner.h"
#include "settings/program.h"
#include "store/store_core.h"
#include "store/store_settings.h"

namespace {

using namespace cometstand;

const settings::ProgramInfo kProgram{
    "cometstand-store", "One replica of the store that accepts, orders and keeps the configuration."};

int runStore(store::StoreSettings& store) {
  settings::applyLogLevel(store.common);
  store::completeStoreOptions(store);
  std::unique_ptr<boost::asio::ssl::context> tls;
  if (store.common.tls.enabled) {
    tls =
        net::makeTlsContext({store.common.tls.certificate, store.common.tls.key, store.common.tls.authority});
  }
  boost::asio::io_context io(1);
  store::StoreCore core(store.options, systemSeed());
  runtime::ProcessRunner runner(io, core, {store.common.listen, store.common.data_folder, tls.get()});
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) runner.beginStop();
  });
  runner.start();
  io.run();
  return settings::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  store::StoreSettings store;
  settings::SettingsTable table;
  store::declareStoreSettings(table, store);
  return settings::runProgram(argc, argv, kProgram, table, [&store] { return runStore(store); });
}
