#include "entry/placement.h"

#include <algorithm>
#include <cmath>

namespace geranium {
namespace {

/// Weight of a worker's load against the run time there: of equally fast
/// workers the least loaded is chosen.
constexpr double kLoadWeight = 0.3;
/// Added cost of a worker in another data centre: traffic there costs more.
constexpr double kCrossDataCentreCost = 0.05;
constexpr double kEpsilon = 1e-6;

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
  std::uint32_t count = 0;
  for (const StepTask& task : request.job->steps[request.step].tasks) {
    if (task.attempt && worker.attempts.contains(*task.attempt)) ++count;
  }
  return count;
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

// True if a worker in the data's rack takes orders, even if it is full now.
bool Placement::HasLocalWorker(const PlacementRequest& request,
                               TimePoint now) const {
  return std::any_of(
      workers_.workers().begin(), workers_.workers().end(),
      [&](const auto& item) {
        const KnownWorker& worker = item.second;
        return workers_.TakesOrders(worker, now) &&
               !workers_.IsOnProbation(worker) &&
               worker.card->service == request.job->route.service &&
               worker.IsLocalTo(request.spec()) && !IsOutOfService(worker);
      });
}

double Placement::Cost(const KnownWorker& worker,
                       const PlacementRequest& request) const {
  const WorkerCard& card = *worker.card;
  const double time =
      worker.IsLocalTo(request.spec()) ? 1 : options_.cross_rack_factor;
  const double used =
      1 - worker.FreeCpu(request.priority()) / std::max(card.capacity.cpu, 1.0);
  double cost = time * (1 + kLoadWeight * used);
  if (card.data_centre != options_.data_centre) cost += kCrossDataCentreCost;
  if (request.state().avoid_worker == card.id) cost += 1;
  return cost;
}

KnownWorker* Placement::Choose(const PlacementRequest& request, TimePoint now) {
  const bool has_local_worker =
      !request.spec().data_rack.empty() && HasLocalWorker(request, now);
  KnownWorker* best = nullptr;
  double best_cost = 0;
  for (auto& [agent, worker] : workers_.workers()) {
    if (!IsEligible(worker, request, now)) continue;
    if (has_local_worker && !worker.IsLocalTo(request.spec()) &&
        !MayPlaceRemote(worker, request)) {
      continue;
    }
    const double cost = Cost(worker, request);
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
  }
  return best;
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
