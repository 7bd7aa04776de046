#include "entry/placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "entry/placement_cost.h"

namespace geranium {
namespace {

constexpr double kEpsilon = 1e-6;

struct SpeedSample {
  double slowness = 1;
  std::uint32_t speed_runs = 0;
};

}  // namespace

// Running urgent tasks use up the reserve.
double Placement::ReservedCpu(const KnownWorker& worker, int priority) const {
  if (priority == kMostUrgentPriority) return 0;
  const double reserved = urgent_reserve_ * worker.card->capacity.cpu;
  return std::max(0.0, reserved - worker.report.urgent_cpu);
}

// Whole tasks only: where none fits, an urgent task waits at the entry for the
// first worker that has room.
double Placement::UrgentAheadCpu(const KnownWorker& worker, double task_cpu,
                                 int priority) const {
  if (priority != kMostUrgentPriority || task_cpu <= 0) return 0;
  const double limit = options_.urgent_ahead * worker.card->capacity.cpu;
  return std::floor(limit / task_cpu) * task_cpu;
}

std::uint32_t Placement::CountTasksOn(const KnownWorker& worker,
                                      const PlacementRequest& request) {
  const auto& open_at = request.job->steps[request.step].open_at;
  const auto found = open_at.find(worker.agent);
  return found == open_at.end() ? 0 : found->second;
}

bool Placement::IsOutOfService(const KnownWorker& worker) const {
  return table_ != nullptr && table_->IsOutOfService(worker.card->data_centre);
}

bool Placement::IsEligible(const KnownWorker& worker,
                           const PlacementRequest& request,
                           TimePoint now) const {
  if (!workers_.TakesOrders(worker, now)) return false;
  const WorkerCard& card = *worker.card;
  const Route& route = request.job->route;
  if (card.service != route.service || !card.previous_runs_ended) return false;
  if (!isolation_.MayRun(worker, route, request.is_crash_suspect)) return false;
  if (IsOutOfService(worker)) return false;
  const StepSpec& step = request.spec();
  if (!step.required_label.empty() && !worker.HasLabel(step.required_label)) {
    return false;
  }
  const int priority = request.priority();
  const double usable = worker.FreeCpu(priority) -
                        ReservedCpu(worker, priority) +
                        UrgentAheadCpu(worker, step.size.cpu, priority);
  if (usable + kEpsilon < step.size.cpu ||
      worker.report.free.memory_mb < step.size.memory_mb ||
      worker.report.free.accelerators < step.size.accelerators) {
    return false;
  }
  if (workers_.IsOnProbation(worker) && now < worker.next_probe) return false;
  return step.max_per_worker == 0 ||
         CountTasksOn(worker, request) < step.max_per_worker;
}

// A task runs longer outside its data's rack, so it must not take the capacity
// of tasks with data in the worker's rack, which gain nothing in return.
bool Placement::MayPlaceRemote(const KnownWorker& worker,
                               const PlacementRequest& request) const {
  const double left =
      worker.FreeCpu(request.priority()) - request.spec().size.cpu;
  return left >= options_.local_reserve * worker.card->capacity.cpu;
}

bool Placement::IsInDataRack(const KnownWorker& worker,
                             const PlacementRequest& request,
                             TimePoint now) const {
  return workers_.TakesOrders(worker, now) && !workers_.IsOnProbation(worker) &&
         worker.card->service == request.job->route.service &&
         worker.IsLocalTo(request.spec()) && !IsOutOfService(worker);
}

// True if a worker in the data's rack takes orders, even if it is full now.
bool Placement::HasLocalWorker(const PlacementRequest& request,
                               TimePoint now) const {
  return std::any_of(workers_.workers().begin(), workers_.workers().end(),
                     [&](const auto& item) {
                       return IsInDataRack(item.second, request, now);
                     });
}

void Placement::BeginPass(bool lacks_room) {
  lacks_room_ = lacks_room;
  cores_waiting_.clear();
}

void Placement::Update(TimePoint now) {
  if (!options_.by_speed) return;
  std::vector<SpeedSample> samples;
  for (const auto& [agent, worker] : workers_.workers()) {
    if (!workers_.TakesOrders(worker, now)) continue;
    samples.push_back({worker.report.slowness, worker.report.speed_runs});
  }
  run_times_.Update(samples);
}

// Steps that follow need the rest of the time until the objective.
Duration Placement::TimeLeft(const PlacementRequest& request,
                             TimePoint now) const {
  return request.job->deadlines.objective - now -
         request.job->steps[request.step].time_after;
}

Duration Placement::MedianRunTime(const StepSpec& step) const {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(step.estimate.ms()) * run_times_.median()));
}

