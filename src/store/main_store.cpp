// Entry point of cometstand-store, one replica of the configuration store.
#include "admin/program_host.h"
#include "base/random.h"
#include "settings/program.h"
#include "store/store_core.h"
#include "store/store_pages.h"
#include "store/store_settings.h"

namespace {

using namespace cometstand;

constexpr settings::ProgramInfo kProgram{
    "cometstand-store",
    "One replica of the configuration store, which replicates the configuration of the mesh."};

int runStore(store::StoreSettings& store) {
  store::completeStoreOptions(store);
  overload::MemoryBudget memory(store.common.overload.clientBytes());
  store::StoreCore core(store.options, systemSeed());
  const store::StorePages pages(core);
  admin::ProgramHost host(std::string(kProgram.name), store.common, core, pages, memory);
  return host.run();
}

}  // namespace

int main(int argc, char** argv) {
  store::StoreSettings store;
  settings::SettingsTable table;
  store::declareStoreSettings(table, store);
  return settings::runProgram(argc, argv, kProgram, table, [&store] { return runStore(store); });
}
