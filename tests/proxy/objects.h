#pragma once

#include "rehearsal/bench/configuration_objects.h"

namespace cometstand::proxy {

using rehearsal::makeObject;
using rehearsal::makeRecord;
using rehearsal::makeRoute;
using rehearsal::makeSecret;
using rehearsal::makeService;
using rehearsal::RouteEdit;

}  // namespace cometstand::proxy
