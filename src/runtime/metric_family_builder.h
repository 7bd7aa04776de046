#ifndef GERANIUM_RUNTIME_METRIC_FAMILY_BUILDER_H_
#define GERANIUM_RUNTIME_METRIC_FAMILY_BUILDER_H_

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "runtime/peer_links.h"

namespace geranium {

/// Builds Prometheus metric families.
class MetricFamilyBuilder {
 public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  void Counter(const std::string& name, const std::string& help, double value,
               const Labels& labels = {}) {
    prometheus::ClientMetric& metric =
        Add(name, help, prometheus::MetricType::Counter, labels);
    metric.counter.value = value;
  }

  void Gauge(const std::string& name, const std::string& help, double value,
             const Labels& labels = {}) {
    prometheus::ClientMetric& metric =
        Add(name, help, prometheus::MetricType::Gauge, labels);
    metric.gauge.value = value;
  }

  std::vector<prometheus::MetricFamily> Take() { return std::move(families_); }

 private:
  prometheus::ClientMetric& Add(const std::string& name,
                                const std::string& help,
                                prometheus::MetricType type,
                                const Labels& labels) {
    if (families_.empty() || families_.back().name != name) {
      families_.push_back({name, help, type, {}});
    }
    prometheus::ClientMetric& metric = families_.back().metric.emplace_back();
    for (const auto& [key, value] : labels)
      metric.label.push_back({key, value});
    return metric;
  }

  std::vector<prometheus::MetricFamily> families_;
};

inline double Count(std::uint64_t value) { return static_cast<double>(value); }

/// Adds the metrics of every process: CPU time, memory, frames and bytes sent.
void AddProcessMetrics(MetricFamilyBuilder& builder, const PeerLinks& links);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_METRIC_FAMILY_BUILDER_H_
