// cometstand-scale: measures what a fleet of a given size costs, with a real store, real relays and hollow
// proxies that share processes. Prints one JSON object; exits 1 if an outcome does not hold.
#include <boost/json/serialize.hpp>
#include <cstdio>

#include "base/error.h"
#include "rehearsal/scale/events.h"
#include "rehearsal/scale/scale_run.h"
#include "rehearsal/standin/program_options.h"

int main(int argc, char** argv) {
  namespace rehearsal = cometstand::rehearsal;
  try {
    const auto options = rehearsal::parseScaleOptions(argc, argv);
    rehearsal::ScaleRun scale(options);
    const auto report = scale.run();
    const auto text = boost::json::serialize(report) + "\n";
    std::fwrite(text.data(), 1, text.size(), stdout);
    return report.at("outcomes").at("passed").as_bool() ? 0 : 1;
  } catch (const cometstand::Error& error) {
    cometstand::logEvent(rehearsal::kScaleFailed, {{"reason", error.what()}, {"remedy", error.remedy()}});
  } catch (const std::exception& error) {
    cometstand::logEvent(rehearsal::kScaleFailed, {{"reason", error.what()}});
  }
  return 1;
}
