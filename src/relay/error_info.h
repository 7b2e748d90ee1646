#pragma once

#include "runtime/error_info.h"

namespace cometstand::relay {

using runtime::errorInfo;
using runtime::makeRefusal;
using runtime::networkAddresses;

}  // namespace cometstand::relay
