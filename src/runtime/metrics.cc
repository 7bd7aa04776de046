#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>

#include "base/invariant.h"
#include "runtime/metric_family_builder.h"

namespace geranium {
namespace {

using Labels = MetricFamilyBuilder::Labels;

void AddInvariantMetrics(MetricFamilyBuilder& builder) {
  const InvariantMonitor& monitor = InvariantMonitor::Global();
  const auto for_each_invariant = [&](const auto& add) {
    for (std::size_t i = 0; i < InvariantMonitor::kInvariantCount; ++i) {
      const auto invariant = static_cast<Invariant>(i);
      add(invariant, Labels{{"invariant", std::string(Name(invariant))}});
    }
  };
  for_each_invariant([&](Invariant invariant, const Labels& labels) {
    builder.Counter("geranium_invariant_checks_total",
                    "Checks of each invariant",
                    Count(monitor.checks(invariant)), labels);
  });
  for_each_invariant([&](Invariant invariant, const Labels& labels) {
    builder.Counter("geranium_invariant_violations_total",
                    "Failed checks of each invariant",
                    Count(monitor.violations(invariant)), labels);
  });
}

void AddDispatcherMetrics(MetricFamilyBuilder& builder,
                          const DispatcherCounters& counts) {
  builder.Counter("geranium_submissions_total", "Submissions received",
                  Count(counts.submissions));
  builder.Counter("geranium_submissions_refused_total",
                  "Submissions refused at admission", Count(counts.refused));
  builder.Counter("geranium_answers_total", "Answers to submissions by outcome",
                  Count(counts.answers_complete), {{"state", "complete"}});
  builder.Counter("geranium_answers_total", "Answers to submissions by outcome",
                  Count(counts.answers_failed), {{"state", "failed"}});
  builder.Counter("geranium_offers_total", "Offers sent to workers",
                  Count(counts.offers));
  builder.Counter("geranium_grants_total", "Grants sent to workers",
                  Count(counts.grants));
  builder.Counter("geranium_results_total", "Results received",
                  Count(counts.results));
  builder.Counter("geranium_run_seconds_total",
                  "Backend run time reported in results, in seconds",
                  Count(counts.run_ms) / 1000);
  builder.Counter("geranium_late_results_total",
                  "Results for attempts that were already closed",
                  Count(counts.late_results));
  builder.Counter("geranium_not_started_total",
                  "Attempts that a worker returned without a start",
                  Count(counts.not_started));
  builder.Counter("geranium_withdrawn_total", "Attempts revoked from workers",
                  Count(counts.withdrawn));
  builder.Counter("geranium_hedges_total",
                  "Second attempts at slow idempotent requests",
                  Count(counts.hedges));
  builder.Counter("geranium_retries_total",
                  "Retries of failed idempotent requests",
                  Count(counts.retries));
  builder.Counter("geranium_in_doubt_total",
                  "Grants abandoned without a result; the task may have run",
                  Count(counts.in_doubt));
  builder.Counter("geranium_task_messages_sent_total",
                  "Messages about tasks sent to workers",
                  Count(counts.messages_sent));
  builder.Counter("geranium_task_messages_received_total",
                  "Messages about tasks received from workers",
                  Count(counts.messages_received));
  builder.Counter("geranium_task_messages_wasted_total",
                  "Messages about attempts that led to no counted start",
                  Count(counts.wasted_messages));
}

}  // namespace

MetricFamilies EntryMetrics(const EntryNode& node, const PeerLinks& links,
                            TimePoint now) {
  MetricFamilyBuilder builder;
  const Dispatcher& dispatcher = node.dispatcher();
  AddDispatcherMetrics(builder, dispatcher.counters());
  builder.Gauge("geranium_open_jobs", "Submissions not answered yet",
                Count(dispatcher.open_jobs()));
  builder.Gauge("geranium_waiting_tasks", "Tasks queued at the entry",
                Count(dispatcher.waiting_tasks()));
  builder.Gauge("geranium_workers", "Workers known",
                Count(dispatcher.workers().workers().size()));
  builder.Gauge("geranium_keys", "Idempotency keys stored",
                Count(node.keys().size()));
  builder.Counter("geranium_claim_appends_total",
                  "Appends to the claims stream", Count(node.keys().appends()));
  builder.Gauge("geranium_configuration_version",
                "Configuration version in effect",
                static_cast<double>(node.configuration().version().value()));
  builder.Gauge("geranium_configuration_fresh",
                "1 if the configuration in effect is confirmed, else 0",
                node.IsFresh(now) ? 1 : 0);
  AddInvariantMetrics(builder);
  AddProcessMetrics(builder, links);
  return builder.Take();
}

MetricFamilies AgentMetrics(const AgentNode& node, const PeerLinks& links,
                            TimePoint now) {
  MetricFamilyBuilder builder;
  const AgentCounters& counts = node.counters();
  builder.Counter("geranium_agent_offers_total", "Offers received",
                  Count(counts.offers));
  builder.Counter("geranium_agent_readies_total", "Slots reserved for an offer",
                  Count(counts.readies));
  builder.Counter("geranium_agent_starts_total",
                  "Calls to the backend server started", Count(counts.starts));
  builder.Counter("geranium_agent_results_total", "Results produced",
                  Count(counts.results));
  builder.Counter("geranium_agent_not_started_total",
                  "Attempts returned without a start",
                  Count(counts.not_started));
  builder.Counter("geranium_agent_late_grants_total",
                  "Grants received too late to start",
                  Count(counts.late_grants));
  builder.Counter("geranium_agent_duplicates_total",
                  "Duplicate offers and grants received",
                  Count(counts.duplicates));
  const WorkerLoad load = node.Load(std::nullopt, now);
  builder.Gauge("geranium_agent_running", "Slots in use", load.running);
  builder.Gauge("geranium_agent_queued", "Offers queued", load.queued);
  builder.Gauge("geranium_agent_backend_health",
                "Backend server: 0 answering, 1 quiet, 2 failing",
                static_cast<double>(load.health));
  builder.Gauge(
      "geranium_configuration_version", "Configuration version in effect",
      static_cast<double>(node.gate().configuration().version().value()));
  builder.Gauge("geranium_configuration_fresh",
                "1 if the configuration in effect is confirmed, else 0",
                node.gate().IsFresh(now) ? 1 : 0);
  AddInvariantMetrics(builder);
  AddProcessMetrics(builder, links);
  return builder.Take();
}

std::string MetricsText(const MetricFamilies& families) {
  return prometheus::TextSerializer().Serialize(families);
}

AnswerTimes::AnswerTimes() {
  const prometheus::Histogram::BucketBoundaries bounds{
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
  auto& family = prometheus::BuildHistogram()
                     .Name("geranium_answer_seconds")
                     .Help("Time from a submission to its answer in seconds")
                     .Register(registry_);
  request_seconds_ = &family.Add({{"kind", "request"}}, bounds);
  job_seconds_ = &family.Add({{"kind", "job"}}, bounds);
}

void AnswerTimes::Observe(SubmissionKind kind, double seconds) {
  (kind == SubmissionKind::kRequest ? request_seconds_ : job_seconds_)
      ->Observe(seconds);
}

}  // namespace geranium
