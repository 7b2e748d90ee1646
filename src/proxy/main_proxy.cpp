// cometstand-proxy: stands between callers and back ends, by the configuration that it follows.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>

#include "base/random.h"
#include "net/tls_context.h"
#include "proxy/proxy_process.h"
#include "proxy/proxy_settings.h"
#include "settings/program.h"

namespace {

using namespace cometstand;

settings::ProgramInfo programInfo() {
  return {"cometstand-proxy", "Serves callers: routes, limits, balances and retries their requests."};
}

int runProxy(proxy::ProxySettings& settings) {
  settings::applyLogLevel(settings.common);
  proxy::completeProxyOptions(settings, systemSeed());
  std::unique_ptr<boost::asio::ssl::context> tls;
  if (settings.common.tls.enabled) {
    const auto& files = settings.common.tls;
    tls = net::makeTlsContext({files.certificate, files.key, files.authority});
  }
  boost::asio::io_context io(1);
  proxy::ProxyProcess process(io, settings, tls.get(), systemSeed());
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&process](boost::system::error_code error, int) {
    if (!error) process.beginStop();
  });
  process.start();
  io.run();
  return settings::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  proxy::ProxySettings proxy;
  settings::SettingsTable table;
  proxy::declareProxySettings(table, proxy);
  return settings::runProgram(argc, argv, programInfo(), table, [&proxy] { return runProxy(proxy); });
}
