#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "entry/step_scheduler.h"

namespace geranium {
namespace {

/// A worker on probation (failing or slow) gets one run per interval.
constexpr Duration kProbeInterval{1000};
/// A worker this many times slower than the median counts as slow. With
/// estimates off by 40 %, the average of a few runs stays well below it.
constexpr double kSlowFactor = 2.0;
/// Weight of a worker's load against the run time there: of equally fast
/// workers the least loaded is chosen.
constexpr double kLoadWeight = 0.3;
/// Added cost of a worker in another data centre: traffic there costs more.
constexpr double kCrossDataCentreCost = 0.05;
/// An order that finds its worker full queues there for at most this percentage
/// of its estimate: less than half of the slack within a job's objective, and
/// by then another worker may have free capacity.
constexpr std::int64_t kQueueWaitPercent = 40;
/// About the time until the next task of a full worker ends.
constexpr Duration kMinQueueWait{20};
constexpr Duration kMaxQueueWait{250};
constexpr double kEpsilon = 1e-6;

}  // namespace

void StepScheduler::PlaceWaitingTasks(TimePoint now) {
  UnplacedSizes unplaced;
  std::vector<QueueKey> emptied;
  for (const QueueKey& key : queue_) {
    Job& job = jobs_.at(key.number);
    if (job.held) continue;
    PlacementSummary placed;
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
      PlaceStep(key.number, job, s, unplaced, placed, now);
    }
    if (!placed.tasks.empty()) LogPlaced(job, placed, now);
    if (job.waiting == 0) emptied.push_back(key);
  }
  for (const QueueKey& key : emptied) queue_.erase(key);
}

// Where a task found no worker, no larger one of its kind will in this pass:
// with a long queue, most tasks need no search.
void StepScheduler::PlaceStep(JobNumber number, Job& job, std::size_t index,
                              UnplacedSizes& unplaced, PlacementSummary& placed,
                              TimePoint now) {
  Step& step = job.steps[index];
  const StepSpec& spec = job.spec.steps[index];
  if (step.waiting == 0) return;
  const std::tuple kind(job.route.service, job.route.priority,
                        spec.required_label, spec.data_rack,
                        crash_history_.IsIsolated(job.route.name));
  const auto too_large = unplaced.find(kind);
  if (too_large != unplaced.end() && spec.size.CanFit(too_large->second)) {
    return;
  }
  for (std::size_t t = 0; t < step.tasks.size() && step.waiting > 0; ++t) {
    if (step.tasks[t].state != TaskState::kWaiting) continue;
    if (PlaceTask(number, job, index, t, placed, now)) continue;
    if (CrashesAtStart(job, index, t) > 0) continue;
    if (spec.max_per_worker == 0) unplaced[kind] = spec.size;
    return;
  }
}

bool StepScheduler::PlaceTask(JobNumber number, Job& job, std::size_t step,
                              std::size_t task, PlacementSummary& placed,
                              TimePoint now) {
  PlacementRequest request;
  request.job = &job;
  request.step = &job.spec.steps[step];
  request.step_state = &job.steps[step];
  request.step_index = step;
  request.avoid_worker = &job.steps[step].tasks[task].avoid_worker;
  request.is_crash_suspect = CrashesAtStart(job, step, task) > 0;
  Worker* worker = ChooseWorker(request, now);
  if (worker == nullptr) return false;
  ++placed.tasks[worker->card->id.value()];
  placed.oldest_report =
      std::max(placed.oldest_report, now - worker->reported_at);
  SendOrder(number, job, step, task, *worker, now);
  return true;
}

void StepScheduler::LogPlaced(const Job& job, const PlacementSummary& placed,
                              TimePoint now) {
  std::string workers;
  for (const auto& [worker, tasks] : placed.tasks) {
    workers +=
        (workers.empty() ? "" : ",") + worker + ":" + std::to_string(tasks);
  }
  Log(LogLevel::kInfo, "job_placed",
      {{"job", job.spec.id.value()},
       {"workers", workers},
       {"waiting_tasks", std::to_string(job.waiting)},
       {"age_ms", std::to_string((now - job.submitted).ms())},
       {"oldest_report_ms", std::to_string(placed.oldest_report.ms())}});
}

