#include "entry/placement_cost.h"

#include <algorithm>

namespace geranium {
namespace {

/// Weight of a worker's load against the run time there: of equally fast
/// workers the least loaded is chosen.
constexpr double kLoadWeight = 0.3;
/// Added cost of a worker in another data centre: traffic there costs more.
constexpr double kCrossDataCentreCost = 0.05;
constexpr double kAvoidCost = 1;
/// Estimates are off by 40 %.
constexpr double kMargin = 1.4;
/// Added cost of a run that just ends in time if its estimate is right; it
/// falls to 0 at the margin. As much as a run of twice the time.
constexpr double kRiskCost = 1;
/// Added cost of the fastest worker for a task with time to spare. Below the
/// weight of the load, so that an idle fast worker is preferred to a slow one
/// that is two thirds full.
constexpr double kSpareFastCost = 0.2;
/// Added cost of a worker where the task ends too late, above all others: run
/// time relative to the median is at most 4, the locality factor at most 100.
constexpr double kLateCost = 1000;

double RunTime(const PlacementCostInputs& in, double relative) {
  return static_cast<double>(in.estimate.ms()) * relative;
}

/// 0 where the task ends well in time, 1 where it just does.
double Risk(double time_left, double expected) {
  if (expected <= 0) return 0;
  return std::clamp((kMargin - time_left / expected) / (kMargin - 1), 0.0, 1.0);
}

/// 1 at the fastest workers, 0 at the slowest.
double Fastness(const PlacementCostInputs& in) {
  const double slower = in.range.slow - in.relative_run_time;
  return std::clamp(slower / (in.range.slow - in.range.fast), 0.0, 1.0);
}

}  // namespace

// Fast workers are left to the tasks that need them: a task that would be well
// in time on a slow worker near its data is charged for a fast one, and so is
// one that is too late even there, which would only delay others. All others
// go where they end first.
double PlacementCost(const PlacementCostInputs& in) {
  const double load = 1 + kLoadWeight * in.used;
  double cost = in.locality_factor * load;
  if (in.other_data_centre) cost += kCrossDataCentreCost;
  if (in.avoid) cost += kAvoidCost;
  if (in.range.is_even()) return cost;

  const auto time_left = static_cast<double>(in.time_left.ms());
  const double expected =
      RunTime(in, in.relative_run_time * in.locality_factor);
  const bool has_spare = kMargin * RunTime(in, in.range.slow) <= time_left;
  const bool is_lost = RunTime(in, in.range.fast) > time_left;
  if (has_spare || is_lost) {
    cost += kSpareFastCost * Fastness(in);
  } else {
    cost += (in.relative_run_time - 1) * in.locality_factor * load;
  }
  if (expected > time_left) return kLateCost + cost;
  return std::min(cost + kRiskCost * Risk(time_left, expected), kLateCost);
}

}  // namespace geranium
