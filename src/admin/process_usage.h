#pragma once

#include "admin/metric_set.h"

namespace cometstand::admin {

/// Adds this process's processor time and resident memory, under the names that Prometheus clients share.
void addProcessUsage(MetricSet& metrics);

}  // namespace cometstand::admin
