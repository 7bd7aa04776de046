#ifndef GERANIUM_RUNTIME_STEP_METRICS_H_
#define GERANIUM_RUNTIME_STEP_METRICS_H_

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

#include "base/clock.h"
#include "data_centre/route_table_copies.h"
#include "entry/step_entry_node.h"
#include "runtime/client_limits.h"
#include "runtime/metrics.h"
#include "runtime/peer_links.h"
#include "worker/worker_session.h"

namespace geranium {

/// Counters and gauges of a process as metric families (docs/METRICS.md).
MetricFamilies StepEntryMetrics(const StepEntryNode& node,
                                const PeerLinks& links,
                                const ClientLimitCounts& limits, TimePoint now);
MetricFamilies RouteTableCopyMetrics(const RouteTableCopyCounters& counts);
MetricFamilies StepAgentMetrics(const WorkerSession& session,
                                const PeerLinks& links,
                                const ClientLimitCounts& limits, TimePoint now);

/// Histogram of the time from submission to answer, by kind of answer.
class StepAnswerTimes {
 public:
  StepAnswerTimes();

  void Observe(StepAnswer answer, Duration waited);
  MetricFamilies Collect() const { return registry_.Collect(); }

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>* family_;
  std::map<StepAnswer, prometheus::Histogram*> histograms_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_STEP_METRICS_H_
