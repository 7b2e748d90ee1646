#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/latency_histogram.h"

namespace cometstand::admin {

/// One name and value that tells metrics of the same name apart. Never put secrets or tokens here.
using Label = prometheus::ClientMetric::Label;

/// The figures of one answer to `GET /metrics`, gathered anew for each. Names follow the Prometheus
/// conventions: `cometstand_<program>_<what>_<unit>`, counters end in `_total`, units are seconds and bytes.
class MetricSet {
 public:
  /// Adds a value that only rises while the process runs.
  /// @param help one sentence: what is counted. Metrics of one name share the first help text.
  void counter(const std::string& name, const std::string& help, double value,
               std::vector<Label> labels = {});

  /// Adds a value that goes up and down.
  void gauge(const std::string& name, const std::string& help, double value, std::vector<Label> labels = {});

  /// Adds durations by bucket; the name ends in `_seconds`.
  void histogram(const std::string& name, const std::string& help, const LatencyHistogram& values,
                 std::vector<Label> labels = {});

  /// Adds what a prometheus::Collectable collected, for example a registry with histograms.
  void addAll(std::vector<prometheus::MetricFamily> families);

  /// @return the set in the Prometheus text format.
  std::string toText() const;

 private:
  prometheus::ClientMetric& add(const std::string& name, const std::string& help, prometheus::MetricType type,
                                std::vector<Label> labels);

  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace cometstand::admin
