#pragma once

#include <string>

#include "admin/metric_set.h"

namespace cometstand::admin {

/// An answer to "is it so?", with the reason if it is not.
struct Health {
  bool ok = true;
  /// One sentence for operators: what is missing and what helps. Empty if `ok`.
  std::string reason;
};

/// What one program tells on its admin pages. Each call tells the state at that moment; all calls happen on
/// the io_context's one thread.
class AdminPages {
 public:
  virtual ~AdminPages() = default;

  /// `GET /live`: false if only a restart helps.
  virtual Health liveness() const { return {}; }

  /// `GET /ready`: true only if the process can do its whole job now.
  virtual Health readiness() const = 0;

  /// `GET /metrics`: adds the program's own figures.
  virtual void addMetrics(MetricSet& metrics) const = 0;
};

}  // namespace cometstand::admin
