#include "proxy/metrics.h"

namespace cometstand::proxy {

std::string_view refusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::QueueFull:
      return "queue_full";
    case RefusalReason::WaitTooLong:
      return "wait_too_long";
    case RefusalReason::DeadlinePassed:
      return "deadline_passed";
    case RefusalReason::Displaced:
      return "displaced";
    case RefusalReason::NoRoute:
      return "no_route";
    case RefusalReason::NoEndpoint:
      return "no_endpoint";
    case RefusalReason::Stopping:
      return "stopping";
    case RefusalReason::NotReady:
      return "not_ready";
  }
  return "other";
}

}  // namespace cometstand::proxy
