#pragma once

#include <memory>

#include "overload/memory_budget.h"
#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// Copies a request of another sidecar and charges it with the body that it announces. The charge lasts until
/// nothing holds the request any more: neither the reception of its body, the queue, nor the run at the
/// target.
/// @param budget nullptr counts nothing; else it must outlive the request.
/// @return nullptr if the budget has no room for it.
std::shared_ptr<wire::ForwardRequestT> chargeRequest(const wire::ForwardRequestT& request,
                                                     overload::MemoryBudget* budget);

}  // namespace cometstand::sidecar
