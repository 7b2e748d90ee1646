#include "admin/metric_set.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <utility>

namespace cometstand::admin {

void MetricSet::counter(const std::string& name, const std::string& help, double value,
                        std::vector<Label> labels) {
  add(name, help, prometheus::MetricType::Counter, std::move(labels)).counter.value = value;
}

void MetricSet::gauge(const std::string& name, const std::string& help, double value,
                      std::vector<Label> labels) {
  add(name, help, prometheus::MetricType::Gauge, std::move(labels)).gauge.value = value;
}

void MetricSet::histogram(const std::string& name, const std::string& help, const LatencyHistogram& values,
                          std::vector<Label> labels) {
  const auto seconds_of = [](Duration time) { return std::chrono::duration<double>(time).count(); };
  auto& target = add(name, help, prometheus::MetricType::Histogram, std::move(labels)).histogram;
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < values.counts().size(); ++i) {
    count += values.counts().at(i);
    const bool is_last = i == LatencyHistogram::kBounds.size();
    const double bound =
        is_last ? std::numeric_limits<double>::infinity() : seconds_of(LatencyHistogram::kBounds.at(i));
    target.bucket.push_back({count, bound});
  }
  target.sample_count = count;
  target.sample_sum = seconds_of(values.sum());
}

void MetricSet::addAll(std::vector<prometheus::MetricFamily> families) {
  std::move(families.begin(), families.end(), std::back_inserter(families_));
}

std::string MetricSet::toText() const { return prometheus::TextSerializer().Serialize(families_); }

prometheus::ClientMetric& MetricSet::add(const std::string& name, const std::string& help,
                                         prometheus::MetricType type, std::vector<Label> labels) {
  auto family = std::find_if(families_.begin(), families_.end(),
                             [&](const prometheus::MetricFamily& one) { return one.name == name; });
  if (family == families_.end()) family = families_.insert(families_.end(), {name, help, type, {}});
  auto& metric = family->metric.emplace_back();
  metric.label = std::move(labels);
  return metric;
}

}  // namespace cometstand::admin
