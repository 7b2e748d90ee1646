#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "schema/objects_generated.h"

namespace cometstand::checkers {

/// A view as a proxy put it in force: bare messages, so that no code of the product judges itself.
struct ObservedView {
  std::string node;
  std::uint64_t version = 0;
  std::vector<std::shared_ptr<const wire::ObjectT>> objects;
};

}  // namespace cometstand::checkers
