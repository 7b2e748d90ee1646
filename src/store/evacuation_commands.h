#pragma once

#include "operator/command.h"
#include "store/evacuation_service.h"
#include "store/replies.h"

namespace cometstand::store {

/// Carries out an operator's command for a zone. The asker gets exactly one reply, now or later.
void runEvacuationCommand(StoreContext& context, EvacuationService& service, const Asker& asker,
                          const wire::EvacuationOrderT& order, TimePoint now);

/// @return the zones that were ever evacuated, and how they stand.
wire::CommandReplyT showEvacuations(const StateMachine& state);

}  // namespace cometstand::store
