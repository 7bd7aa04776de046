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

/// The decisions' counts as metric families (docs/METRICS.md lists them).
MetricFamilies EntryMetrics(const EntryNode& node, const PeerLinks& links,
                            TimePoint now);
MetricFamilies AgentMetrics(const AgentNode& node, const PeerLinks& links,
                            TimePoint now);

/// The families in Prometheus text form.
std::string MetricsText(const MetricFamilies& families);

/// How long callers waited, by the kind of submission.
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
