#pragma once

#include "operator/command.h"
#include "store/evacuation_service.h"
#include "store/replies.h"

namespace cometstand::store {

/// Executes an operator's command to evacuate a zone or to end its evacuation. The requester gets exactly one
/// reply, during the call or later.
void runEvacuationCommand(StoreContext& context, EvacuationService& service, const Requester& requester,
                          const wire::EvacuationOrderT& order, TimePoint now);

/// @return a table of all zones that have ever been evacuated, with their current state.
wire::CommandReplyT showEvacuations(const StateMachine& state);

}  // namespace cometstand::store