double Placement::RelativeRunTime(const KnownWorker& worker) const {
  return run_times_.RelativeRunTime(worker.report.slowness,
                                    worker.report.speed_runs);
}

double Placement::Cost(const KnownWorker& worker,
                       const PlacementRequest& request, TimePoint now) const {
  const WorkerCard& card = *worker.card;
  const StepSpec& step = request.spec();
  PlacementCostInputs inputs;
  inputs.estimate = MedianRunTime(step);
  inputs.relative_run_time = RelativeRunTime(worker);
  inputs.range = run_times_.range();
  inputs.locality_factor =
      worker.IsLocalTo(step) ? 1 : options_.cross_rack_factor;
  inputs.used =
      1 - worker.FreeCpu(request.priority()) / std::max(card.capacity.cpu, 1.0);
  inputs.time_left = TimeLeft(request, now);
  inputs.other_data_centre = card.data_centre != options_.data_centre;
  inputs.avoid = request.state().avoid_worker == card.id;
  return PlacementCost(inputs);
}

// A task asks for a place near its data from its job's submission on; where
// earlier steps delayed it, the wait is cut short rather than repeated.
bool Placement::IsWaitingWorthwhile(const KnownWorker& elsewhere,
                                    const PlacementRequest& request,
                                    TimePoint now) const {
  const StepSpec& step = request.spec();
  std::vector<RackWorker> rack;
  for (const auto& [agent, worker] : workers_.workers()) {
    if (!IsInDataRack(worker, request, now)) continue;
    rack.push_back({worker.report.next_end, now - worker.reported_at,
                    worker.card->capacity.cpu, worker.report.entries});
  }
  RackQueue queue;
  queue.mean_estimate = MedianRunTime(step);
  queue.task_cores = step.size.cpu;
  const auto ahead = cores_waiting_.find(step.data_rack);
  if (ahead != cores_waiting_.end()) queue.cores_ahead = ahead->second;
  LocalityWaitInputs inputs;
  inputs.estimate = queue.mean_estimate;
  inputs.cross_rack_factor = options_.cross_rack_factor;
  inputs.relative_run_time = RelativeRunTime(elsewhere);
  inputs.expected_wait = ExpectedLocalWait(rack, queue);
  inputs.waited = now - request.job->submitted;
  inputs.time_left = TimeLeft(request, now) - queue.mean_estimate;
  inputs.others_wait = lacks_room_;
  return locality_wait_.WaitUntil(inputs, now).has_value();
}

Placement::Choice Placement::Choose(const PlacementRequest& request,
                                    TimePoint now) {
  const StepSpec& step = request.spec();
  const bool has_data = !step.data_rack.empty();
  const bool has_local_worker = has_data && HasLocalWorker(request, now);
  KnownWorker* best = nullptr;
  double best_cost = 0;
  bool has_local_room = false;
  for (auto& [agent, worker] : workers_.workers()) {
    if (!IsEligible(worker, request, now)) continue;
    const bool is_local = !has_data || worker.IsLocalTo(step);
    has_local_room = has_local_room || is_local;
    if (has_local_worker && !locality_wait_.is_used() && !is_local &&
        !MayPlaceRemote(worker, request)) {
      continue;
    }
    const double cost = Cost(worker, request, now);
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
  }
  if (best == nullptr) return {Outcome::kNoRoom, nullptr};
  if (!has_data) return {Outcome::kPlaced, best};
  if (has_local_worker && !has_local_room && locality_wait_.is_used() &&
      IsWaitingWorthwhile(*best, request, now)) {
    ++counters_.locality_waits;
    cores_waiting_[step.data_rack] +=
        step.size.cpu *
        static_cast<double>(request.job->steps[request.step].waiting);
    return {Outcome::kWaitsForRack, nullptr};
  }
  ++(best->IsLocalTo(step) ? counters_.local : counters_.remote);
  return {Outcome::kPlaced, best};
}

bool Placement::HasRoom(const PlacementRequest& request, TimePoint now) const {
  return std::any_of(
      workers_.workers().begin(), workers_.workers().end(),
      [&](const auto& item) { return IsEligible(item.second, request, now); });
}

Duration Placement::EstimateAt(const KnownWorker& worker,
                               const StepSpec& step) const {
  if (worker.IsLocalTo(step)) return step.estimate;
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(step.estimate.ms()) * options_.cross_rack_factor));
}

}  // namespace geranium
