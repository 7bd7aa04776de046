#ifndef GERANIUM_RUNTIME_METRICS_H_
#define GERANIUM_RUNTIME_METRICS_H_

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

#include "entry/entry_node.h"
#include "runtime/peer_links.h"
#include "worker/agent_node.h"

namespace geranium {

using MetricFamilies = std::vector<prometheus::MetricFamily>;

/// Counters and gauges of a process as metric families (docs/METRICS.md).
MetricFamilies EntryMetrics(const EntryNode& node, const PeerLinks& links,
                            TimePoint now);
MetricFamilies AgentMetrics(const AgentNode& node, const PeerLinks& links,
                            TimePoint now);

/// The families in the Prometheus text format.
std::string MetricsText(const MetricFamilies& families);

/// Histogram of the time from submission to answer, by kind of submission.
class AnswerTimes {
 public:
  AnswerTimes();

  void Observe(SubmissionKind kind, double seconds);
  MetricFamilies Collect() const { return registry_.Collect(); }

 private:
  prometheus::Registry registry_;
  prometheus::Histogram* request_seconds_;
  prometheus::Histogram* job_seconds_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_METRICS_H_