// Cores available to an order of this priority: those free, less queued orders
// that are as urgent or more, and less orders that the report predates.
double StepScheduler::FreeCpu(const Worker& worker, int priority) {
  double queued = 0;
  const auto& queue = worker.report.queued_cpu;
  for (std::size_t rank = 0; rank < queue.size(); ++rank) {
    if (static_cast<int>(rank) <= priority) queued += queue[rank];
  }
  const double unreported = worker.cpu_sent - worker.report.cpu_received;
  return worker.report.free.cpu - queued - unreported;
}

// Running urgent tasks use up the reserve.
double StepScheduler::ReservedCpu(const Worker& worker, int priority) const {
  if (priority == kMostUrgentPriority) return 0;
  const double reserved = reserved_fraction_ * worker.card->capacity.cpu;
  return std::max(0.0, reserved - worker.report.urgent_cpu);
}

// Whole tasks only: where none fits, an urgent task waits at the entry for the
// first worker that has room.
double StepScheduler::UrgentAheadCpu(const Worker& worker, double task_cpu,
                                     int priority) const {
  if (priority != kMostUrgentPriority || task_cpu <= 0) return 0;
  const double limit = options_.urgent_ahead * worker.card->capacity.cpu;
  return std::floor(limit / task_cpu) * task_cpu;
}

std::uint32_t StepScheduler::CountTasksOn(const PlacementRequest& request,
                                          const Worker& worker) const {
  std::uint32_t count = 0;
  for (const StepTask& task : request.step_state->tasks) {
    if (task.attempt && worker.attempts.contains(*task.attempt)) ++count;
  }
  return count;
}

bool StepScheduler::IsEligible(const Worker& worker,
                               const PlacementRequest& request,
                               TimePoint now) const {
  if (!worker.link || !worker.card || !worker.report.accepting) return false;
  const WorkerCard& card = *worker.card;
  if (card.service != request.job->route.service || !card.previous_runs_ended)
    return false;
  if (now - worker.last_heard > kWorkerStaleTimeout) return false;
  if (!MayRunIsolated(worker, request)) return false;
  if (table_ != nullptr && table_->IsOutOfService(card.data_centre))
    return false;
  const StepSpec& step = *request.step;
  if (!step.required_label.empty() && !HasLabel(card, step.required_label)) {
    return false;
  }
  if (!IsLocal(card, step) && request.has_local_worker &&
      !MayPlaceRemote(worker, request)) {
    return false;
  }
  const int priority = request.job->route.priority;
  const double usable = FreeCpu(worker, priority) -
                        ReservedCpu(worker, priority) +
                        UrgentAheadCpu(worker, step.size.cpu, priority);
  if (usable + kEpsilon < step.size.cpu ||
      worker.report.free.memory_mb < step.size.memory_mb ||
      worker.report.free.accelerators < step.size.accelerators) {
    return false;
  }
  if (IsOnProbation(worker) && now < worker.next_probe) return false;
  return step.max_per_worker == 0 ||
         CountTasksOn(request, worker) < step.max_per_worker;
}

bool StepScheduler::HasLabel(const WorkerCard& card, const std::string& label) {
  return std::find(card.labels.begin(), card.labels.end(), label) !=
         card.labels.end();
}

bool StepScheduler::IsLocal(const WorkerCard& card, const StepSpec& step) {
  return step.data_rack.empty() || HasLabel(card, step.data_rack);
}

// A task runs longer outside its data's rack, so it must not take the capacity
// of tasks with data in the worker's rack, which gain nothing in return.
bool StepScheduler::MayPlaceRemote(const Worker& worker,
                                   const PlacementRequest& request) const {
  const double left =
      FreeCpu(worker, request.job->route.priority) - request.step->size.cpu;
  return left >= options_.local_reserve * worker.card->capacity.cpu;
}

