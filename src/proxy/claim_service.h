#pragma once

#include "proxy/identifiers.h"
#include "schema/control_generated.h"

namespace cometstand::proxy {

/// Where the data path's claims and sightings go; the control side implements it. Each takeClaim() is
/// answered exactly once through HttpServer::onClaimReply(), never from within takeClaim() itself.
class ClaimService {
 public:
  virtual ~ClaimService() = default;
  virtual void takeClaim(RequestId request, const wire::ClaimRequestT& claim) = 0;
  virtual void finishClaim(const wire::ClaimFinishT& finish) = 0;
  /// An endpoint said on a request that it leaves.
  virtual void reportSighting(const wire::EndpointRecordT& /*record*/) {}
};

}  // namespace cometstand::proxy
