#include "sidecar/metrics.h"

namespace cometstand::sidecar {

std::string_view nameOf(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::Answered:
      return "answered";
    case CallOutcome::NoRoute:
      return "no_route";
    case CallOutcome::NotRun:
      return "not_run";
    case CallOutcome::Failed:
      return "failed";
    case CallOutcome::TimedOut:
      return "timed_out";
    case CallOutcome::Quarantined:
      return "quarantined";
    case CallOutcome::UnknownKey:
      return "unknown_key";
    case CallOutcome::OverQuota:
      return "over_quota";
  }
  return "unrecognized";
}

}  // namespace cometstand::sidecar
