// cometstand-proxy: stands between callers and back ends, by the configuration that it follows.
#include "admin/program_host.h"
#include "base/random.h"
#include "proxy/proxy_pages.h"
#include "proxy/proxy_process.h"
#include "proxy/proxy_settings.h"
#include "settings/program.h"

namespace {

using namespace cometstand;

constexpr settings::ProgramInfo kProgram{
    "cometstand-proxy", "Serves callers: routes, limits, balances and retries their requests."};

int runProxy(proxy::ProxySettings& settings) {
  proxy::completeProxyOptions(settings, systemSeed());
  overload::MemoryBudget memory(settings.common.overload.clientBytes());
  proxy::ProxyProcess process(settings, systemSeed());
  const proxy::ProxyPages pages(process);
  // A proxy accepts no links from other processes.
  auto common = settings.common;
  common.listen = {};
  admin::ProgramHost host(std::string(kProgram.name), common, process.core(), pages, memory);
  process.attach(host.io(), host.runner(), [&host] { host.requestStop("an operator's order"); });
  host.addStart([&process] { process.start(); });
  host.addStopStep([&process](const std::function<void()>& done) { process.drain(done); });
  return host.run();
}

}  // namespace

int main(int argc, char** argv) {
  proxy::ProxySettings proxy;
  settings::SettingsTable table;
  proxy::declareProxySettings(table, proxy);
  return settings::runProgram(argc, argv, kProgram, table, [&proxy] { return runProxy(proxy); });
}
