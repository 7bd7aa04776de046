#include "entry/locality_wait.h"

#include <algorithm>

namespace geranium {
namespace {

/// Longer than any objective; keeps the arithmetic within bounds.
constexpr double kLongestWaitMs = 3'600'000;
/// While other tasks wait, the time that a run takes longer elsewhere is lost
/// twice: by its own job and by a task that would have had the cores.
constexpr double kScarceFactor = 2;
constexpr Duration kMinRemaining{1};

Duration FromMs(double ms) {
  return Duration(
      static_cast<std::int64_t>(std::clamp(ms, 0.0, kLongestWaitMs)));
}

/// Of a worker without room for the task. One that reports a free core has too
/// little for the task; of its runs, about as large, one ends after this time
/// on average.
Duration FirstEnd(const RackWorker& worker, const RackQueue& queue) {
  if (worker.next_end > Duration(0)) {
    return std::max(kMinRemaining, worker.next_end - worker.report_age);
  }
  const double runs = worker.cores / std::max(queue.task_cores, 0.01);
  return FromMs(static_cast<double>(queue.mean_estimate.ms()) /
                std::max(runs, 1.0));
}

}  // namespace

// The whole wait of a task is bounded by the accepted wait, however often the
// expected wait turns out too short: at 100 % the task loses at worst twice
// what it would have lost elsewhere at once, three times while others wait.
std::optional<TimePoint> LocalityWait::WaitUntil(
    const LocalityWaitInputs& inputs, TimePoint now) const {
  if (!is_used() || !inputs.expected_wait) return std::nullopt;
  const double lost = (inputs.cross_rack_factor - 1) *
                      static_cast<double>(inputs.estimate.ms()) *
                      inputs.relative_run_time *
                      (inputs.others_wait ? kScarceFactor : 1);
  const Duration accepted = FromMs(lost * options_.wait_percent / 100);
  const Duration left = std::min(accepted - inputs.waited, inputs.time_left);
  if (left <= Duration(0) || *inputs.expected_wait > left) return std::nullopt;
  return now + left;
}

// The queue drains at this entry's share of the rack: the other linked entries
// order on the same workers.
std::optional<Duration> ExpectedLocalWait(const std::vector<RackWorker>& rack,
                                          const RackQueue& queue) {
  std::optional<Duration> first;
  double cores = 0;
  for (const RackWorker& worker : rack) {
    const Duration end = FirstEnd(worker, queue);
    if (!first || end < *first) first = end;
    cores += worker.cores / std::max(worker.entries, 1U);
  }
  if (!first || cores <= 0) return std::nullopt;
  return *first + FromMs(queue.cores_ahead / cores *
                         static_cast<double>(queue.mean_estimate.ms()));
}

}  // namespace geranium
