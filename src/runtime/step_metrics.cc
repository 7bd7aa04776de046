#include "runtime/step_metrics.h"

#include "runtime/metric_family_builder.h"

namespace geranium {
namespace {

void AddClientLimits(MetricFamilyBuilder& builder,
                     const ClientLimitCounts& limits) {
  for (const auto limit :
       {ClientLimit::kBody, ClientLimit::kPayload, ClientLimit::kOverhead,
        ClientLimit::kRequestMemory, ClientLimit::kMemoryShortage}) {
    builder.Counter("geranium_client_requests_refused_total",
                    "Requests refused at a limit on clients",
                    Count(limits[static_cast<int>(limit)]),
                    {{"limit", Name(limit)}});
  }
  for (const auto limit :
       {ClientLimit::kEvictedRequest, ClientLimit::kConnections}) {
    builder.Counter("geranium_client_connections_closed_total",
                    "Connections closed at a limit on clients",
                    Count(limits[static_cast<int>(limit)]),
                    {{"limit", Name(limit)}});
  }
}

}  // namespace

MetricFamilies StepEntryMetrics(const StepEntryNode& node,
                                const PeerLinks& links,
                                const ClientLimitCounts& limits,
                                TimePoint now) {
  MetricFamilyBuilder builder;
  const StepScheduler& scheduler = node.scheduler();
  const StepCounters& counts = scheduler.counters();
  builder.Counter("geranium_step_jobs_total", "Step jobs submitted",
                  Count(counts.submitted));
  const std::string answers = "geranium_step_answers_total";
  const std::string help = "Step jobs by kind of answer";
  builder.Counter(answers, help, Count(counts.completed),
                  {{"answer", "completed"}});
  builder.Counter(answers, help, Count(counts.failed), {{"answer", "failed"}});
  builder.Counter(answers, help, Count(counts.refused),
                  {{"answer", "refused"}});
  builder.Counter(answers, help, Count(counts.abandoned),
                  {{"answer", "abandoned"}});
  builder.Counter("geranium_step_refused_late_total",
                  "Late jobs refused before their start deadline",
                  Count(counts.refused_late));
  const PlacementCounters& placed = node.scheduler().placement_counters();
  const std::string near_data = "geranium_step_data_rack_total";
  const std::string near_data_help =
      "Tasks with data in a rack by where they were placed, and times that one "
      "was left waiting for its rack";
  builder.Counter(near_data, near_data_help, Count(placed.local),
                  {{"place", "local"}});
  builder.Counter(near_data, near_data_help, Count(placed.remote),
                  {{"place", "elsewhere"}});
  builder.Counter(near_data, near_data_help, Count(placed.locality_waits),
                  {{"place", "waiting"}});
  builder.Gauge("geranium_step_workers_uneven",
                "1 if the workers' speeds differ enough to place by them",
                node.scheduler().has_uneven_workers() ? 1 : 0);
  builder.Counter("geranium_step_cancelled_total",
                  "Step jobs cancelled by DELETE or by a caller's disconnect",
                  Count(counts.cancelled));
  builder.Counter("geranium_step_orders_total", "Orders sent to agents",
                  Count(counts.orders));
  builder.Counter("geranium_step_orders_returned_total",
                  "Orders that agents returned without a start",
                  Count(counts.returned));
  builder.Counter("geranium_step_runs_stopped_total",
                  "Runs that ended unfinished and were queued again",
                  Count(counts.stopped));
  builder.Counter("geranium_step_runs_lost_total",
                  "Runs abandoned because their agent was silent or replaced",
                  Count(counts.lost));
  builder.Counter("geranium_step_runs_crashed_total",
                  "Runs whose worker crashed", Count(counts.crashed));
  builder.Gauge("geranium_step_open_jobs", "Step jobs not answered yet",
                static_cast<double>(scheduler.open_jobs()));
  builder.Gauge("geranium_step_known_jobs",
                "Jobs remembered that this or another entry has or had, or "
                "that were cancelled",
                static_cast<double>(node.known_jobs()));
  builder.Counter("geranium_step_known_jobs_forgotten_total",
                  "Jobs forgotten before their time, as there were too many",
                  Count(node.known_jobs_forgotten()));
  builder.Gauge("geranium_step_accepting_workers", "Workers that accept orders",
                static_cast<double>(scheduler.accepting_workers(now)));
  builder.Gauge("geranium_route_table_version",
                "Version of the operator's route table",
                Count(node.table().version));
  AddClientLimits(builder, limits);
  AddProcessMetrics(builder, links);
  return builder.Take();
}

MetricFamilies RouteTableCopyMetrics(const RouteTableCopyCounters& counts) {
  MetricFamilyBuilder builder;
  builder.Counter("geranium_route_table_copies_written_total",
                  "Copies of the route table written to the store",
                  Count(counts.written));
  builder.Counter("geranium_route_table_copies_adopted_total",
                  "Copies of the route table adopted", Count(counts.adopted));
  const std::string failed = "geranium_route_table_copies_failed_total";
  const std::string help = "Copies of the route table not written or not read";
  builder.Counter(failed, help, Count(counts.failed_writes),
                  {{"call", "write"}});
  builder.Counter(failed, help, Count(counts.failed_reads), {{"call", "read"}});
  return builder.Take();
}

MetricFamilies StepAgentMetrics(const WorkerSession& session,
                                const PeerLinks& links,
                                const ClientLimitCounts& limits,
                                TimePoint now) {
  MetricFamilyBuilder builder;
  const SessionCounters& counts = session.counters();
  builder.Counter("geranium_session_orders_total",
                  "Orders received from entries", Count(counts.orders));
  builder.Counter("geranium_session_starts_total", "Starts sent to the worker",
                  Count(counts.starts));
  builder.Counter("geranium_session_stops_total", "Runs stopped",
                  Count(counts.stops));
  const std::string ends = "geranium_session_ends_total";
  const std::string help = "Runs by how they ended";
  builder.Counter(ends, help, Count(counts.done), {{"end", "done"}});
  builder.Counter(ends, help, Count(counts.failed), {{"end", "failed"}});
  builder.Counter("geranium_session_returned_total",
                  "Orders returned without a start", Count(counts.returned));
  builder.Counter("geranium_session_returned_for_memory_total",
                  "Orders returned for want of memory",
                  Count(counts.returned_for_memory));
  builder.Counter("geranium_session_in_doubt_total",
                  "Starts without a reply from the worker",
                  Count(counts.in_doubt));
  builder.Counter("geranium_session_stalled_total",
                  "Runs stopped for lack of progress", Count(counts.stalled));
  builder.Counter("geranium_session_moved_total",
                  "Runs stopped to be moved to a faster worker",
                  Count(counts.moved));
  builder.Counter("geranium_session_crashes_total", "Crashes of the worker",
                  Count(counts.crashes));
  builder.Counter("geranium_session_holds_total",
                  "Ended runs whose cores were reported to their entry only",
                  Count(counts.holds));
  builder.Counter("geranium_session_holds_expired_total",
                  "Holds that their entry did not claim in time",
                  Count(counts.holds_expired));
  builder.Gauge("geranium_session_cores_running",
                "CPU cores of tasks that run or may run", session.in_use().cpu);
  builder.Gauge("geranium_session_fresh",
                "1 if the worker accepts orders, else 0",
                session.IsAccepting(now) ? 1 : 0);
  AddClientLimits(builder, limits);
  AddProcessMetrics(builder, links);
  return builder.Take();
}

StepAnswerTimes::StepAnswerTimes()
    : family_(&prometheus::BuildHistogram()
                   .Name("geranium_step_answer_seconds")
                   .Help("Time from a step job to its answer in seconds")
                   .Register(registry_)) {
  const prometheus::Histogram::BucketBoundaries bounds{
      0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2.5, 5, 10};
  for (const StepAnswer answer :
       {StepAnswer::kCompleted, StepAnswer::kFailed, StepAnswer::kRefused,
        StepAnswer::kAbandoned}) {
    histograms_[answer] =
        &family_->Add({{"answer", std::string(Name(answer))}}, bounds);
  }
}

// Requests without a route or with an unsupported job count as refused.
void StepAnswerTimes::Observe(StepAnswer answer, Duration waited) {
  const auto found = histograms_.find(answer);
  prometheus::Histogram* histogram = found == histograms_.end()
                                         ? histograms_[StepAnswer::kRefused]
                                         : found->second;
  histogram->Observe(static_cast<double>(waited.ms()) / 1000);
}

}  // namespace geranium