// Slow workers count too: one delays every job of which it gets a task.
bool StepScheduler::IsOnProbation(const Worker& worker) const {
  return worker.report.failing ||
         worker.report.slowness > kSlowFactor * std::max(median_slowness_, 0.5);
}

double StepScheduler::MedianSlowness() const {
  std::vector<double> values;
  for (const auto& [agent, worker] : workers_) {
    if (worker.report.accepting) values.push_back(worker.report.slowness);
  }
  if (values.empty()) return 1;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double StepScheduler::Cost(const Worker& worker,
                           const PlacementRequest& request) const {
  const WorkerCard& card = *worker.card;
  const std::string& rack = request.step->data_rack;
  const bool is_local =
      rack.empty() || std::find(card.labels.begin(), card.labels.end(), rack) !=
                          card.labels.end();
  const double time = is_local ? 1 : options_.cross_rack_factor;
  const double used = 1 - FreeCpu(worker, request.job->route.priority) /
                              std::max(card.capacity.cpu, 1.0);
  double cost = time * (1 + kLoadWeight * used);
  if (card.data_centre != options_.data_centre) cost += kCrossDataCentreCost;
  if (*request.avoid_worker && **request.avoid_worker == card.id) cost += 1;
  return cost;
}

// True if a worker in the data's rack takes orders, even if it is full now.
bool StepScheduler::HasLocalWorker(const PlacementRequest& request,
                                   TimePoint now) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& item) {
    const Worker& worker = item.second;
    return worker.link && worker.card && worker.report.accepting &&
           now - worker.last_heard <= kWorkerStaleTimeout &&
           !IsOnProbation(worker) &&
           worker.card->service == request.job->route.service &&
           IsLocal(*worker.card, *request.step) &&
           (table_ == nullptr ||
            !table_->IsOutOfService(worker.card->data_centre));
  });
}

StepScheduler::Worker* StepScheduler::ChooseWorker(PlacementRequest request,
                                                   TimePoint now) {
  request.has_local_worker =
      !request.step->data_rack.empty() && HasLocalWorker(request, now);
  Worker* best = nullptr;
  double best_cost = 0;
  for (auto& [agent, worker] : workers_) {
    if (!IsEligible(worker, request, now)) continue;
    const double cost = Cost(worker, request);
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
  }
  return best;
}

Duration StepScheduler::MaxQueueWait(Duration estimate) {
  return std::clamp(estimate * kQueueWaitPercent / 100, kMinQueueWait,
                    kMaxQueueWait);
}

void StepScheduler::SendOrder(JobNumber number, Job& job, std::size_t step,
                              std::size_t task, Worker& worker, TimePoint now) {
  StepTask& target = job.steps[step].tasks[task];
  const StepSpec& spec = job.spec.steps[step];
  const AttemptId id{options_.incarnation, next_attempt_++};
  ++target.run;
  target.state = TaskState::kDispatched;
  target.attempt = id;
  --job.steps[step].waiting;
  --job.waiting;
  ++job.open_attempts;
  ++job.orders;
  job.may_have_run = true;
  attempts_[id] = Attempt{number, step, task, worker.agent, now};
  worker.attempts.insert(id);
  worker.cpu_sent += spec.size.cpu;
  if (IsOnProbation(worker)) worker.next_probe = now + kProbeInterval;
  ++counters_.orders;
  const bool is_local = IsLocal(*worker.card, spec);
  StartTask order;
  order.attempt = id;
  order.run.task = NameOf(job, step, task);
  order.run.run = target.run;
  order.route = job.route.name;
  order.payload = job.spec.payload;
  order.size = spec.size;
  order.priority = job.route.priority;
  order.estimate = is_local ? spec.estimate
                            : Duration(static_cast<std::int64_t>(
                                  static_cast<double>(spec.estimate.ms()) *
                                  options_.cross_rack_factor));
  order.max_wait = MaxQueueWait(order.estimate);
  Send(*worker.link, std::move(order));
}

}  // namespace geranium
